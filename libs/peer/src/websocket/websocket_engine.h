#ifndef POMELOHALL_PEER_WEBSOCKET_ENGINE_H_
#define POMELOHALL_PEER_WEBSOCKET_ENGINE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace pomelohall {

/// Options of the engine; see transport_options.
struct engine_options {
  std::string listen_address;
  std::size_t max_frame_bytes = 0;
  std::size_t max_queue_bytes = 0;
  std::uint32_t connect_timeout_ms = 0;
  std::uint32_t idle_close_ms = 0;
};

/// Totals since start. Bytes include the WebSocket headers and the opening
/// handshake, but not TCP and IP headers, nor WebSocket control frames.
struct engine_counters {
  std::uint64_t frames_sent = 0;
  std::uint64_t frames_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t frames_dropped = 0;
  std::uint64_t frames_malformed = 0;
  std::uint64_t links_opened = 0;
};

/// The WebSocket implementation of peer_transport. This header is included from
/// both C++17 and C++20 code, so it includes neither base/error.h (which needs
/// C++20: std::span, defaulted operator==) nor websocketpp (which does not
/// compile as C++20). Thread-safe.
class websocket_engine {
 public:
  /// See peer_transport::frame_handler.
  using frame_handler =
      std::function<bool(const std::string& from, std::string frame)>;
  /// Called on the engine's thread with the reason for each link closed because
  /// of a malformed frame, and with the text of each uncaught exception.
  using error_handler = std::function<void(const std::string& message)>;

  virtual ~websocket_engine() = default;

  /// Binds, listens and starts the engine's thread. Returns an empty string,
  /// or the reason why the address could not be bound.
  virtual std::string Start(frame_handler on_frame, error_handler on_error) = 0;

  /// Returns the bound "ip:port"; empty before Start().
  virtual std::string LocalAddress() const = 0;

  virtual void Send(const std::string& address, std::string frame) = 0;
  virtual void SetBlocked(const std::string& address, bool blocked) = 0;
  virtual engine_counters Counters() const = 0;

  /// Must not be called from a handler: it joins the engine's thread.
  virtual void Stop(std::uint32_t grace_ms) = 0;
};

/// Creates an engine based on websocketpp.
std::unique_ptr<websocket_engine> MakeWebsocketEngine(engine_options options);

}  // namespace pomelohall

#endif  // POMELOHALL_PEER_WEBSOCKET_ENGINE_H_
