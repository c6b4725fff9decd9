#ifndef POMELOHALL_CALLER_SRC_OWNER_TASK_H_
#define POMELOHALL_CALLER_SRC_OWNER_TASK_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "backend/exchange.h"
#include "owner.h"
#include "policy/outcome_tracker.h"

namespace pomelohall {

// One call at its owner: waits for its admission, runs on the backend server,
// and tells how it ended.
class owner_task final : public exchange,
                         public std::enable_shared_from_this<owner_task> {
 public:
  owner_task(context_ptr context, request_id id, owner_request request,
             exchange_events events);

  void Submit();
  // The admission decided.
  void OnAdmitted();
  void OnRefused(error reason);

  // exchange: the other side does not wait any more. A transaction that was
  // sent runs on.
  void Cancel() override { Cancel(false); }
  // Closes the connection to the backend server whatever runs on it.
  void Abort();

  const std::string& Service() const { return request_.service; }
  std::uint64_t Fingerprint() const { return request_.fingerprint; }
  // Whether a crash of the backend server would hit this call.
  bool Exposed() const { return state_.Sent() && !ended_; }
  bool InCrashGroup() const { return in_crash_group_; }
  void SetInCrashGroup(bool in_group) { in_crash_group_ = in_group; }

 private:
  void UpdateDeadline();
  void OnSent();
  void OnAnswer(result<incoming_answer> answer);
  void OnServerRefused(const incoming_answer& answer);
  void OnFailure(error failure);
  void OnPart(result<body_part> part, body_source::callback pass_on);
  void Deliver(result<incoming_answer> answer);
  void Fail(error_kind kind, std::string message);
  void Cancel(bool reading);
  void RunOn(bool reading);
  void Drain();
  void End(bool ok);
  void Release();

  const context_ptr context_;
  owner& owner_;  // Part of the context.
  const request_id id_;
  owner_request request_;
  exchange_events events_;
  outcome_tracker state_;
  std::shared_ptr<exchange> call_;
  std::shared_ptr<body_source> body_;
  instant started_at_;
  boost::asio::steady_timer run_on_;
  bool admitted_ = false;
  bool detached_ = false;
  bool ended_ = false;
  bool in_crash_group_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_SRC_OWNER_TASK_H_
