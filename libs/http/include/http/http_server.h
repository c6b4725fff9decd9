#ifndef POMELOHALL_HTTP_HTTP_SERVER_H_
#define POMELOHALL_HTTP_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "base/error.h"
#include "base/time.h"
#include "http/http_responder.h"

namespace pomelohall {

struct http_server_options {
  /// "ip:port" to listen on; port 0 selects a free port.
  std::string address = "127.0.0.1:0";
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 65'536;
  /// Connections that do not complete a request within this time are closed.
  duration idle_timeout = std::chrono::seconds(60);
};

/// HTTP/1.1 server for control endpoints with small bodies.
///
/// A malformed request is rejected with `invalid_request` (400), headers above
/// the limit with `headers_too_large` (431) and a body above the limit with
/// `body_too_large` (413), each with a JSON error body. Only the connection of
/// that request is closed.
///
/// The io_context must be run by one thread and outlive the server. Member
/// functions must be called on that thread. Destroying the server closes all
/// connections.
///
/// Example:
/// @code
/// boost::asio::io_context io;
/// auto server = http_server::Listen(
///     io, {.address = "127.0.0.1:8080"},
///     [](http_request request, std::shared_ptr<http_responder> responder) {
///       if (TargetPath(request.target) == "/healthz") {
///         responder->Send(JsonResponse(200, "{}"));
///       } else {
///         responder->Send(
///             ErrorResponse({error_kind::kNotFound, "no such page"}));
///       }
///     });
/// if (!server) return Report(server.error());
/// io.run();
/// @endcode
class http_server {
 public:
  /// Binds the address and starts accepting connections. Fails with
  /// `kInvalidSettings` if the address is malformed or cannot be bound.
  static result<std::unique_ptr<http_server>> Listen(
      boost::asio::io_context& io, http_server_options options,
      http_handler handler);

  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Returns the bound address as "ip:port".
  std::string Address() const;

  /// Shuts down gracefully: stops accepting connections, closes idle ones,
  /// completes requests in flight and finishes open streams; then calls
  /// `stopped` once.
  void Stop(std::function<void()> stopped);

 private:
  class impl;
  explicit http_server(std::unique_ptr<impl> state);

  std::unique_ptr<impl> impl_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP_HTTP_SERVER_H_
