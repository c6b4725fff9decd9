#include "owner_process.h"

#include <algorithm>
#include <utility>

namespace pomelohall::matrix::calls {
namespace {

/// Few enough that requests queue.
constexpr std::uint32_t kSlots = 2;
constexpr duration kTickInterval{50'000};
constexpr duration kAbandonDelay{5'000'000};
constexpr duration kSuspectCancelDelay{1'000'000};

/// Time for which a stopping owner answers `draining` before it exits, so that
/// requests in transit do not find the connection closed.
constexpr duration kStopDelay{3'000'000};

}  // namespace

owner_process::owner_process(run_context& context, process_id self,
                             process_id backend_id, backend_process& backend)
    : context_(context),
      self_(self),
      backend_id_(backend_id),
      backend_(backend) {
  OnRestart();
}

void owner_process::OnRestart() {
  calls_.clear();
  in_flight_ = {};
  ticking_ = false;
  admission_ = std::make_unique<admission_controller>();
  quarantine_ = std::make_unique<quarantine>();
  if (context_.sim.Alive(backend_id_)) OnBackendReady();
}

void owner_process::OnBackendReady() {
  admission_->SetSlots(kSlots, context_.sim.Now());
}

void owner_process::OnForward(const forwarded_call& call) {
  const auto id = ++last_request_id_;
  calls_.emplace(id,
                 owned_call{.call = call,
                            .entry_epoch = context_.sim.EpochOf(call.entry)});
  context_.on_step_reached("queued", call.origin, call.entry, self_);
  if (calls_.contains(id)) Submit(id);
}

void owner_process::Submit(request_id id) {
  auto& owned = calls_.at(id);
  const auto now = context_.sim.Now();
  const auto verdict =
      context_.Defect("no_quarantine")
          ? quarantine_verdict::kAllow
          : quarantine_->Check(kService, FingerprintOf(owned), now);
  if (verdict == quarantine_verdict::kRefuse) {
    Refuse(id, {error_kind::kPoisonSuspected,
                "the request crashes backend servers"});
    return;
  }
  owned.exclusive = verdict == quarantine_verdict::kExclusive;
  const auto& origin = owned.call.origin;
  Run(admission_->Submit({.id = id,
                          .kind = context_.history.Request(origin.request).kind,
                          .work_class = std::string(kWorkClass),
                          .deadline = origin.deadline,
                          .exclusive = owned.exclusive},
                         now));
  ScheduleTick();
}

void owner_process::Run(const std::vector<admission_decision>& decisions) {
  for (const auto& decision : decisions) {
    if (!calls_.contains(decision.id)) continue;
    if (decision.refused) {
      Refuse(decision.id, *decision.refused);
    } else if (MayStart(decision.id)) {
      StartCall(decision.id);
    }
  }
}

bool owner_process::MayStart(request_id id) {
  auto& owned = calls_.at(id);
  const auto verdict =
      quarantine_->Check(kService, FingerprintOf(owned), context_.sim.Now());
  const bool changed =
      verdict == quarantine_verdict::kRefuse ||
      (verdict == quarantine_verdict::kExclusive && !owned.exclusive);
  if (!changed || context_.Defect("no_quarantine")) return true;
  // The request became a suspect while it was queued.
  const auto next = ++last_request_id_;
  calls_.emplace(next, std::move(owned));
  calls_.erase(id);
  Run(admission_->Cancel(id, context_.sim.Now()));
  Submit(next);
  return false;
}

void owner_process::StartCall(request_id id) {
  auto& owned = calls_.at(id);
  owned.started_at = context_.sim.Now();
  owned.call.sent_at = owned.started_at;
  owned.state.OnFirstByteSent();
  in_flight_.Start(id, FingerprintOf(owned), owned.exclusive);
  context_.on_step_reached("sent", owned.call.origin, owned.call.entry, self_);
  if (context_.sim.Alive(self_) && calls_.contains(id))
    SendToBackend(id, owned);
}

void owner_process::Abandon(request_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const auto now = context_.sim.Now();
  in_flight_.Cancel(id, now);
  Refuse(id, found->second.state.Failure(
                 error_kind::kBackendFailed,
                 "no answer from the backend server long after the deadline"));
  Run(admission_->Finish(id, duration{0}, false, now));
}

void owner_process::SendToBackend(request_id id, owned_call& owned) {
  const auto& call = owned.call;
  // A transaction may continue after its deadline for a limited time.
  context_.sim.RunAtProcess(
      call.origin.deadline - context_.sim.Now() + kAbandonDelay, self_,
      [this, id] { Abandon(id); });
  const auto connection = call.Connection();
  const auto request = call.origin.request;
  const auto send_back = [this, connection, request](auto action) {
    context_.sim.Send({.from = backend_id_,
                       .to = self_,
                       .connection = connection,
                       .request = request,
                       .deliver = std::move(action)});
  };
  answer_sink sink;
  sink.head = [this, send_back, id](const std::string& echoed) {
    send_back([this, id, echoed] { OnHead(id, echoed); });
  };
  sink.part = [this, send_back, id, call](const std::string& part) {
    send_back([this, id, call, part] {
      if (calls_.contains(id)) context_.answer_part(call, part);
    });
  };
  sink.end = [this, send_back, id] { send_back([this, id] { OnEnd(id); }); };
  sink.truncated = [this, send_back, id] {
    send_back([this, id] { OnTruncated(id); });
  };
  context_.sim.Send(
      {.from = self_,
       .to = backend_id_,
       .connection = connection,
       .request = request,
       .deliver = [this, call, sink] { backend_.OnRequest(call, sink); }});
}

void owner_process::Refuse(request_id id, error reason) {
  const auto call = calls_.at(id).call;
  calls_.erase(id);
  if (context_.Defect("not_run_after_sent")) reason.ran = run_state::kNotRun;
  context_.refuse(call, reason);
}

void owner_process::OnHead(request_id id, const std::string& echoed) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  found->second.state.OnResponseStarted();
  context_.answer_head(found->second.call, echoed);
}

void owner_process::OnEnd(request_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const auto owned = found->second;
  calls_.erase(found);
  const auto now = context_.sim.Now();
  in_flight_.End(id);
  context_.answer_end(owned.call);
  Broadcast(quarantine_->OnSuccess(kService, FingerprintOf(owned), now));
  Run(admission_->Finish(id, now - owned.started_at, true, now));
}

void owner_process::OnTruncated(request_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const auto owned = found->second;
  calls_.erase(found);
  context_.answer_truncated(owned.call);
  const auto now = context_.sim.Now();
  in_flight_.Cancel(id, now);
  Run(admission_->Finish(id, now - owned.started_at, false, now));
}

void owner_process::OnCancel(const forwarded_call& call) {
  const auto same = [&call](const auto& item) {
    return item.second.call.Connection() == call.Connection();
  };
  const auto found = std::find_if(calls_.begin(), calls_.end(), same);
  if (found == calls_.end()) return;
  const auto id = found->first;
  const auto& owned = found->second;
  // A cancelled suspect keeps running for a limited time. If it completes, it
  // is cleared. Cancelling it at once could let the next suspect run next to
  // it.
  if (owned.state.Sent() && owned.exclusive) {
    context_.sim.RunAtProcess(kSuspectCancelDelay, self_,
                              [this, id] { FinishCancel(id); });
  } else {
    FinishCancel(id);
  }
}

void owner_process::FinishCancel(request_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const auto call = found->second.call;
  const bool sent = found->second.state.Sent();
  calls_.erase(found);
  if (sent) {
    in_flight_.Cancel(id, context_.sim.Now());
    context_.sim.Send({.from = self_,
                       .to = backend_id_,
                       .connection = call.Connection(),
                       .request = call.origin.request,
                       .deliver = [this, call] { backend_.OnCancel(call); }});
  }
  Run(admission_->Cancel(id, context_.sim.Now()));
}

void owner_process::OnPeerDied(process_id dead) {
  if (dead == backend_id_) {
    OnBackendDied();
  } else {
    OnEntryDied(dead);
  }
}

void owner_process::OnBackendDied() {
  const auto now = context_.sim.Now();
  std::vector<request_id> lost;
  for (const auto& [id, owned] : calls_) {
    if (owned.state.Sent()) lost.push_back(id);
  }
  admission_->SetSlots(0, now);
  Broadcast(quarantine_->OnCrash(kService, in_flight_.TakeAll(now), now));
  for (const auto id : lost) {
    const auto& state = calls_.at(id).state;
    if (state.Outcome() == run_state::kRan) {
      OnTruncated(id);
      continue;
    }
    Refuse(id, state.Failure(error_kind::kBackendFailed,
                             "the backend server crashed"));
    Run(admission_->Finish(id, duration{0}, false, now));
  }
  Run(admission_->Tick(now));
  context_.publish(duration{300'000});
  // The crash may be noticed only after the backend server has restarted.
  if (context_.sim.Alive(backend_id_)) OnBackendReady();
}

void owner_process::OnEntryDied(process_id entry) {
  std::vector<forwarded_call> orphaned;
  for (const auto& [id, owned] : calls_) {
    const auto kind = context_.history.Request(owned.call.origin.request).kind;
    const bool keeps_running = owned.state.Sent() && !IsIdempotent(kind);
    if (owned.call.entry == entry && !keeps_running)
      orphaned.push_back(owned.call);
  }
  for (const auto& call : orphaned) OnCancel(call);
}

void owner_process::Apply(const suspect_event& event) {
  quarantine_->Apply(event, context_.sim.Now());
}

void owner_process::Broadcast(const std::vector<suspect_event>& events) {
  for (const auto& event : events) context_.broadcast_suspect(event, self_);
}

void owner_process::Stop() {
  stopping_ = true;
  context_.history.OnDraining(backend_id_, context_.sim.Now());
  if (!context_.Defect("ignore_drain")) admission_->SetDraining(true);
  context_.publish(duration{500'000});
  ScheduleTick();
  const auto stop_delay = context_.Defect("exit_without_waiting") ? duration{0}
                          : context_.Defect("ignore_drain") ? 2 * kStopDelay
                                                            : kStopDelay;
  TryExit(context_.sim.Now() + stop_delay);
}

void owner_process::TryExit(instant not_before) {
  const auto work = admission_->InFlight() + admission_->Queued();
  const bool early = context_.Defect("exit_without_waiting");
  if (context_.sim.Now() < not_before || (work > 0 && !early)) {
    context_.sim.RunAtProcess(kTickInterval, self_,
                              [this, not_before] { TryExit(not_before); });
    return;
  }
  if (work > 0) {
    context_.history.ReportViolation(
        guarantee::kGracefulStop,
        "an owner exited with " + std::to_string(work) + " requests in flight");
  }
  context_.sim.Kill(self_);
}

void owner_process::ScheduleTick() {
  if (ticking_) return;
  ticking_ = true;
  context_.sim.RunAtProcess(kTickInterval, self_, [this] {
    ticking_ = false;
    Run(admission_->Tick(context_.sim.Now()));
    if (admission_->Queued() > 0) ScheduleTick();
  });
}

std::uint64_t owner_process::FingerprintOf(const owned_call& owned) const {
  return RequestFingerprint("POST", "/work", 0,
                            std::to_string(owned.call.origin.request));
}

}  // namespace pomelohall::matrix::calls
