#ifndef POMELOHALL_POLICY_OUTCOME_TRACKER_H_
#define POMELOHALL_POLICY_OUTCOME_TRACKER_H_

#include <string>

#include "base/error.h"

namespace pomelohall {

/// Tracks what an owner daemon knows about the outcome of one call. "Sent"
/// means that the first byte was handed to the connection to the backend
/// server. Not thread-safe.
class outcome_tracker {
 public:
  /// Call it before the first byte is written to the backend server.
  void OnFirstByteSent() { sent_ = true; }

  /// Call it when the response headers have arrived.
  void OnResponseStarted() { response_started_ = true; }

  /// Call it when the backend server reports that it did not run the request
  /// (503 with `Pomelohall-Outcome: not_run`).
  void OnRefusedByServer() { refused_ = true; }

  bool Sent() const { return sent_; }

  /// Returns what is known about the request.
  run_state Outcome() const;

  /// Returns the error for a failed call, including its outcome.
  error Failure(error_kind kind, std::string message) const;

 private:
  bool sent_ = false;
  bool response_started_ = false;
  bool refused_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_POLICY_OUTCOME_TRACKER_H_
