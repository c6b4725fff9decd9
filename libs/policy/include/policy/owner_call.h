#ifndef POMELOHALL_POLICY_OWNER_CALL_H_
#define POMELOHALL_POLICY_OWNER_CALL_H_

#include <string>

#include "base/error.h"

namespace pomelohall {

/// What one owner daemon knows of one call, and so what it may say about its
/// outcome. "Sent" means that the first byte was handed to the connection to
/// the backend server. Not thread-safe.
class owner_call {
 public:
  /// Call it before the first byte is written to the backend server.
  void OnFirstByte() { sent_ = true; }

  /// Call it when the head of the answer has arrived.
  void OnAnswerStarted() { answered_ = true; }

  /// Call it when the backend server says itself that it did not run the
  /// request (503 with `Pomelohall-Outcome: not_run`).
  void OnRefusedByServer() { refused_ = true; }

  bool Sent() const { return sent_; }

  /// Returns what is known about the request.
  run_state Outcome() const;

  /// Returns the error to answer with after a failure of any kind.
  error Failure(error_kind kind, std::string message) const;

 private:
  bool sent_ = false;
  bool answered_ = false;
  bool refused_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_POLICY_OWNER_CALL_H_
