#include "policy/call_state_machine.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

#include "base/name_table.h"

namespace pomelohall {
namespace {

constexpr name_table<call_action_kind, 11> kActionNames{{{
    {call_action_kind::kAskGrant, "ask_grant"},
    {call_action_kind::kSend, "send"},
    {call_action_kind::kCancelAttempt, "cancel_attempt"},
    {call_action_kind::kAnswerError, "answer_error"},
    {call_action_kind::kAnswerKept, "answer_kept"},
    {call_action_kind::kDeliver, "deliver"},
    {call_action_kind::kEndDelivery, "end_delivery"},
    {call_action_kind::kAbortDelivery, "abort_delivery"},
    {call_action_kind::kCompleteKey, "complete_key"},
    {call_action_kind::kCompleteKeyNotKept, "complete_key_not_kept"},
    {call_action_kind::kReleaseKey, "release_key"},
}}};

/// A call that crashed this many backend servers is not retried: it may be the
/// cause of the crashes, and quarantine events spread more slowly than retries.
constexpr std::uint32_t kMaxBackendFailures = 2;

call_action Action(call_action_kind kind, std::uint32_t attempt = 0) {
  call_action action;
  action.kind = kind;
  action.attempt = attempt;
  return action;
}

/// Combines the run states of two attempts of one call: the result is kNotRun
/// only if both are.
run_state CombineRunStates(run_state left, run_state right) {
  if (left == run_state::kRan || right == run_state::kRan) {
    return run_state::kRan;
  }
  return left == run_state::kNotRun ? right : left;
}

attempt_result FailureResult(duration latency, const error& reason) {
  return {
      .latency = latency, .ran = reason.ran, .ok = false, .error = reason.kind};
}

}  // namespace

std::string_view CallActionName(call_action_kind kind) {
  return kActionNames.Name(kind);
}

call_state_machine::call_state_machine(call_request request,
                                       call_options options,
                                       server_selector& selector,
                                       retry_policy& retries)
    : request_(std::move(request)),
      options_(options),
      selector_(&selector),
      retries_(&retries) {}

call_state_machine::actions call_state_machine::Start(instant now) {
  assert(phase_ == phase::kNew);
  started_at_ = now;
  // Retries of callers do not add to the budget: over 16 levels of calls that
  // would multiply the load by 1.1^16 = 4.6 instead of 1 + 16 x 0.1 = 2.6.
  if (request_.inbound_attempt == 0) retries_->OnCall(now);
  if (UsesKey()) {
    phase_ = phase::kAwaitingGrant;
    return {Action(call_action_kind::kAskGrant)};
  }
  phase_ = phase::kAttempting;
  return SendFirstAttempt(now);
}

call_state_machine::actions call_state_machine::OnGrant(
    const grant_result& grant, instant now) {
  if (phase_ != phase::kAwaitingGrant) return {};
  phase_ = phase::kAttempting;
  switch (grant.verdict) {
    case grant_verdict::kGranted:
      granted_ = true;
      return SendFirstAttempt(now);
    case grant_verdict::kFirstAnswer: {
      phase_ = phase::kResponded;
      auto action = Action(call_action_kind::kAnswerKept);
      action.response = grant.response;
      return {std::move(action)};
    }
    case grant_verdict::kRanNotKept:
      ran_ = run_state::kRan;
      return RespondWithError(
          {error_kind::kOutcomeUnknown,
           "the request ran, but its response was not stored",
           run_state::kRan});
    case grant_verdict::kUnavailable:
      // The grant may have taken effect although its response was lost.
      granted_ = true;
      return RespondWithError(
          {error_kind::kLedgerUnavailable,
           "the ledger of the idempotency key did not respond; "
           "an earlier request with this key may have run",
           run_state::kUnknown});
    case grant_verdict::kOutcomeUnknown:
      break;
  }
  ran_ = run_state::kUnknown;
  return RespondWithError({error_kind::kOutcomeUnknown,
                           "the idempotency key is in use or unknown",
                           run_state::kUnknown});
}

void call_state_machine::OnSent(std::uint32_t attempt) {
  if (auto* state = FindRunning(attempt)) state->sent = true;
}

call_state_machine::actions call_state_machine::OnRefused(std::uint32_t attempt,
                                                          const error& reason,
                                                          instant now) {
  auto* state = FindRunning(attempt);
  if (state == nullptr || state->response_started) return {};
  return OnAttemptFailed(*state, reason, now);
}

call_state_machine::actions call_state_machine::OnConnectionFailed(
    std::uint32_t attempt, error_kind kind, instant now) {
  auto* state = FindRunning(attempt);
  if (state == nullptr) return {};
  if (state->response_started) return OnResponseTruncated(attempt, now);
  const auto ran = state->sent ? run_state::kUnknown : run_state::kNotRun;
  const error reason(
      kind, "connection to owner daemon " + state->member + " failed", ran);
  return OnAttemptFailed(*state, reason, now);
}

call_state_machine::actions call_state_machine::OnResponseStarted(
    std::uint32_t attempt, std::string_view echoed_call_id, instant now) {
  auto* state = FindRunning(attempt);
  if (state == nullptr) return {};
  if (echoed_call_id != request_.call_id) {
    // A response to another call says nothing about this one.
    const error reason(error_kind::kAnswerMismatch,
                       "the response belongs to another call",
                       run_state::kUnknown);
    return OnAttemptFailed(*state, reason, now);
  }
  state->response_started = true;
  ran_ = run_state::kRan;
  if (phase_ != phase::kAttempting) return {};
  actions out;
  CancelOthers(attempt, now, out);
  phase_ = phase::kDelivering;
  delivering_attempt_ = attempt;
  hedge_at_.reset();
  out.push_back(Action(call_action_kind::kDeliver, attempt));
  return out;
}

call_state_machine::actions call_state_machine::OnResponseEnded(
    std::uint32_t attempt, instant now) {
  auto* state = FindRunning(attempt);
  if (state == nullptr || !state->response_started) return {};
  EndAttempt(*state, {.latency = now - state->started_at}, now);
  if (request_.kind == class_kind::kLookup) {
    retries_->OnLatency(request_.work_class, now - started_at_);
  }
  actions out;
  if (UsesKey() && !key_resolved_) {
    key_resolved_ = true;
    out.push_back(Action(call_action_kind::kCompleteKey, attempt));
  }
  if (phase_ == phase::kDelivering && delivering_attempt_ == attempt) {
    phase_ = phase::kResponded;
    out.push_back(Action(call_action_kind::kEndDelivery, attempt));
  }
  return out;
}

call_state_machine::actions call_state_machine::OnResponseTruncated(
    std::uint32_t attempt, instant now) {
  auto* state = FindRunning(attempt);
  if (state == nullptr) return {};
  const error reason(error_kind::kAnswerCutShort, "the response was truncated",
                     run_state::kRan);
  if (!state->response_started) return OnAttemptFailed(*state, reason, now);
  EndAttempt(*state, FailureResult(now - state->started_at, reason), now);
  actions out;
  ResolveKeyAfterFailure(out);
  if (phase_ == phase::kDelivering && delivering_attempt_ == attempt) {
    phase_ = phase::kResponded;
    out.push_back(Action(call_action_kind::kAbortDelivery, attempt));
  }
  return out;
}

call_state_machine::actions call_state_machine::OnCallerDisconnected(
    instant now) {
  if (phase_ == phase::kResponded) return {};
  const bool was_awaiting_grant = phase_ == phase::kAwaitingGrant;
  phase_ = phase::kResponded;
  hedge_at_.reset();
  actions out;
  for (auto& attempt : attempts_) {
    if (!attempt.running || MustRunToCompletion(attempt)) continue;
    out.push_back(Action(call_action_kind::kCancelAttempt, attempt.number));
    EndAttempt(attempt, CancelledResult(attempt, now), now);
  }
  // The pending grant may still take effect.
  if (was_awaiting_grant) granted_ = true;
  if (RunningCount() == 0) ResolveKeyAfterFailure(out);
  return out;
}

void call_state_machine::LimitDeadline(instant deadline) {
  if (deadline >= request_.deadline) return;
  request_.deadline = deadline;
  limited_ = true;
}

call_state_machine::actions call_state_machine::OnTimer(instant now) {
  if (phase_ == phase::kAwaitingGrant && now >= DeadlineTimer()) {
    return OnGrant({.verdict = grant_verdict::kUnavailable}, now);
  }
  if (phase_ != phase::kAttempting) return {};
  if (now >= DeadlineTimer()) return OnDeadline(now);
  if (hedge_at_ && now >= *hedge_at_) return Hedge(now);
  return {};
}

std::optional<instant> call_state_machine::NextTimer() const {
  if (phase_ != phase::kAwaitingGrant && phase_ != phase::kAttempting) {
    return std::nullopt;
  }
  if (hedge_at_) return std::min(*hedge_at_, DeadlineTimer());
  return DeadlineTimer();
}

bool call_state_machine::Finished() const {
  return phase_ == phase::kResponded && RunningCount() == 0;
}

bool call_state_machine::UsesKey() const {
  return request_.has_idempotency_key && !IsIdempotent(request_.kind);
}

instant call_state_machine::DeadlineTimer() const {
  return request_.deadline + options_.owner_response_grace;
}

bool call_state_machine::MustRunToCompletion(
    const attempt_state& attempt) const {
  return attempt.sent && !IsIdempotent(request_.kind);
}

call_state_machine::attempt_state* call_state_machine::FindRunning(
    std::uint32_t number) {
  if (number == 0 || number > attempts_.size()) return nullptr;
  auto& attempt = attempts_[number - 1];
  return attempt.running ? &attempt : nullptr;
}

std::size_t call_state_machine::RunningCount() const {
  return static_cast<std::size_t>(
      std::count_if(attempts_.begin(), attempts_.end(),
                    [](const attempt_state& item) { return item.running; }));
}

call_state_machine::actions call_state_machine::SendFirstAttempt(instant now) {
  if (now >= request_.deadline) {
    return RespondWithError(DeadlineError(
        "deadline exceeded before the request was sent", run_state::kNotRun));
  }
  auto server = selector_->Pick(request_.service, tried_members_, now);
  if (!server) return RespondWithError(server.error());
  actions out{Send(std::move(*server), now)};
  ScheduleHedge(now);
  return out;
}

call_action call_state_machine::Send(server_entry server, instant now) {
  attempt_state attempt;
  attempt.number = static_cast<std::uint32_t>(attempts_.size()) + 1;
  attempt.member = server.member;
  attempt.started_at = now;
  selector_->OnStart(attempt.member, now);
  tried_members_.push_back(attempt.member);
  auto action = Action(call_action_kind::kSend, attempt.number);
  action.server = std::move(server);
  attempts_.push_back(std::move(attempt));
  return action;
}

void call_state_machine::EndAttempt(attempt_state& attempt,
                                    const attempt_result& outcome,
                                    instant now) {
  attempt.running = false;
  selector_->OnFinish(attempt.member, outcome, now);
}

attempt_result call_state_machine::CancelledResult(const attempt_state& attempt,
                                                   instant now) {
  return {.latency = now - attempt.started_at,
          .ran = attempt.sent ? run_state::kUnknown : run_state::kNotRun,
          .ok = false,
          .error = error_kind::kCancelled};
}

void call_state_machine::CancelOthers(std::uint32_t keep, instant now,
                                      actions& out) {
  for (auto& attempt : attempts_) {
    if (!attempt.running || attempt.number == keep) continue;
    out.push_back(Action(call_action_kind::kCancelAttempt, attempt.number));
    EndAttempt(attempt, CancelledResult(attempt, now), now);
  }
}

call_state_machine::actions call_state_machine::OnAttemptFailed(
    attempt_state& attempt, const error& reason, instant now) {
  ran_ = CombineRunStates(ran_, reason.ran);
  EndAttempt(attempt, FailureResult(now - attempt.started_at, reason), now);
  if (phase_ != phase::kAttempting) {
    actions out;
    ResolveKeyAfterFailure(out);
    return out;
  }
  if (reason.kind == error_kind::kBackendFailed) ++backend_failures_;
  // The other one of two hedged attempts may still succeed.
  if (RunningCount() > 0) return {};
  if (backend_failures_ >= kMaxBackendFailures) return RespondWithError(reason);
  return RetryOrFail(reason, now);
}

call_state_machine::actions call_state_machine::RetryOrFail(const error& reason,
                                                            instant now) {
  // Checked before the budget, so that a retry without a server is not charged.
  auto server = selector_->Pick(request_.service, tried_members_, now);
  if (!server) return RespondWithError(reason);
  const retry_context context{.kind = request_.kind,
                              .error = reason.kind,
                              .ran = ran_,
                              .retries_done = retries_done_,
                              .inbound_attempt = request_.inbound_attempt,
                              .deadline = request_.deadline};
  if (!retries_->AllowRetry(context, now)) return RespondWithError(reason);
  ++retries_done_;
  return {Send(std::move(*server), now)};
}

void call_state_machine::ScheduleHedge(instant now) {
  if (request_.kind != class_kind::kLookup || request_.inbound_attempt > 0) {
    return;
  }
  const auto delay = retries_->HedgeDelay(request_.work_class);
  if (delay) hedge_at_ = now + *delay;
}

call_state_machine::actions call_state_machine::Hedge(instant now) {
  hedge_at_.reset();
  if (RunningCount() != 1) return {};
  auto server = selector_->Pick(request_.service, tried_members_, now);
  if (!server) return {};
  const hedge_context context{.kind = request_.kind,
                              .retries_done = retries_done_,
                              .inbound_attempt = request_.inbound_attempt,
                              .deadline = request_.deadline};
  if (!retries_->AllowHedge(context, now)) return {};
  ++retries_done_;
  return {Send(std::move(*server), now)};
}

call_state_machine::actions call_state_machine::OnDeadline(instant now) {
  actions out;
  auto ran = ran_;
  for (auto& attempt : attempts_) {
    if (!attempt.running) continue;
    if (attempt.sent) ran = CombineRunStates(ran, run_state::kUnknown);
    if (MustRunToCompletion(attempt)) continue;
    out.push_back(Action(call_action_kind::kCancelAttempt, attempt.number));
    const error timed_out(error_kind::kDeadlineExceeded,
                          "deadline exceeded without a response",
                          run_state::kUnknown);
    EndAttempt(attempt, FailureResult(now - attempt.started_at, timed_out),
               now);
  }
  auto response = RespondWithError(
      DeadlineError("deadline exceeded without a response", ran));
  std::move(response.begin(), response.end(), std::back_inserter(out));
  return out;
}

error call_state_machine::DeadlineError(std::string message,
                                        run_state ran) const {
  if (!limited_)
    return {error_kind::kDeadlineExceeded, std::move(message), ran};
  if (ran == run_state::kNotRun)
    return {error_kind::kDraining, "the daemon stops", ran};
  return {error_kind::kDeadlineExceeded,
          "the daemon stops, and the request has no response yet", ran};
}

call_state_machine::actions call_state_machine::RespondWithError(
    const error& reason) {
  phase_ = phase::kResponded;
  hedge_at_.reset();
  actions out;
  if (RunningCount() == 0) ResolveKeyAfterFailure(out);
  auto action = Action(call_action_kind::kAnswerError);
  action.failure = ToCallerError(reason);
  out.push_back(std::move(action));
  return out;
}

void call_state_machine::ResolveKeyAfterFailure(actions& out) {
  if (!granted_ || key_resolved_ || RunningCount() > 0) return;
  // Unknown outcome: the key stays granted, and resends get kOutcomeUnknown.
  if (ran_ == run_state::kUnknown) return;
  key_resolved_ = true;
  out.push_back(Action(ran_ == run_state::kNotRun
                           ? call_action_kind::kReleaseKey
                           : call_action_kind::kCompleteKeyNotKept));
}

error call_state_machine::ToCallerError(const error& reason) const {
  const auto ran = CombineRunStates(ran_, reason.ran);
  const bool outcome_lost = !IsIdempotent(request_.kind) &&
                            ran != run_state::kNotRun &&
                            reason.kind != error_kind::kLedgerUnavailable;
  if (!outcome_lost) return {reason.kind, reason.message, ran};
  return {error_kind::kOutcomeUnknown, reason.message, ran};
}

}  // namespace pomelohall
