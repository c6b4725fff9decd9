#ifndef POMELOHALL_BACKEND_EXCHANGE_H_
#define POMELOHALL_BACKEND_EXCHANGE_H_

#include <functional>
#include <memory>

#include "backend/body_source.h"
#include "backend/http_message.h"
#include "base/error.h"

namespace pomelohall {

/// A request to be sent.
struct outgoing_request {
  request_head head;
  std::shared_ptr<body_source> body;  ///< Null if the framing is kNone.
};

/// An answer whose body is still to be read.
struct incoming_answer {
  answer_head head;
  std::shared_ptr<body_source> body;  ///< Null if the framing is kNone.
};

/// What the starter of a call is told. Called on the I/O thread.
struct exchange_events {
  /// The first byte is being written: from now on the request may run. Called
  /// at most once; may be empty.
  std::function<void()> on_sent;
  /// The answer started, or the call failed before. Called exactly once unless
  /// the call is cancelled. error::ran is kNotRun if no byte was written.
  std::function<void(result<incoming_answer>)> on_answer;
};

/// A call in progress.
class exchange {
 public:
  virtual ~exchange() = default;

  /// Stops the call and closes its connection, which tells the other side. No
  /// event follows. Without effect once the whole answer was read.
  virtual void Cancel() = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_BACKEND_EXCHANGE_H_
