#ifndef POMELOHALL_TESTS_MATRIX_CALLS_ENTRY_PROCESS_H_
#define POMELOHALL_TESTS_MATRIX_CALLS_ENTRY_PROCESS_H_

#include <map>
#include <memory>
#include <string>

#include "caller_process.h"
#include "key_process.h"
#include "policy/call_state_machine.h"
#include "policy/retry_policy.h"
#include "routing/server_selector.h"
#include "run_context.h"

namespace pomelohall::matrix::calls {

/// Simulated entry daemon that executes the actions of the production
/// call_state_machine.
class entry_process {
 public:
  entry_process(run_context& context, process_id self, caller_process& caller,
                key_process& home, key_process& platform);

  void OnCallerRequest(const caller_attempt& origin);
  void OnHead(const forwarded_call& call, const std::string& echoed);
  void OnPart(const forwarded_call& call, const std::string& part);
  void OnEnd(const forwarded_call& call);
  void OnTruncated(const forwarded_call& call);
  void OnRefused(const forwarded_call& call, const error& reason);
  void OnPeerDied(process_id dead, std::uint64_t epoch);
  void OnSnapshot(const snapshot_ptr& next);
  void OnRestart();

  /// Starts a graceful shutdown. The process exits when its calls have ended.
  void Stop();

 private:
  struct sent_attempt {
    process_id owner = 0;
    std::uint64_t epoch = 0;
    std::string body;
  };

  struct entry_call {
    caller_attempt origin;
    std::unique_ptr<call_state_machine> state_machine;
    std::map<std::uint32_t, sent_attempt> attempts;
  };

  using actions = call_state_machine::actions;

  entry_call* Find(const std::string& call_id);
  void Run(const std::string& call_id, const actions& todo);
  void Execute(const std::string& call_id, entry_call& call,
               const call_action& action);
  void Send(const std::string& call_id, entry_call& call,
            const call_action& action);
  void Cancel(const std::string& call_id, entry_call& call,
              std::uint32_t attempt);
  void SendToCaller(const std::string& call_id, const entry_call& call,
                    std::function<void()> action);
  void AnswerError(const std::string& call_id, const entry_call& call,
                   const error& reason);
  void Deliver(const std::string& call_id, entry_call& call,
               std::uint32_t attempt);
  void EndDelivery(const std::string& call_id, const entry_call& call);
  void RunClaimOperation(const std::string& call_id, const entry_call& call,
                         claim_op operation, const stored_response& answer);
  void OnGrant(const std::string& call_id, const grant_result& answer);
  void ScheduleTimer(const std::string& call_id);
  void TryExit(instant not_before);
  forwarded_call Forwarded(const std::string& call_id, const entry_call& call,
                           std::uint32_t attempt) const;

  run_context& context_;
  process_id self_;
  caller_process& caller_;
  key_process& home_;
  key_process& platform_;
  std::unique_ptr<server_selector> selector_;
  std::unique_ptr<retry_policy> retries_;
  std::map<std::string, entry_call> calls_;
  std::uint64_t last_call_ = 0;
};

}  // namespace pomelohall::matrix::calls

#endif  // POMELOHALL_TESTS_MATRIX_CALLS_ENTRY_PROCESS_H_
