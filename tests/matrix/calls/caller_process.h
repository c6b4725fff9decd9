#ifndef POMELOHALL_TESTS_MATRIX_CALLS_CALLER_PROCESS_H_
#define POMELOHALL_TESTS_MATRIX_CALLS_CALLER_PROCESS_H_

#include <functional>
#include <string>
#include <vector>

#include "run_context.h"

namespace pomelohall::matrix::calls {

/// Simulated caller. Retries a request if its answer, key or class kind makes
/// that safe.
class caller_process {
 public:
  explicit caller_process(run_context& context) : context_(context) {}

  /// Delivers an attempt to an entry daemon. Set by scenario_run.
  std::function<void(process_id entry, const caller_attempt& origin)> send;

  /// Sends the first attempt of a request.
  void Begin(std::size_t request);

  void OnPart(const caller_attempt& origin, const std::string& part);
  void OnEnd(const caller_attempt& origin);
  void OnAborted(const caller_attempt& origin);
  void OnError(const caller_attempt& origin, const error& reason);
  void OnPeerDied(process_id dead, std::uint64_t epoch);

 private:
  /// State of the latest attempt of a request.
  struct pending_request {
    std::size_t attempt_number = 0;
    process_id entry = 0;
    std::uint64_t epoch = 0;
    std::string body;
    bool waiting = false;
  };

  void SendAttempt(std::size_t request);
  void RetryIfAllowed(std::size_t request, run_state ran);
  pending_request* FindCurrent(const caller_attempt& origin);

  run_context& context_;
  std::vector<pending_request> pending_requests_;
};

}  // namespace pomelohall::matrix::calls

#endif  // POMELOHALL_TESTS_MATRIX_CALLS_CALLER_PROCESS_H_
