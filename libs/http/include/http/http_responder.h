#ifndef POMELOHALL_HTTP_HTTP_RESPONDER_H_
#define POMELOHALL_HTTP_HTTP_RESPONDER_H_

#include <functional>
#include <memory>
#include <string>

#include "http/http_message.h"

namespace pomelohall {

/// The body of a chunked answer, for example of a watch. Methods may be called
/// from any thread. Dropping the last reference finishes the answer.
class http_stream {
 public:
  virtual ~http_stream() = default;

  /// Sends a chunk. Ignored after Finish() and after the connection closed. A
  /// client that leaves more than 8 MB unread is disconnected.
  virtual void Write(std::string chunk) = 0;

  /// Ends the body after the chunks written so far; the connection is then
  /// closed.
  virtual void Finish() = 0;

  /// Calls `closed` once, on the I/O thread, when the connection has closed or
  /// the server stops. Called at once if that has happened already.
  virtual void OnClosed(std::function<void()> closed) = 0;
};

/// Answers one request, now or later and from any thread, by one call of Send()
/// or StartStream(); later calls are ignored. Dropping the responder without
/// an answer sends `internal`.
class http_responder {
 public:
  virtual ~http_responder() = default;

  virtual void Send(http_response response) = 0;

  /// Closes the connection without an answer, as a server that dies does.
  virtual void Abort() = 0;

  /// Sends status and headers of `head` and leaves the body open.
  virtual std::shared_ptr<http_stream> StartStream(http_response head) = 0;
};

/// Receives a request on the I/O thread.
using http_handler =
    std::function<void(http_request, std::shared_ptr<http_responder>)>;

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP_HTTP_RESPONDER_H_
