#ifndef POMELOHALL_CALLER_INCOMING_REQUEST_H_
#define POMELOHALL_CALLER_INCOMING_REQUEST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "backend/exchange.h"
#include "backend/http_message.h"
#include "base/time.h"

namespace pomelohall {

/// Result of writing a response.
struct response_write_result {
  /// The last byte was handed to the socket. False if the connection broke, or
  /// the body ended early and the connection was closed to signal that.
  bool complete = false;
  std::uint64_t body_bytes = 0;
};

/// How far the response to a request has been written.
struct response_progress {
  /// The responses to earlier requests of the connection are not written yet.
  bool waits_for_earlier = false;
  /// Bytes of the body that were handed to the socket.
  std::uint64_t body_bytes = 0;
  /// Bytes that the socket holds because the caller has not acknowledged them.
  std::uint64_t unsent_bytes = 0;
};

/// A request that a call_server received. Exactly one of Respond() and Abort()
/// must be called. Used on the I/O thread only.
class incoming_request {
 public:
  virtual ~incoming_request() = default;

  virtual const request_head& Head() const = 0;
  /// Returns the time at which the header was complete.
  virtual instant ReceivedAt() const = 0;
  /// Returns the request body, the same object on each call; null if there is
  /// none.
  virtual std::shared_ptr<body_source> Body() = 0;

  /// Writes the response and reads its body to the end, at the rate at which
  /// the caller receives it. `done` may be empty.
  virtual void Respond(incoming_response response,
                       std::function<void(response_write_result)> done) = 0;

  /// Returns how far the response has been written; nothing before Respond()
  /// and after the response was written or the caller has disconnected.
  virtual std::optional<response_progress> Progress() const = 0;

  /// Takes back a response of which nothing has been written yet. Respond() or
  /// Abort() must be called again if it returns true; the callback of the first
  /// Respond() is then not called. Returns false if the response has started,
  /// or if there is none.
  virtual bool TakeBackResponse() = 0;

  /// Returns whether a large response to a later request of the connection is
  /// ready and waits for the response to this one.
  virtual bool DelaysLargeResponse() const = 0;

  /// Sets whether requests that the caller sends behind this one wait until its
  /// response has been written. A handler sets it while it may write a response
  /// that can break off: the connection then closes, and requests behind it
  /// that have run would get no response.
  virtual void SetHoldsFollowing(bool holds) = 0;

  /// Closes the connection without a response.
  virtual void Abort() = 0;

  /// Sets a callback for a caller that disconnects before the response is
  /// written. The callback is released once the response was written.
  virtual void SetDisconnectHandler(std::function<void()> handler) = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_INCOMING_REQUEST_H_
