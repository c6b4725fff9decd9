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

/// Frames and bytes that left the process, or could not.
struct link_traffic {
  std::uint64_t frames = 0;
  std::uint64_t bytes = 0;
};

/// One WebSocket connection to a peer with a bounded send queue. Used on the
/// transport's thread only.
class peer_link {
 public:
  using clock = std::chrono::steady_clock;

  enum class stage { kConnecting, kOpen, kClosing };

  /// @param dialled Whether this side opened the connection.
  /// @param address Listen address of the peer; empty until it is stated.
  peer_link(websocket_connection::ptr connection, bool dialled,
            std::string address);

  /// Queues a frame. Returns false if the link is not open or `max_queue_bytes`
  /// would be exceeded. The batch being written is not part of the queue, so a
  /// stalled peer holds at most twice that amount.
  bool Send(const std::string& frame, std::size_t max_queue_bytes);

  /// Returns what was written since the last call, with WebSocket headers.
  link_traffic TakeWritten();

  /// Returns what is queued and not yet handed to the socket.
  std::uint64_t QueuedFrames();

  /// Starts the closing handshake; frames queued before are sent first.
  void Close(websocketpp::close::status::value code, const std::string& reason);

  /// Closes the socket without a handshake; the failure arrives as an event.
  void Abort();

  /// Returns the size of a received frame with its WebSocket header.
  std::uint64_t ReceivedSize(std::size_t payload) const;

  /// Returns whether both sides closed as planned.
  bool ClosedCleanly() const;

  /// Returns whether this side closed because the peer sent a frame that is
  /// oversized or violates the WebSocket protocol.
  bool BrokeProtocol() const;

  /// Returns the address of this side or of the peer; port of the connection.
  boost::asio::ip::address LocalIp() const;
  boost::asio::ip::address RemoteIp() const;

  /// Sets the socket options of an open link.
  void ConfigureSocket();

  websocket_connection& Connection() { return *connection_; }
  bool IsDialled() const { return dialled_; }

  std::string address;
  stage state = stage::kConnecting;
  clock::time_point since = clock::now();  ///< Start of the current stage.
  clock::time_point last_traffic = clock::now();
  /// When a link that duplicates another one is closed.
  std::optional<clock::time_point> retire_at;

 private:
  std::uint64_t SentSize(std::size_t payload) const;

  websocket_connection::ptr connection_;
  bool dialled_;
  /// Payload sizes of the frames given to websocketpp and not yet counted as
  /// written, oldest first.
  std::deque<std::uint32_t> unwritten_;
  std::size_t unwritten_bytes_ = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_PEER_PEER_LINK_H_
