#ifndef POMELOHALL_PEER_TRANSPORT_H_
#define POMELOHALL_PEER_TRANSPORT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/error.h"

namespace pomelohall {

/// Options of a transport.
struct transport_options {
  /// "ip:port"; port 0 selects a free port.
  std::string listen_address = "127.0.0.1:0";
  std::size_t max_frame_bytes = 4'000'000;  ///< A larger frame closes its link.
  /// Limit of the queue of each link; frames above it are dropped.
  std::size_t max_queue_bytes = 8'000'000;
  std::uint32_t connect_timeout_ms = 1000;
  std::uint32_t idle_close_ms = 60'000;  ///< Links idle for longer are closed.
};

/// Totals since start, for the control traffic metrics. Bytes include WebSocket
/// headers and opening handshakes, but not TCP and IP headers.
struct transport_counters {
  std::uint64_t frames_sent = 0;
  std::uint64_t frames_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t frames_dropped = 0;
  std::uint64_t links_opened = 0;
  /// Links closed because of the peer: a frame that is malformed, too large or
  /// not binary, or a missing greeting with its listen address.
  std::uint64_t frames_malformed = 0;
};

/// Sends frames between daemons. Each pair of daemons shares one link (a
/// connection) for both directions. Delivery is not guaranteed: a frame is lost
/// if the link breaks or the queue is full. Thread-safe.
class peer_transport {
 public:
  /// Called on the transport's thread for every received frame. `from` is the
  /// listen address that the peer sent when the link opened. Returns false if
  /// the frame is malformed; the link is then closed.
  using frame_handler =
      std::function<bool(const std::string& from, std::string frame)>;

  virtual ~peer_transport() = default;

  /// Binds, listens and starts the transport's thread. Fails with
  /// `kPeerUnreachable` if the address cannot be bound.
  virtual result<void> Start(frame_handler handler) = 0;

  /// Returns the bound "ip:port".
  virtual std::string LocalAddress() const = 0;

  /// Sends a frame to the daemon that listens at `address`; opens a link if
  /// there is none.
  virtual void Send(const std::string& address, std::string frame) = 0;

  /// Drops all frames to and from `address` while `blocked`, to simulate
  /// network partitions in tests. Set from the daemon's test settings.
  virtual void SetBlocked(const std::string& address, bool blocked) = 0;

  virtual transport_counters Counters() const = 0;

  /// Waits at most `grace_ms` for queued frames to be sent, then closes all
  /// links and joins the thread. Idempotent.
  virtual void Stop(std::uint32_t grace_ms) = 0;
};

/// Creates the WebSocket transport.
std::unique_ptr<peer_transport> MakeWebsocketTransport(
    transport_options options);

}  // namespace pomelohall

#endif  // POMELOHALL_PEER_TRANSPORT_H_
