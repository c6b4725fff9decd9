#ifndef POMELOHALL_CALLER_SRC_ENTRY_CALL_H_
#define POMELOHALL_CALLER_SRC_ENTRY_CALL_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "caller/body_prefix.h"
#include "caller/incoming_request.h"
#include "caller/prefixed_body.h"
#include "caller/time_limited_body.h"
#include "policy/call_state_machine.h"
#include "service_context.h"

namespace pomelohall {

// One call of a caller at its entry daemon. Executes the actions of a
// call_state_machine and reports the events of the attempts to it.
class entry_call final : public std::enable_shared_from_this<entry_call> {
 public:
  entry_call(context_ptr context, std::shared_ptr<incoming_request> request);
  ~entry_call();

  void Start();

  // Applies the limits of a stop that has begun.
  void LimitToStop();
  // Sends an error if the caller would get no response before the daemon ends.
  void EndForStop();

 private:
  struct attempt {
    std::shared_ptr<exchange> call;
    std::shared_ptr<time_limited_body> body;  // Of the response.
    std::optional<response_head> head;        // Moved out on delivery.
    bool delivering = false;
    stored_response stored;  // Only with an idempotency key.
  };

  // Request parsing, before the first attempt.
  result<void> Prepare();
  result<void> ParseFields();
  void OnBodyPrefix(result<body_prefix> prefix);
  void StartCall(std::string_view prefix);

  // Actions of the state machine.
  void RunActions(call_state_machine::actions actions);
  void RunAction(const call_action& action);
  void AskGrant();
  void Send(std::uint32_t number, const server_entry& server);
  void SendToPeer(std::uint32_t number, const server_entry& server,
                  outgoing_request request);
  void SendToOwner(std::uint32_t number, outgoing_request request);
  std::optional<error> RefusalBeforeSending() const;
  outgoing_request BuildRequest(std::uint32_t number) const;
  exchange_events MakeEvents(std::uint32_t number, bool local);
  void CancelAttempt(std::uint32_t number);
  void RespondWithError(error failure);
  void RespondWithStoredResponse(const stored_response& stored);
  void Deliver(std::uint32_t number);
  void CompleteKey(stored_response stored);
  void ReleaseKey();
  void ScheduleTimer();
  void OnTimer();
  void AbandonAttempts();

  // Events of attempts (`number` is the attempt number) and of the caller.
  void OnResponse(std::uint32_t number, bool local,
                  result<incoming_response> response);
  void OnFailure(std::uint32_t number, bool from_owner, const error& failure);
  void OnOwnerError(std::uint32_t number, const response_head& head,
                    const std::shared_ptr<body_source>& body);
  void ApplySuspect(const response_head& head);
  void OnPart(std::uint32_t number, result<body_part> part,
              const body_source::callback& pass_on);
  void OnEnded(std::uint32_t number);
  void DrainResponse(std::uint32_t number);
  void AppendStoredBody(stored_response& stored, std::string_view bytes) const;
  bool IsRunning(std::uint32_t number) const;
  void OnCallerDisconnected();
  void StartDetachedTimeout();

  // Returns what is known before the key's home daemon has granted the key: an
  // earlier request with this key may have run.
  run_state OutcomeBeforeGrant() const;
  void SendResponse(incoming_response response, run_state ran,
                    std::optional<error_kind> failure);
  void ReportObservation(const response_write_result& written, run_state ran,
                         std::optional<error_kind> failure);

  const context_ptr context_;
  const std::shared_ptr<incoming_request> request_;
  request_head request_head_;  // As forwarded.
  snapshot_ptr snapshot_;
  const class_entry* class_ = nullptr;  // Points into snapshot_.
  std::string service_;
  const std::string call_id_;
  std::string caller_call_id_;  // Empty if the caller sent none.
  std::string key_;
  instant deadline_;
  std::uint32_t inbound_attempt_ = 0;
  std::uint64_t fingerprint_ = 0;
  std::shared_ptr<const std::string> buffered_body_;  // Small request body.
  std::shared_ptr<prefixed_body> streamed_body_;      // Or a larger one.
  std::optional<error> last_failure_;
  std::optional<call_state_machine> state_machine_;
  std::map<std::uint32_t, attempt> attempts_;
  std::deque<call_action> actions_;
  bool running_actions_ = false;
  bool waiting_for_release_ = false;
  bool responded_ = false;  // The response was passed to request_.
  boost::asio::steady_timer timer_;
  std::optional<instant> timer_at_;
  // Set once the caller has its response or disconnected. Attempts that still
  // run at this time are cancelled.
  std::optional<instant> detached_until_;
  bool observation_reported_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_SRC_ENTRY_CALL_H_
