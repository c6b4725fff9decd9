#include "entry_process.h"

#include <algorithm>
#include <utility>

namespace pomelohall::matrix::calls {
namespace {

constexpr duration kClaimTimeout{500'000};
/// Exceeds the claim timeout, so that operations take effect after it.
constexpr duration kSlowPlatform{800'000};
constexpr duration kTypicalLatency{9'000};
constexpr duration kExitPollInterval{50'000};
constexpr duration kStopDelay{3'000'000};

/// Large enough that only the limits of single calls apply.
constexpr std::uint32_t kRetryBudget = 100;

}  // namespace

entry_process::entry_process(run_context& context, process_id self,
                             caller_process& caller, key_process& home,
                             key_process& platform)
    : context_(context),
      self_(self),
      caller_(caller),
      home_(home),
      platform_(platform) {
  OnRestart();
}

void entry_process::OnRestart() {
  calls_.clear();
  const auto seed = context_.options.seed * 100 + self_ * 10;
  selector_ = std::make_unique<server_selector>(
      selector_options{.local_data_centre = self_ == context_.entries.front()
                                                ? "plant"
                                                : "depot",
                       .local_region = "north"},
      seed + context_.sim.EpochOf(self_));
  retries_ = std::make_unique<retry_policy>(
      retry_options{.minimum_budget = kRetryBudget});
  // Enough latency samples to enable hedging of lookups.
  for (int i = 0; i < 100; ++i) {
    retries_->OnLatency(kWorkClass, kTypicalLatency);
  }
}

void entry_process::OnSnapshot(const snapshot_ptr& next) {
  selector_->Update(next, context_.sim.Now());
}

void entry_process::OnCallerRequest(const caller_attempt& origin) {
  const auto& record = context_.history.Request(origin.request);
  const auto call_id = context_.sim.NameOf(self_) + "." +
                       std::to_string(context_.sim.EpochOf(self_)) + "." +
                       std::to_string(++last_call_);
  call_request request{.service = std::string(kService),
                       .work_class = std::string(kWorkClass),
                       .kind = record.kind,
                       .call_id = call_id,
                       .has_idempotency_key = record.HasKey(),
                       .deadline = origin.deadline};
  auto& call = calls_[call_id];
  call.origin = origin;
  call.state_machine = std::make_unique<call_state_machine>(
      std::move(request), call_options{}, *selector_, *retries_);
  context_.on_step_reached("received", origin, self_, std::nullopt);
  if (!context_.sim.Alive(self_)) return;
  Run(call_id, call.state_machine->Start(context_.sim.Now()));
}

entry_process::entry_call* entry_process::Find(const std::string& call_id) {
  const auto found = calls_.find(call_id);
  return found == calls_.end() ? nullptr : &found->second;
}

void entry_process::Run(const std::string& call_id, const actions& todo) {
  for (const auto& action : todo) {
    auto* call = Find(call_id);
    if (call == nullptr || !context_.sim.Alive(self_)) return;
    Execute(call_id, *call, action);
  }
  auto* call = Find(call_id);
  if (call == nullptr) return;
  if (call->state_machine->Finished()) {
    calls_.erase(call_id);
  } else {
    ScheduleTimer(call_id);
  }
}

void entry_process::Execute(const std::string& call_id, entry_call& call,
                            const call_action& action) {
  switch (action.kind) {
    case call_action_kind::kAskGrant:
      return RunClaimOperation(call_id, call, claim_op::kGrant, {});
    case call_action_kind::kSend:
      return Send(call_id, call, action);
    case call_action_kind::kCancelAttempt:
      return Cancel(call_id, call, action.attempt);
    case call_action_kind::kAnswerError:
      return AnswerError(call_id, call, *action.failure);
    case call_action_kind::kAnswerKept:
      return SendToCaller(
          call_id, call,
          [this, origin = call.origin, body = action.response->body] {
            caller_.OnPart(origin, body);
            caller_.OnEnd(origin);
          });
    case call_action_kind::kDeliver:
      return Deliver(call_id, call, action.attempt);
    case call_action_kind::kEndDelivery:
      return EndDelivery(call_id, call);
    case call_action_kind::kAbortDelivery:
      return SendToCaller(call_id, call, [this, origin = call.origin] {
        caller_.OnAborted(origin);
      });
    case call_action_kind::kCompleteKey:
      return RunClaimOperation(
          call_id, call, claim_op::kComplete,
          {.status = 200, .body = call.attempts[action.attempt].body});
    case call_action_kind::kCompleteKeyNotKept:
      return RunClaimOperation(call_id, call, claim_op::kCompleteNotKept, {});
    case call_action_kind::kReleaseKey:
      return RunClaimOperation(call_id, call, claim_op::kRelease, {});
  }
}

void entry_process::Send(const std::string& call_id, entry_call& call,
                         const call_action& action) {
  const auto owner = *std::find_if(
      context_.owners.begin(), context_.owners.end(), [&](process_id id) {
        return context_.sim.NameOf(id) == action.server->member;
      });
  const auto attempt = action.attempt;
  call.attempts[attempt] = {owner, context_.sim.EpochOf(owner), ""};
  if (!context_.sim.Alive(owner)) {  // Connection refused.
    context_.sim.RunAtProcess(duration{1'000}, self_, [this, call_id, attempt] {
      if (auto* found = Find(call_id)) {
        Run(call_id,
            found->state_machine->OnConnectionFailed(
                attempt, error_kind::kPeerUnreachable, context_.sim.Now()));
      }
    });
    return;
  }
  call.state_machine->OnSent(attempt);
  const auto forwarded = Forwarded(call_id, call, attempt);
  context_.sim.Send({.from = self_,
                     .to = owner,
                     .connection = forwarded.Connection(),
                     .request = call.origin.request,
                     .deliver = [this, owner, forwarded] {
                       context_.forward(owner, forwarded);
                     }});
}

void entry_process::Cancel(const std::string& call_id, entry_call& call,
                           std::uint32_t attempt) {
  const auto owner = call.attempts[attempt].owner;
  const auto forwarded = Forwarded(call_id, call, attempt);
  context_.sim.Send({.from = self_,
                     .to = owner,
                     .connection = forwarded.Connection(),
                     .request = call.origin.request,
                     .deliver = [this, owner, forwarded] {
                       context_.cancel(owner, forwarded);
                     }});
}

void entry_process::SendToCaller(const std::string& call_id,
                                 const entry_call& call,
                                 std::function<void()> action) {
  context_.sim.Send({.from = self_,
                     .to = context_.caller,
                     .connection = call_id,
                     .request = call.origin.request,
                     .deliver = std::move(action)});
}

void entry_process::AnswerError(const std::string& call_id,
                                const entry_call& call, const error& reason) {
  auto reported = reason;
  if (context_.Defect("unavailable_is_not_run") &&
      reported.kind == error_kind::kLedgerUnavailable) {
    reported.ran = run_state::kNotRun;
  }
  SendToCaller(call_id, call, [this, origin = call.origin, reported] {
    caller_.OnError(origin, reported);
  });
}

void entry_process::Deliver(const std::string& call_id, entry_call& call,
                            std::uint32_t attempt) {
  context_.on_step_reached("answering", call.origin, self_,
                           call.attempts[attempt].owner);
  if (!context_.sim.Alive(self_)) return;
  const auto body = call.attempts[attempt].body;
  if (body.empty()) return;
  SendToCaller(call_id, call, [this, origin = call.origin, body] {
    caller_.OnPart(origin, body);
  });
}

void entry_process::EndDelivery(const std::string& call_id,
                                const entry_call& call) {
  SendToCaller(call_id, call,
               [this, origin = call.origin] { caller_.OnEnd(origin); });
}

void entry_process::RunClaimOperation(const std::string& call_id,
                                      const entry_call& call,
                                      claim_op operation,
                                      const stored_response& answer) {
  const auto& record = context_.history.Request(call.origin.request);
  const bool issued = record.key_from == key_source::kIssued;
  const auto to = issued ? context_.home : context_.platform;
  auto& keys = issued ? home_ : platform_;
  const auto connection =
      call_id + "/claim" + std::to_string(static_cast<int>(operation));
  const auto request = call.origin.request;
  const bool grant = operation == claim_op::kGrant;
  const auto reply = [this, call_id, to, request,
                      connection](const grant_result& verdict) {
    context_.sim.Send(
        {.from = to,
         .to = self_,
         .connection = connection,
         .request = request,
         .delivery = message_delivery::kRepeatable,
         .deliver = [this, call_id, verdict] { OnGrant(call_id, verdict); }});
  };
  const auto run = [this, &keys, operation, key = record.key, call_id, answer,
                    grant, issued, reply] {
    const auto verdict = keys.Run(operation, key, call_id, answer);
    const bool lost =
        !issued && std::exchange(context_.lose_platform_answer, false);
    if (grant && !lost) reply(verdict);
  };
  context_.sim.Send({.from = self_,
                     .to = to,
                     .connection = connection,
                     .request = request,
                     .delivery = message_delivery::kRepeatable,
                     .deliver = [this, issued, to, run] {
                       const auto now = context_.sim.Now();
                       if (issued) return run();
                       if (now < context_.platform_down_until) return;
                       const bool slow = now < context_.platform_slow_until;
                       context_.sim.RunAtProcess(
                           slow ? kSlowPlatform : duration{0}, to, run);
                     }});
  if (!grant) return;
  context_.sim.RunAtProcess(kClaimTimeout, self_, [this, call_id] {
    OnGrant(call_id, {.verdict = grant_verdict::kUnavailable});
  });
}

void entry_process::OnGrant(const std::string& call_id,
                            const grant_result& answer) {
  if (auto* call = Find(call_id)) {
    Run(call_id, call->state_machine->OnGrant(answer, context_.sim.Now()));
  }
}

void entry_process::OnHead(const forwarded_call& call,
                           const std::string& echoed) {
  auto* found = Find(call.call_id);
  if (found == nullptr) return;
  const auto& checked =
      context_.Defect("accept_crossed_answer") ? call.call_id : echoed;
  Run(call.call_id, found->state_machine->OnResponseStarted(
                        call.attempt, checked, context_.sim.Now()));
}

void entry_process::OnPart(const forwarded_call& call,
                           const std::string& part) {
  auto* found = Find(call.call_id);
  if (found == nullptr) return;
  found->attempts[call.attempt].body += part;
  if (!found->state_machine->Delivers(call.attempt)) return;
  SendToCaller(call.call_id, *found, [this, origin = found->origin, part] {
    caller_.OnPart(origin, part);
  });
}

void entry_process::OnEnd(const forwarded_call& call) {
  if (auto* found = Find(call.call_id)) {
    Run(call.call_id, found->state_machine->OnResponseEnded(
                          call.attempt, context_.sim.Now()));
  }
}

void entry_process::OnTruncated(const forwarded_call& call) {
  if (context_.Defect("short_answer_is_whole")) return OnEnd(call);
  if (auto* found = Find(call.call_id)) {
    Run(call.call_id, found->state_machine->OnResponseTruncated(
                          call.attempt, context_.sim.Now()));
  }
}

void entry_process::OnRefused(const forwarded_call& call, const error& reason) {
  auto* found = Find(call.call_id);
  if (found == nullptr) return;
  auto effective = reason;
  if (context_.Defect("retry_after_sent")) effective.ran = run_state::kNotRun;
  Run(call.call_id, found->state_machine->OnRefused(call.attempt, effective,
                                                    context_.sim.Now()));
}

void entry_process::OnPeerDied(process_id dead, std::uint64_t epoch) {
  std::vector<std::pair<std::string, std::uint32_t>> broken;
  for (const auto& [call_id, call] : calls_) {
    for (const auto& [attempt, sent] : call.attempts) {
      if (sent.owner == dead && sent.epoch == epoch) {
        broken.emplace_back(call_id, attempt);
      }
    }
  }
  for (const auto& [call_id, attempt] : broken) {
    auto* call = Find(call_id);
    if (call == nullptr) continue;
    if (context_.Defect("retry_after_sent")) {
      Run(call_id,
          call->state_machine->OnRefused(
              attempt, error(error_kind::kPeerUnreachable, "connection lost"),
              context_.sim.Now()));
      continue;
    }
    Run(call_id,
        call->state_machine->OnConnectionFailed(
            attempt, error_kind::kPeerUnreachable, context_.sim.Now()));
  }
}

void entry_process::Stop() {
  const bool early = context_.Defect("exit_without_waiting");
  TryExit(context_.sim.Now() + (early ? duration{0} : kStopDelay));
}

void entry_process::TryExit(instant not_before) {
  const bool early = context_.Defect("exit_without_waiting");
  if (context_.sim.Now() < not_before || (!calls_.empty() && !early)) {
    context_.sim.RunAtProcess(kExitPollInterval, self_,
                              [this, not_before] { TryExit(not_before); });
    return;
  }
  if (!calls_.empty()) {
    context_.history.ReportViolation(
        guarantee::kGracefulStop,
        "an entry exited with " + std::to_string(calls_.size()) + " calls");
  }
  context_.sim.Kill(self_);
}

void entry_process::ScheduleTimer(const std::string& call_id) {
  const auto due = Find(call_id)->state_machine->NextTimer();
  if (!due) return;
  const auto now = context_.sim.Now();
  context_.sim.RunAtProcess(
      std::max(*due - now, duration{0}), self_, [this, call_id, due = *due] {
        auto* call = Find(call_id);
        if (call == nullptr || call->state_machine->NextTimer() != due) {
          return;
        }
        Run(call_id, call->state_machine->OnTimer(context_.sim.Now()));
      });
}

forwarded_call entry_process::Forwarded(const std::string& call_id,
                                        const entry_call& call,
                                        std::uint32_t attempt) const {
  return {.call_id = call_id,
          .attempt = attempt,
          .origin = call.origin,
          .entry = self_,
          .owner = call.attempts.at(attempt).owner};
}

}  // namespace pomelohall::matrix::calls
