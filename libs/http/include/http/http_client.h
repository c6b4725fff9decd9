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
};

/// HTTP/1.1 client with pooled keep-alive connections, one request at a time on
/// each.
///
/// Errors: `kInvalidRequest` (address is not "ip:port"), `kPeerUnreachable` (no
/// connection, not run), `kDeadlineExceeded` (timeout; error::ran is `kNotRun`
/// while connecting, else `kUnknown`), `kAnswerCutShort` (connection broke
/// before the whole answer, unknown), `kProtocolError` (malformed or too large
/// answer, unknown) and `kCancelled` (client destroyed). An answer of any
/// status is a success. A GET or HEAD on a pooled connection that turns out to
/// be closed is sent again once on a new one.
///
/// The io_context must be run by one thread and outlive the client. Members are
/// called, and callbacks run, on that thread. Every call has one callback,
/// which never runs inside the member.
///
/// Use:
/// @code
/// http_client client(io);
/// client.Send("127.0.0.1:8080", {.method = "GET", .target = "/status"},
///             std::chrono::seconds(2), [](result<http_response> answer) {
///               if (answer) Print(answer->status, answer->body);
///             });
/// @endcode
class http_client {
 public:
  using callback = std::function<void(result<http_response>)>;
  /// Receives a piece of the body; returns false to end the call.
  using body_callback = std::function<bool(std::string_view)>;

  explicit http_client(boost::asio::io_context& io,
                       http_client_options options = {});
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Sends a request to `address` ("ip:port"). `timeout` covers the whole call.
  void Send(const std::string& address, http_request request, duration timeout,
            callback done);

  /// Like Send(), but hands the body of an answer with status 200 to `on_body`
  /// piece by piece, without a limit on its size; `done` then gets an answer
  /// with an empty body, also after `on_body` returned false.
  void SendStreaming(const std::string& address, http_request request,
                     duration timeout, body_callback on_body, callback done);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP_HTTP_CLIENT_H_
