#ifndef POMELOHALL_CALLER_CALL_SERVER_H_
#define POMELOHALL_CALLER_CALL_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "base/error.h"
#include "base/http_limits.h"
#include "base/time.h"
#include "caller/incoming_request.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace pomelohall {

class write_turns;

/// Handles the requests of a call_server.
class call_handler {
 public:
  virtual ~call_handler() = default;
  virtual void OnRequest(std::shared_ptr<incoming_request> request) = 0;
};

/// Settings of a call_server.
struct call_server_options {
  /// Listen address, "ip:port". Port 0 picks a free port.
  std::string address = "127.0.0.1:0";
  /// Idle connections are closed after this time.
  duration idle_timeout = std::chrono::seconds(60);
  /// Maximum time from the first to the last byte of a request header.
  duration header_timeout = std::chrono::seconds(10);
  /// A connection is closed if a body makes no progress for this time.
  duration progress_timeout = std::chrono::seconds(60);
  /// Limit of a request header. That of a trailer and of a chunk extension is
  /// the same, but kMinTrailerLimit at least.
  std::size_t max_header_bytes = 16'384;
  /// Memory for the headers of all requests in progress, apart from some
  /// kilobytes a connection. A request beyond it gets 503, or 431 if it needs
  /// more than this alone.
  std::size_t max_head_memory_bytes = kMaxHeadMemoryBytes;
  /// Turns of large responses from StartTurns() on. Servers that write over the
  /// same link share them.
  std::shared_ptr<write_turns> turns = nullptr;
};

/// HTTP/1.1 server with keep-alive, pipelining and back-pressure on bodies.
/// Must be used on the thread of the I/O context. The server itself rejects
/// malformed requests and headers above the limit (16 KB by default) and then
/// closes only that connection.
class call_server {
 public:
  /// @param handler Must outlive the server and its last request.
  call_server(boost::asio::io_context& io, call_server_options options,
              call_handler& handler);
  ~call_server();
  call_server(const call_server&) = delete;
  call_server& operator=(const call_server&) = delete;

  /// Starts listening. Fails with `kInvalidSettings` if the address is
  /// malformed or in use.
  result<void> Listen();

  /// Returns the bound address, "ip:port". Listen() must have succeeded.
  std::string Address() const;

  /// Changes the timeouts and the header limit of all connections, also of open
  /// ones. A header that is arriving is held to the larger limit.
  void SetLimits(const call_server_options& options);

  /// Closes each connection after its next response. Idle connections and the
  /// listener stay open.
  void CloseAfterResponses();

  /// Stops accepting connections, closes idle ones, and completes the requests
  /// in progress with `Connection: close`. Calls `done` after the last
  /// connection has closed, never before Stop() returns.
  void Stop(std::function<void()> done);

  /// Writes large responses in the turns of the options from now on. One whose
  /// turn does not come can be taken back.
  void StartTurns();

  /// Returns whether a response is being written, or bytes of one are not
  /// acknowledged yet. Bytes that the kernel holds may be lost when the process
  /// ends.
  bool IsSending() const;

  /// Closes the listener and all connections immediately.
  void Abort();

  /// Closes connections that exceeded a timeout. Call it about once a second.
  void Sweep(instant now);

  /// Returns the number of open connections.
  std::size_t OpenConnections() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_CALL_SERVER_H_
