#ifndef POMELOHALL_CALLER_INCOMING_REQUEST_H_
#define POMELOHALL_CALLER_INCOMING_REQUEST_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "backend/exchange.h"
#include "backend/http_message.h"
#include "base/time.h"

namespace pomelohall {

/// How the writing of an answer ended.
struct answer_written {
  /// The last byte was handed to the network. False: the connection broke, or
  /// the body stopped early and the connection was closed to show it.
  bool whole = false;
  std::uint64_t body_bytes = 0;
};

/// A request that an call_server received. Exactly one of Answer() and Abort()
/// is to be called. Used on the I/O thread only.
class incoming_request {
 public:
  virtual ~incoming_request() = default;

  virtual const request_head& Head() const = 0;
  /// Time at which the header was complete.
  virtual instant ReceivedAt() const = 0;
  /// The request's body; null if it has none. The same object at each call.
  virtual std::shared_ptr<body_source> Body() = 0;

  /// Writes the answer and reads its body to the end, as fast as the caller
  /// takes it. `done` may be empty.
  virtual void Answer(incoming_answer answer,
                      std::function<void(answer_written)> done) = 0;

  /// Closes the connection without an answer.
  virtual void Abort() = 0;

  /// Sets what is called when the caller disconnects before the answer is
  /// written. The callback is dropped once the answer was written.
  virtual void SetDisconnectHandler(std::function<void()> handler) = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_INCOMING_REQUEST_H_
