#ifndef POMELOHALL_HTTP_HTTP_CLIENT_H_
#define POMELOHALL_HTTP_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/time.h"
#include "http/http_message.h"

namespace pomelohall {

struct http_client_options {
  /// Idle connections kept for each address.
  std::size_t max_idle_per_address = 8;
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 8'388'608;
  /// If not 0, the timeout of a request ends with the header of the response,
  /// and each further part of the body has to arrive within this time. A large
  /// body on a slow link is then received, and a silent connection given up.
  duration body_silence_timeout{0};
};

/// HTTP/1.1 client with pooled keep-alive connections, one request at a time on
/// each.
///
/// Errors, with the value of error::ran:
/// - `kInvalidRequest`: the address is not "ip:port".
/// - `kPeerUnreachable` (`kNotRun`): the connection could not be established.
/// - `kDeadlineExceeded`: timeout; `kNotRun` while connecting, else `kUnknown`.
/// - `kAnswerCutShort` (`kUnknown`): the connection was closed before the
///   complete response was received.
/// - `kProtocolError` (`kUnknown`): the response is malformed or too large.
/// - `kCancelled`: the client was destroyed.
///
/// A response with any final status code is a success: interim responses are
/// skipped. The fields of a trailer are dropped. If a pooled connection turns
/// out to be closed, a GET or HEAD request is retried once on a new connection.
///
/// The io_context must be run by one thread and outlive the client. Member
/// functions must be called on that thread, and callbacks run on it. Every
/// request invokes its callback exactly once, never from within Send() or
/// SendStreaming(), and after the destructor if the client is destroyed first.
///
/// Example:
/// @code
/// http_client client(io);
/// client.Send("127.0.0.1:8080", {.method = "GET", .target = "/status"},
///             std::chrono::seconds(2), [](result<http_response> response) {
///               if (response) Print(response->status, response->body);
///             });
/// @endcode
class http_client {
 public:
  using callback = std::function<void(result<http_response>)>;
  /// Receives a chunk of the body; returns false to abort the request.
  using body_callback = std::function<bool(std::string_view)>;

  explicit http_client(boost::asio::io_context& io,
                       http_client_options options = {});
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Sends a request to `address` ("ip:port"). `timeout` covers the whole
  /// exchange, from connecting to the last byte of the response, unless
  /// http_client_options::body_silence_timeout is set.
  void Send(const std::string& address, http_request request, duration timeout,
            callback done);

  /// Like Send(), but passes the body of a response with status 200 to
  /// `on_body` in chunks, without a size limit. `done` then receives a response
  /// with an empty body, including when `on_body` returned false.
  void SendStreaming(const std::string& address, http_request request,
                     duration timeout, body_callback on_body, callback done);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP_HTTP_CLIENT_H_
