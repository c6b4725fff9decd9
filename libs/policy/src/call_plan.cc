#include "policy/call_plan.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

#include "base/name_table.h"

namespace pomelohall {
namespace {

constexpr name_table<plan_action_kind, 11> kActionNames{{{
    {plan_action_kind::kAskGrant, "ask_grant"},
    {plan_action_kind::kSend, "send"},
    {plan_action_kind::kCancelAttempt, "cancel_attempt"},
    {plan_action_kind::kAnswerError, "answer_error"},
    {plan_action_kind::kAnswerKept, "answer_kept"},
    {plan_action_kind::kDeliver, "deliver"},
    {plan_action_kind::kEndDelivery, "end_delivery"},
    {plan_action_kind::kAbortDelivery, "abort_delivery"},
    {plan_action_kind::kCompleteKey, "complete_key"},
    {plan_action_kind::kCompleteKeyNotKept, "complete_key_not_kept"},
    {plan_action_kind::kReleaseKey, "release_key"},
}}};

/// A call that crashed this many backend servers is not sent again: it may be
/// what crashes them, and the word of it spreads more slowly than retries.
constexpr std::uint32_t kMaxBackendFailures = 2;

plan_action Action(plan_action_kind kind, std::uint32_t attempt = 0) {
  plan_action action;
  action.kind = kind;
  action.attempt = attempt;
  return action;
}

/// Joins what two attempts of one call showed: not_run holds only if it holds
/// for both.
run_state Strongest(run_state left, run_state right) {
  if (left == run_state::kRan || right == run_state::kRan) {
    return run_state::kRan;
  }
  return left == run_state::kNotRun ? right : left;
}

call_result Failed(duration latency, const error& reason) {
  return {
      .latency = latency, .ran = reason.ran, .ok = false, .error = reason.kind};
}

}  // namespace

std::string_view PlanActionName(plan_action_kind kind) {
  return kActionNames.Name(kind);
}

call_plan::call_plan(plan_request request, plan_options options,
                     server_selector& selector, retry_policy& retries)
    : request_(std::move(request)),
      options_(options),
      selector_(&selector),
      retries_(&retries) {}

call_plan::actions call_plan::Start(instant now) {
  assert(phase_ == phase::kNew);
  started_at_ = now;
  // Retries from above earn no budget here: over 16 levels that would multiply
  // the calls by 1.1^16 = 4.6 instead of 1 + 16 x 0.1 = 2.6.
  if (request_.inbound_attempt == 0) retries_->OnCall(now);
  if (UsesKey()) {
    phase_ = phase::kGranting;
    return {Action(plan_action_kind::kAskGrant)};
  }
  phase_ = phase::kTrying;
  return SendFirst(now);
}

call_plan::actions call_plan::OnGrant(const grant_answer& answer, instant now) {
  if (phase_ != phase::kGranting) return {};
  phase_ = phase::kTrying;
  switch (answer.verdict) {
    case grant_verdict::kGranted:
      granted_ = true;
      return SendFirst(now);
    case grant_verdict::kFirstAnswer: {
      phase_ = phase::kAnswered;
      auto action = Action(plan_action_kind::kAnswerKept);
      action.answer = answer.answer;
      return {std::move(action)};
    }
    case grant_verdict::kRanNotKept:
      ran_ = run_state::kRan;
      return FailCaller({error_kind::kOutcomeUnknown,
                         "the request ran; its answer was not kept",
                         run_state::kRan});
    case grant_verdict::kUnavailable:
      // The grant may have taken effect and its answer be lost.
      granted_ = true;
      return FailCaller({error_kind::kLedgerUnavailable,
                         "the ledger of the idempotency key did not answer; "
                         "an earlier request with this key may have run",
                         run_state::kUnknown});
    case grant_verdict::kOutcomeUnknown:
      break;
  }
  ran_ = run_state::kUnknown;
  return FailCaller({error_kind::kOutcomeUnknown,
                     "the idempotency key is in use or not known",
                     run_state::kUnknown});
}

void call_plan::OnSent(std::uint32_t attempt) {
  if (auto* state = Running(attempt)) state->sent = true;
}

call_plan::actions call_plan::OnRefused(std::uint32_t attempt,
                                        const error& reason, instant now) {
  auto* state = Running(attempt);
  if (state == nullptr || state->answer_started) return {};
  return OnAttemptFailed(*state, reason, now);
}

call_plan::actions call_plan::OnBroken(std::uint32_t attempt, error_kind kind,
                                       instant now) {
  auto* state = Running(attempt);
  if (state == nullptr) return {};
  if (state->answer_started) return OnCutShort(attempt, now);
  const auto ran = state->sent ? run_state::kUnknown : run_state::kNotRun;
  const error reason(
      kind, "the connection to the owner " + state->member + " failed", ran);
  return OnAttemptFailed(*state, reason, now);
}

call_plan::actions call_plan::OnAnswerStarted(std::uint32_t attempt,
                                              std::string_view echoed_call_id,
                                              instant now) {
  auto* state = Running(attempt);
  if (state == nullptr) return {};
  if (echoed_call_id != request_.call_id) {
    // The answer of another call says nothing about this one.
    const error reason(error_kind::kAnswerMismatch,
                       "the answer belongs to another call",
                       run_state::kUnknown);
    return OnAttemptFailed(*state, reason, now);
  }
  state->answer_started = true;
  ran_ = run_state::kRan;
  if (phase_ != phase::kTrying) return {};
  actions out;
  CancelOthers(attempt, now, out);
  phase_ = phase::kDelivering;
  delivering_ = attempt;
  hedge_at_.reset();
  out.push_back(Action(plan_action_kind::kDeliver, attempt));
  return out;
}

call_plan::actions call_plan::OnAnswerEnded(std::uint32_t attempt,
                                            instant now) {
  auto* state = Running(attempt);
  if (state == nullptr || !state->answer_started) return {};
  EndAttempt(*state, {.latency = now - state->started_at}, now);
  if (request_.kind == class_kind::kLookup) {
    retries_->OnLatency(request_.work_class, now - started_at_);
  }
  actions out;
  if (UsesKey() && !key_settled_) {
    key_settled_ = true;
    out.push_back(Action(plan_action_kind::kCompleteKey, attempt));
  }
  if (phase_ == phase::kDelivering && delivering_ == attempt) {
    phase_ = phase::kAnswered;
    out.push_back(Action(plan_action_kind::kEndDelivery, attempt));
  }
  return out;
}

call_plan::actions call_plan::OnCutShort(std::uint32_t attempt, instant now) {
  auto* state = Running(attempt);
  if (state == nullptr) return {};
  const error reason(error_kind::kAnswerCutShort,
                     "the answer stopped before its end", run_state::kRan);
  if (!state->answer_started) return OnAttemptFailed(*state, reason, now);
  EndAttempt(*state, Failed(now - state->started_at, reason), now);
  actions out;
  SettleKeyAfterFailure(out);
  if (phase_ == phase::kDelivering && delivering_ == attempt) {
    phase_ = phase::kAnswered;
    out.push_back(Action(plan_action_kind::kAbortDelivery, attempt));
  }
  return out;
}

call_plan::actions call_plan::OnCallerGone(instant now) {
  if (phase_ == phase::kAnswered) return {};
  const bool was_granting = phase_ == phase::kGranting;
  phase_ = phase::kAnswered;
  hedge_at_.reset();
  actions out;
  for (auto& attempt : attempts_) {
    if (!attempt.running || MustRunOn(attempt)) continue;
    out.push_back(Action(plan_action_kind::kCancelAttempt, attempt.number));
    EndAttempt(attempt, Cancelled(attempt, now), now);
  }
  if (was_granting) granted_ = true;  // The grant may take effect.
  if (RunningCount() == 0) SettleKeyAfterFailure(out);
  return out;
}

call_plan::actions call_plan::OnTimer(instant now) {
  if (phase_ == phase::kGranting && now >= DeadlineTimer()) {
    return OnGrant({.verdict = grant_verdict::kUnavailable}, now);
  }
  if (phase_ != phase::kTrying) return {};
  if (now >= DeadlineTimer()) return OnDeadline(now);
  if (hedge_at_ && now >= *hedge_at_) return Hedge(now);
  return {};
}

std::optional<instant> call_plan::NextTimer() const {
  if (phase_ != phase::kGranting && phase_ != phase::kTrying) {
    return std::nullopt;
  }
  if (hedge_at_) return std::min(*hedge_at_, DeadlineTimer());
  return DeadlineTimer();
}

bool call_plan::Finished() const {
  return phase_ == phase::kAnswered && RunningCount() == 0;
}

bool call_plan::UsesKey() const {
  return request_.has_key && !IsIdempotent(request_.kind);
}

instant call_plan::DeadlineTimer() const {
  return request_.deadline + options_.answer_grace;
}

bool call_plan::MustRunOn(const attempt_state& attempt) const {
  return attempt.sent && !IsIdempotent(request_.kind);
}

call_plan::attempt_state* call_plan::Running(std::uint32_t number) {
  if (number == 0 || number > attempts_.size()) return nullptr;
  auto& attempt = attempts_[number - 1];
  return attempt.running ? &attempt : nullptr;
}

std::size_t call_plan::RunningCount() const {
  return static_cast<std::size_t>(
      std::count_if(attempts_.begin(), attempts_.end(),
                    [](const attempt_state& item) { return item.running; }));
}

call_plan::actions call_plan::SendFirst(instant now) {
  if (now >= request_.deadline) {
    return FailCaller({error_kind::kDeadlineExceeded,
                       "the deadline passed before the request was sent",
                       run_state::kNotRun});
  }
  auto server = selector_->Pick(request_.service, tried_members_, now);
  if (!server) return FailCaller(server.error());
  actions out{Send(std::move(*server), now)};
  ScheduleHedge(now);
  return out;
}

plan_action call_plan::Send(server_entry server, instant now) {
  attempt_state attempt;
  attempt.number = static_cast<std::uint32_t>(attempts_.size()) + 1;
  attempt.member = server.member;
  attempt.started_at = now;
  selector_->OnStart(attempt.member, now);
  tried_members_.push_back(attempt.member);
  auto action = Action(plan_action_kind::kSend, attempt.number);
  action.server = std::move(server);
  attempts_.push_back(std::move(attempt));
  return action;
}

void call_plan::EndAttempt(attempt_state& attempt, const call_result& outcome,
                           instant now) {
  attempt.running = false;
  selector_->OnFinish(attempt.member, outcome, now);
}

call_result call_plan::Cancelled(const attempt_state& attempt, instant now) {
  return {.latency = now - attempt.started_at,
          .ran = attempt.sent ? run_state::kUnknown : run_state::kNotRun,
          .ok = false,
          .error = error_kind::kCancelled};
}

void call_plan::CancelOthers(std::uint32_t keep, instant now, actions& out) {
  for (auto& attempt : attempts_) {
    if (!attempt.running || attempt.number == keep) continue;
    out.push_back(Action(plan_action_kind::kCancelAttempt, attempt.number));
    EndAttempt(attempt, Cancelled(attempt, now), now);
  }
}

call_plan::actions call_plan::OnAttemptFailed(attempt_state& attempt,
                                              const error& reason,
                                              instant now) {
  ran_ = Strongest(ran_, reason.ran);
  EndAttempt(attempt, Failed(now - attempt.started_at, reason), now);
  if (phase_ != phase::kTrying) {
    actions out;
    SettleKeyAfterFailure(out);
    return out;
  }
  if (reason.kind == error_kind::kBackendFailed) ++backend_failures_;
  // The other one of two hedged attempts may still succeed.
  if (RunningCount() > 0) return {};
  if (backend_failures_ >= kMaxBackendFailures) return FailCaller(reason);
  return RetryOrFail(reason, now);
}

call_plan::actions call_plan::RetryOrFail(const error& reason, instant now) {
  // Checked first, so that a retry without a server costs no budget.
  auto server = selector_->Pick(request_.service, tried_members_, now);
  if (!server) return FailCaller(reason);
  const retry_question question{.kind = request_.kind,
                                .error = reason.kind,
                                .ran = ran_,
                                .retries_done = retries_done_,
                                .inbound_attempt = request_.inbound_attempt,
                                .deadline = request_.deadline};
  if (!retries_->AllowRetry(question, now)) return FailCaller(reason);
  ++retries_done_;
  return {Send(std::move(*server), now)};
}

void call_plan::ScheduleHedge(instant now) {
  if (request_.kind != class_kind::kLookup || request_.inbound_attempt > 0) {
    return;
  }
  const auto delay = retries_->HedgeDelay(request_.work_class);
  if (delay) hedge_at_ = now + *delay;
}

call_plan::actions call_plan::Hedge(instant now) {
  hedge_at_.reset();
  if (RunningCount() != 1) return {};
  auto server = selector_->Pick(request_.service, tried_members_, now);
  if (!server) return {};
  const hedge_question question{.kind = request_.kind,
                                .retries_done = retries_done_,
                                .inbound_attempt = request_.inbound_attempt,
                                .deadline = request_.deadline};
  if (!retries_->AllowHedge(question, now)) return {};
  ++retries_done_;
  return {Send(std::move(*server), now)};
}

call_plan::actions call_plan::OnDeadline(instant now) {
  actions out;
  auto ran = ran_;
  for (auto& attempt : attempts_) {
    if (!attempt.running) continue;
    if (attempt.sent) ran = Strongest(ran, run_state::kUnknown);
    if (MustRunOn(attempt)) continue;
    out.push_back(Action(plan_action_kind::kCancelAttempt, attempt.number));
    const error late(error_kind::kDeadlineExceeded, "no answer in time",
                     run_state::kUnknown);
    EndAttempt(attempt, Failed(now - attempt.started_at, late), now);
  }
  auto answer = FailCaller({error_kind::kDeadlineExceeded,
                            "the deadline passed without an answer", ran});
  std::move(answer.begin(), answer.end(), std::back_inserter(out));
  return out;
}

call_plan::actions call_plan::FailCaller(const error& reason) {
  phase_ = phase::kAnswered;
  hedge_at_.reset();
  actions out;
  if (RunningCount() == 0) SettleKeyAfterFailure(out);
  auto action = Action(plan_action_kind::kAnswerError);
  action.failure = Describe(reason);
  out.push_back(std::move(action));
  return out;
}

void call_plan::SettleKeyAfterFailure(actions& out) {
  if (!granted_ || key_settled_ || RunningCount() > 0) return;
  // Unknown: the key stays granted, and every resend is told so.
  if (ran_ == run_state::kUnknown) return;
  key_settled_ = true;
  out.push_back(Action(ran_ == run_state::kNotRun
                           ? plan_action_kind::kReleaseKey
                           : plan_action_kind::kCompleteKeyNotKept));
}

error call_plan::Describe(const error& reason) const {
  const auto ran = Strongest(ran_, reason.ran);
  const bool lost = !IsIdempotent(request_.kind) && ran != run_state::kNotRun &&
                    reason.kind != error_kind::kLedgerUnavailable;
  if (!lost) return {reason.kind, reason.message, ran};
  return {error_kind::kOutcomeUnknown, reason.message, ran};
}

}  // namespace pomelohall
