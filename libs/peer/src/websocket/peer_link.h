#ifndef POMELOHALL_PEER_PEER_LINK_H_
#define POMELOHALL_PEER_PEER_LINK_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "websocket/websocket_config.h"

namespace pomelohall {

/// Number of frames and of their bytes.
struct link_traffic {
  std::uint64_t frames = 0;
  std::uint64_t bytes = 0;
};

/// One WebSocket connection to a peer with a bounded send queue. Used on the
/// transport's thread only.
class peer_link {
 public:
  using clock = std::chrono::steady_clock;

  enum class link_state { kConnecting, kOpen, kClosing };

  /// @param dialled Whether this side opened the connection.
  /// @param address Listen address of the peer; empty until the peer sends it.
  peer_link(websocket_connection::ptr connection, bool dialled,
            std::string address);

  /// Queues a frame. Returns false if the link is not open or `max_queue_bytes`
  /// would be exceeded. The batch being written does not count towards the
  /// queue, so a stalled peer takes up at most twice that amount.
  bool Send(const std::string& frame, std::size_t max_queue_bytes);

  /// Returns the frames written since the last call. Their bytes include
  /// WebSocket headers.
  link_traffic TakeWritten();

  /// Returns the number of frames that TakeWritten() has not returned yet.
  std::uint64_t QueuedFrames();

  /// Starts the closing handshake, after the frames that are already queued.
  void Close(websocketpp::close::status::value code, const std::string& reason);

  /// Closes the socket without a closing handshake. The fail or close handler
  /// of the connection is called later.
  void Abort();

  /// Returns the size of a received frame with its WebSocket header, in bytes.
  std::uint64_t ReceivedSize(std::size_t payload) const;

  /// Returns whether both sides closed with status "normal" or "going away".
  bool ClosedCleanly() const;

  /// Returns whether this side closed the link because the peer sent a frame
  /// that is too large or violates the WebSocket protocol.
  bool PeerViolatedProtocol() const;

  boost::asio::ip::address LocalIp() const;
  boost::asio::ip::address RemoteIp() const;

  /// Sets the socket options of an open link.
  void ConfigureSocket();

  websocket_connection& Connection() { return *connection_; }
  bool IsDialled() const { return dialled_; }

  std::string address;
  link_state state = link_state::kConnecting;
  /// Start of the current state.
  clock::time_point state_since = clock::now();
  clock::time_point last_traffic = clock::now();
  /// When to close this link if another one to the same peer is active.
  std::optional<clock::time_point> close_at;

 private:
  std::uint64_t SentSize(std::size_t payload) const;

  websocket_connection::ptr connection_;
  bool dialled_;
  /// Payload sizes of the frames passed to websocketpp and not yet counted as
  /// written, oldest first.
  std::deque<std::uint32_t> unwritten_;
  std::size_t unwritten_bytes_ = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_PEER_PEER_LINK_H_
