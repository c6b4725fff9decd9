#ifndef POMELOHALL_CALLER_SRC_ENTRY_CALL_H_
#define POMELOHALL_CALLER_SRC_ENTRY_CALL_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "caller/body_tools.h"
#include "caller/incoming_request.h"
#include "caller/prefixed_body.h"
#include "policy/call_plan.h"
#include "service_context.h"

namespace pomelohall {

// One call of a caller at its entry daemon. Runs the actions of a call_plan and
// reports the events of its attempts to it.
class entry_call final : public std::enable_shared_from_this<entry_call> {
 public:
  entry_call(context_ptr context, std::shared_ptr<incoming_request> request);
  ~entry_call();

  void Start();

 private:
  struct attempt {
    std::shared_ptr<exchange> call;
    std::shared_ptr<body_source> body;  // Of the answer.
    std::optional<answer_head> head;    // Until it is delivered.
    bool delivering = false;
    stored_response kept;  // With an idempotency key.
  };

  // Before the first attempt.
  result<void> Prepare();
  result<void> ParseFields();
  void OnBodyStart(result<body_start> start);
  void Begin(std::string_view body_start);

  // Actions of the plan.
  void Run(call_plan::actions actions);
  void RunOne(const plan_action& action);
  void AskGrant();
  void Send(std::uint32_t number, const server_entry& server);
  void SendToPeer(std::uint32_t number, const server_entry& server,
                  outgoing_request request);
  void SendToOwner(std::uint32_t number, outgoing_request request);
  std::optional<error> RefusalBeforeSending() const;
  outgoing_request BuildRequest(std::uint32_t number) const;
  exchange_events EventsOf(std::uint32_t number, bool local);
  void CancelAttempt(std::uint32_t number);
  void AnswerError(error failure);
  void AnswerKept(const stored_response& kept);
  void Deliver(std::uint32_t number);
  void CompleteKey(stored_response kept);
  void ReleaseKey();
  void ScheduleTimer();
  void OnTimer();
  void GiveUp();

  // Events of attempts.
  void OnAnswer(std::uint32_t number, bool local,
                result<incoming_answer> answer);
  void OnFailure(std::uint32_t number, bool from_owner, const error& failure);
  void OnOwnerError(std::uint32_t number, const answer_head& head,
                    const std::shared_ptr<body_source>& body);
  void ApplySuspect(const answer_head& head);
  void OnPart(std::uint32_t number, result<body_part> part,
              const body_source::callback& pass_on);
  void OnEnded(std::uint32_t number);
  void Drain(std::uint32_t number);
  void Keep(stored_response& kept, std::string_view bytes) const;
  bool IsRunning(std::uint32_t number) const;
  void OnCallerGone();
  void StartRunOn();

  void Answer(incoming_answer answer, run_state ran,
              std::optional<error_kind> failure);
  void Observe(const answer_written& written, run_state ran,
               std::optional<error_kind> failure);

  const context_ptr context_;
  const std::shared_ptr<incoming_request> request_;
  request_head head_;  // As it is passed on.
  snapshot_ptr snapshot_;
  const class_entry* class_ = nullptr;  // Into snapshot_.
  std::string service_;
  const std::string call_id_;
  std::string caller_call_id_;  // Empty: the caller set none.
  std::string key_;
  instant deadline_;
  std::uint32_t inbound_attempt_ = 0;
  std::uint64_t fingerprint_ = 0;
  std::shared_ptr<const std::string> buffered_;  // The whole request body.
  std::shared_ptr<prefixed_body> streamed_;      // Or a large one.
  std::optional<error> last_failure_;
  std::optional<call_plan> plan_;
  std::map<std::uint32_t, attempt> attempts_;
  std::deque<plan_action> actions_;
  bool running_actions_ = false;
  bool waiting_for_release_ = false;
  boost::asio::steady_timer timer_;
  std::optional<instant> timer_at_;
  // Set once the caller has its answer or is gone: attempts that run on are
  // cancelled then.
  std::optional<instant> run_on_until_;
  bool observed_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_SRC_ENTRY_CALL_H_
