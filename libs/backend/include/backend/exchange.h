#ifndef POMELOHALL_BACKEND_EXCHANGE_H_
#define POMELOHALL_BACKEND_EXCHANGE_H_

#include <functional>
#include <memory>

#include "backend/body_source.h"
#include "backend/http_message.h"
#include "base/error.h"

namespace pomelohall {

/// A request to send.
struct outgoing_request {
  request_head head;
  std::shared_ptr<body_source> body;  ///< Null if the framing is kNone.
};

/// A response whose body has not been read yet.
struct incoming_response {
  response_head head;
  std::shared_ptr<body_source> body;  ///< Null if the framing is kNone.
};

/// Callbacks of a call. They run on the I/O thread.
struct exchange_events {
  /// Called before the first byte of the request is written. From then on the
  /// server may run the request. Called at most once; may be empty.
  std::function<void()> on_sent;
  /// Called when the response header has arrived or the call has failed. Called
  /// exactly once unless the call is cancelled. error::ran is kNotRun if no
  /// byte was written.
  std::function<void(result<incoming_response>)> on_response;
};

/// A call in progress.
class exchange {
 public:
  virtual ~exchange() = default;

  /// Cancels the call and closes its connection, which informs the peer. No
  /// event follows. Has no effect after the complete response was read.
  virtual void Cancel() = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_BACKEND_EXCHANGE_H_
