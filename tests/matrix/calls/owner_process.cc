#include "owner_process.h"

#include <algorithm>
#include <utility>

namespace pomelohall::matrix::calls {
namespace {

/// Few slots, so that requests queue.
constexpr std::uint32_t kSlots = 2;
constexpr duration kTickTime{50'000};
constexpr duration kPatience{5'000'000};
constexpr duration kSuspectPatience{1'000'000};

/// A stopping owner answers `draining` this long before it exits, so that no
/// request on its way meets a closed connection.
constexpr duration kLinger{3'000'000};

}  // namespace

owner_process::owner_process(network& net, process_id self,
                             process_id backend_id, backend_process& backend)
    : net_(net), self_(self), backend_id_(backend_id), backend_(backend) {
  OnRestart();
}

void owner_process::OnRestart() {
  calls_.clear();
  in_flight_ = {};
  ticking_ = false;
  admission_ = std::make_unique<admission_controller>();
  quarantine_ = std::make_unique<quarantine>();
  if (net_.clock.Alive(backend_id_)) OnBackendReady();
}

void owner_process::OnBackendReady() {
  admission_->SetSlots(kSlots, net_.clock.Now());
}

void owner_process::OnForward(const forwarded_call& call) {
  const auto id = ++last_request_id_;
  calls_.emplace(id, owned_call{.call = call,
                                .entry_epoch = net_.clock.EpochOf(call.entry)});
  net_.reached("queued", call.origin, call.entry, self_);
  if (calls_.contains(id)) Submit(id);
}

void owner_process::Submit(request_id id) {
  auto& owned = calls_.at(id);
  const auto now = net_.clock.Now();
  const auto verdict =
      net_.Defect("no_quarantine")
          ? quarantine_verdict::kAllow
          : quarantine_->Check(kService, FingerprintOf(owned), now);
  if (verdict == quarantine_verdict::kRefuse) {
    Refuse(id, {error_kind::kPoisonSuspected, "crashes backend servers"});
    return;
  }
  owned.exclusive = verdict == quarantine_verdict::kExclusive;
  const auto& origin = owned.call.origin;
  Run(admission_->Submit({.id = id,
                          .kind = net_.records.Request(origin.request).kind,
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
      quarantine_->Check(kService, FingerprintOf(owned), net_.clock.Now());
  const bool changed =
      verdict == quarantine_verdict::kRefuse ||
      (verdict == quarantine_verdict::kExclusive && !owned.exclusive);
  if (!changed || net_.Defect("no_quarantine")) return true;
  // It became a suspect while it waited.
  const auto next = ++last_request_id_;
  calls_.emplace(next, std::move(owned));
  calls_.erase(id);
  Run(admission_->Cancel(id, net_.clock.Now()));
  Submit(next);
  return false;
}

void owner_process::StartCall(request_id id) {
  auto& owned = calls_.at(id);
  owned.started_at = net_.clock.Now();
  owned.call.sent_at = owned.started_at;
  owned.state.OnFirstByteSent();
  in_flight_.Start(id, FingerprintOf(owned), owned.exclusive);
  net_.reached("sent", owned.call.origin, owned.call.entry, self_);
  if (net_.clock.Alive(self_) && calls_.contains(id)) SendToBackend(id, owned);
}

void owner_process::GiveUp(request_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const auto now = net_.clock.Now();
  in_flight_.Cancel(id, now);
  Refuse(id, found->second.state.Failure(error_kind::kBackendFailed,
                                         "no answer long after the deadline"));
  Run(admission_->Finish(id, duration{0}, false, now));
}

void owner_process::SendToBackend(request_id id, owned_call& owned) {
  const auto& call = owned.call;
  // A transaction runs on after its deadline, but not for ever.
  net_.clock.After(call.origin.deadline - net_.clock.Now() + kPatience, self_,
                   [this, id] { GiveUp(id); });
  const auto connection = call.Connection();
  const auto request = call.origin.request;
  const auto back = [this, connection, request](auto action) {
    net_.clock.Send({.from = backend_id_,
                     .to = self_,
                     .connection = connection,
                     .request = request,
                     .deliver = std::move(action)});
  };
  answer_sink sink;
  sink.head = [this, back, id](const std::string& echoed) {
    back([this, id, echoed] { OnHead(id, echoed); });
  };
  sink.part = [this, back, id, call](const std::string& part) {
    back([this, id, call, part] {
      if (calls_.contains(id)) net_.answer_part(call, part);
    });
  };
  sink.end = [this, back, id] { back([this, id] { OnEnd(id); }); };
  sink.cut = [this, back, id] { back([this, id] { OnCut(id); }); };
  net_.clock.Send(
      {.from = self_,
       .to = backend_id_,
       .connection = connection,
       .request = request,
       .deliver = [this, call, sink] { backend_.OnRequest(call, sink); }});
}

void owner_process::Refuse(request_id id, error reason) {
  const auto call = calls_.at(id).call;
  calls_.erase(id);
  if (net_.Defect("not_run_after_sent")) reason.ran = run_state::kNotRun;
  net_.refuse(call, reason);
}

void owner_process::OnHead(request_id id, const std::string& echoed) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  found->second.state.OnResponseStarted();
  net_.answer_head(found->second.call, echoed);
}

void owner_process::OnEnd(request_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const auto owned = found->second;
  calls_.erase(found);
  const auto now = net_.clock.Now();
  in_flight_.End(id);
  net_.answer_end(owned.call);
  Tell(quarantine_->OnSuccess(kService, FingerprintOf(owned), now));
  Run(admission_->Finish(id, now - owned.started_at, true, now));
}

void owner_process::OnCut(request_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const auto owned = found->second;
  calls_.erase(found);
  net_.answer_cut(owned.call);
  const auto now = net_.clock.Now();
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
  // A suspect runs on for a while: its end clears it, and a next suspect would
  // otherwise not be alone with it.
  if (owned.state.Sent() && owned.exclusive) {
    net_.clock.After(kSuspectPatience, self_, [this, id] { EndCancelled(id); });
  } else {
    EndCancelled(id);
  }
}

void owner_process::EndCancelled(request_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const auto call = found->second.call;
  const bool sent = found->second.state.Sent();
  calls_.erase(found);
  if (sent) {
    in_flight_.Cancel(id, net_.clock.Now());
    net_.clock.Send({.from = self_,
                     .to = backend_id_,
                     .connection = call.Connection(),
                     .request = call.origin.request,
                     .deliver = [this, call] { backend_.OnCancel(call); }});
  }
  Run(admission_->Cancel(id, net_.clock.Now()));
}

void owner_process::OnPeerDied(process_id dead) {
  if (dead == backend_id_) {
    OnBackendDied();
  } else {
    OnEntryDied(dead);
  }
}

void owner_process::OnBackendDied() {
  const auto now = net_.clock.Now();
  std::vector<request_id> lost;
  for (const auto& [id, owned] : calls_) {
    if (owned.state.Sent()) lost.push_back(id);
  }
  admission_->SetSlots(0, now);
  Tell(quarantine_->OnCrash(kService, in_flight_.TakeAll(now), now));
  for (const auto id : lost) {
    const auto& state = calls_.at(id).state;
    if (state.Outcome() == run_state::kRan) {
      OnCut(id);
      continue;
    }
    Refuse(id, state.Failure(error_kind::kBackendFailed, "server crashed"));
    Run(admission_->Finish(id, duration{0}, false, now));
  }
  Run(admission_->Tick(now));
  net_.publish(duration{300'000});
  // The death of an earlier start may be noticed after the next one.
  if (net_.clock.Alive(backend_id_)) OnBackendReady();
}

void owner_process::OnEntryDied(process_id entry) {
  std::vector<forwarded_call> orphaned;
  for (const auto& [id, owned] : calls_) {
    const auto kind = net_.records.Request(owned.call.origin.request).kind;
    const bool runs_on = owned.state.Sent() && !IsIdempotent(kind);
    if (owned.call.entry == entry && !runs_on) orphaned.push_back(owned.call);
  }
  for (const auto& call : orphaned) OnCancel(call);
}

void owner_process::Apply(const suspect_event& event) {
  quarantine_->Apply(event, net_.clock.Now());
}

void owner_process::Tell(const std::vector<suspect_event>& events) {
  for (const auto& event : events) net_.tell_suspect(event, self_);
}

void owner_process::Stop() {
  stopping_ = true;
  net_.records.OnLeaving(backend_id_, net_.clock.Now());
  if (!net_.Defect("ignore_drain")) admission_->SetDraining(true);
  net_.publish(duration{500'000});
  ScheduleTick();
  const auto linger = net_.Defect("exit_without_waiting") ? duration{0}
                      : net_.Defect("ignore_drain")       ? 2 * kLinger
                                                          : kLinger;
  TryExit(net_.clock.Now() + linger);
}

void owner_process::TryExit(instant not_before) {
  const auto work = admission_->InFlight() + admission_->Queued();
  const bool early = net_.Defect("exit_without_waiting");
  if (net_.clock.Now() < not_before || (work > 0 && !early)) {
    net_.clock.After(kTickTime, self_,
                     [this, not_before] { TryExit(not_before); });
    return;
  }
  if (work > 0) {
    net_.records.Broken(
        promise::kGracefulStop,
        "an owner exited with " + std::to_string(work) + " requests in flight");
  }
  net_.clock.Kill(self_);
}

void owner_process::ScheduleTick() {
  if (ticking_) return;
  ticking_ = true;
  net_.clock.After(kTickTime, self_, [this] {
    ticking_ = false;
    Run(admission_->Tick(net_.clock.Now()));
    if (admission_->Queued() > 0) ScheduleTick();
  });
}

std::uint64_t owner_process::FingerprintOf(const owned_call& owned) const {
  return RequestFingerprint("POST", "/work", 0,
                            std::to_string(owned.call.origin.request));
}

}  // namespace pomelohall::matrix::calls
