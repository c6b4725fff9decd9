#ifndef POMELOHALL_HTTP_HTTP_RESPONDER_H_
#define POMELOHALL_HTTP_HTTP_RESPONDER_H_

#include <functional>
#include <memory>
#include <string>

#include "http/http_message.h"

namespace pomelohall {

/// The body of a chunked response, for example of a watch. Methods may be
/// called from any thread. Destroying the last reference finishes the response.
class http_response_stream {
 public:
  virtual ~http_response_stream() = default;

  /// Sends a chunk. Ignored after Finish() and after the connection has closed.
  /// A client with more than 8 MB of pending data is disconnected.
  virtual void Write(std::string chunk) = 0;

  /// Ends the body after the chunks written so far, then closes the
  /// connection.
  virtual void Finish() = 0;

  /// Calls `closed` once, on the I/O thread, when the connection has closed or
  /// the server stops; immediately if that has already happened.
  virtual void OnClosed(std::function<void()> closed) = 0;
};

/// Sends the response to one request, at any time and from any thread, with one
/// call of Send() or StartStream(); further calls are ignored. Destroying the
/// responder without a response sends the error `internal`.
class http_responder {
 public:
  virtual ~http_responder() = default;

  virtual void Send(http_response response) = 0;

  /// Closes the connection without a response, as if the server had crashed.
  virtual void Abort() = 0;

  /// Sends the status and headers of `head`; the body is sent through the
  /// returned stream.
  virtual std::shared_ptr<http_response_stream> StartStream(
      http_response head) = 0;
};

/// Handles a request. Called on the I/O thread.
using http_handler =
    std::function<void(http_request, std::shared_ptr<http_responder>)>;

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP_HTTP_RESPONDER_H_
