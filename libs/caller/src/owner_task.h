#ifndef POMELOHALL_CALLER_SRC_OWNER_TASK_H_
#define POMELOHALL_CALLER_SRC_OWNER_TASK_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "backend/exchange.h"
#include "owner_dispatcher.h"
#include "policy/outcome_tracker.h"

namespace pomelohall {

// Returns whether the backend server rejected the request without running it.
bool IsNotRunResponse(const response_head& head);

// One call at its owner daemon: waits for admission, runs on the backend server
// and reports its result.
class owner_task final : public exchange,
                         public std::enable_shared_from_this<owner_task> {
 public:
  owner_task(context_ptr context, request_id id, owner_request request,
             exchange_events events);

  void Submit();
  // Decision of the admission.
  void OnAdmitted();
  void OnRefused(error reason);

  // exchange. A transaction that was already sent continues detached.
  void Cancel() override { Cancel(false); }
  // Closes the connection to the backend server, even during a transaction.
  void Abort();

  const std::string& Service() const { return request_.service; }
  std::uint64_t Fingerprint() const { return request_.fingerprint; }
  // Returns whether the call was sent to the backend server and has not ended.
  bool IsInFlight() const { return state_.Sent() && !ended_; }
  // Whether the task was in flight at the start of a crash check that is
  // running or has found a crash.
  bool InCrashGroup() const { return in_crash_group_; }
  void SetInCrashGroup(bool in_group) { in_crash_group_ = in_group; }

 private:
  void UpdateDeadline();
  void OnSent();
  void OnResponse(result<incoming_response> response);
  void OnServerRefused(const incoming_response& response);
  void OnFailure(error failure);
  void OnPart(result<body_part> part, body_source::callback pass_on);
  void Deliver(result<incoming_response> response);
  void Fail(error_kind kind, std::string message);
  void Cancel(bool read_pending);
  void Detach(bool read_pending);
  void Drain();
  void End(bool ok);
  void EndWithoutSample();

  const context_ptr context_;
  owner_dispatcher& dispatcher_;  // Owned by the context.
  const request_id id_;
  owner_request request_;
  exchange_events events_;
  outcome_tracker state_;
  std::shared_ptr<exchange> backend_exchange_;
  std::shared_ptr<body_source> body_;
  instant started_at_;
  boost::asio::steady_timer detached_timer_;
  bool admitted_ = false;
  bool detached_ = false;
  bool ended_ = false;
  bool in_crash_group_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_SRC_OWNER_TASK_H_
