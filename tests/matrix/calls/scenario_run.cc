#include "scenario_run.h"

#include <algorithm>
#include <utility>

namespace pomelohall::matrix::calls {
namespace {

constexpr duration kObservedRequestStart{3'000};
constexpr duration kBackgroundInterval{250'000};
constexpr std::size_t kInitialBackgroundRequests = 5;
constexpr std::size_t kPeriodicBackgroundRequests = 20;
constexpr duration kRunDuration{40'000'000};
constexpr duration kRestartDelay{200'000};
constexpr duration kFreezeTime{2'500'000};
constexpr duration kPartitionTime{3'000'000};
constexpr duration kPlatformDownTime{3'000'000};
constexpr duration kSecondFaultDelay{3'000};
constexpr duration kFailureDetectionTime{6'000'000};
/// Time until every daemon knows of a suspect if no message is lost or delayed.
constexpr duration kSuspectPropagationTime{5'000};

bool Contains(const std::vector<process_id>& ids, process_id id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

scenario_run::scenario_run(const scenario& options)
    : options_(options), context_(options_, options.seed) {
  AddProcesses();
  Connect();
  ConnectAnswers();
}

std::vector<violation> scenario_run::Run() {
  for (auto& entry : entries_) {
    entry->OnSnapshot(SnapshotFor(context_.entries[0]));
  }
  AddRequests();
  context_.sim.RunUntil(context_.sim.Now() + kRunDuration);
  if (!injected_) {
    context_.history.ReportViolation(
        guarantee::kWholeAnswer,
        "the observed request never reached step " + options_.step);
  }
  if (CanServe()) context_.history.CheckAnswered();
  context_.history.CheckCrashes(kCrashTime, SuspectPropagationTime());
  return context_.history.Violations();
}

duration scenario_run::SuspectPropagationTime() const {
  const auto first = options_.faults.first;
  const auto second = options_.faults.second;
  const auto has = [&](fault which) {
    return first == which || second == which;
  };
  auto time = kSuspectPropagationTime;
  if (has(fault::kPartition)) time += kPartitionTime;
  // A frozen owner neither detects the crash nor receives the suspect event.
  if (has(fault::kFreeze)) time += kFreezeTime;
  // Both copies of an event can be delayed only by two faults.
  if (has(fault::kMessageDelayed) && first == second)
    time += simulation::kMessageDelay;
  if (has(fault::kMessageCrossed) && first == second) {
    time += simulation::kReorderDelay;
  }
  return time;
}

void scenario_run::AddProcesses() {
  auto& sim = context_.sim;
  context_.caller = sim.AddProcess("caller", "");
  context_.platform = sim.AddProcess("platform", "");
  context_.home = sim.AddProcess("home", "plant");
  context_.entries = {sim.AddProcess("entry0", "plant"),
                      sim.AddProcess("entry1", "depot")};
  caller_ = std::make_unique<caller_process>(context_);
  home_ = std::make_unique<key_process>(context_, context_.home,
                                        key_source::kIssued);
  platform_ = std::make_unique<key_process>(context_, context_.platform,
                                            key_source::kChosen);
  for (const auto id : context_.entries) {
    entries_.push_back(std::make_unique<entry_process>(context_, id, *caller_,
                                                       *home_, *platform_));
  }
  for (std::size_t i = 0; i < options_.owners; ++i) {
    const auto* data_centre = i % 2 == 0 ? "plant" : "depot";
    context_.owners.push_back(
        sim.AddProcess("owner" + std::to_string(i), data_centre));
    context_.backends.push_back(
        sim.AddProcess("backend" + std::to_string(i), data_centre));
    backends_.push_back(
        std::make_unique<backend_process>(context_, context_.backends[i]));
    owners_.push_back(std::make_unique<owner_process>(
        context_, context_.owners[i], context_.backends[i], *backends_[i]));
  }
}

void scenario_run::Connect() {
  context_.sim.on_peer_died = [this](auto... values) { OnPeerDied(values...); };
  context_.sim.on_restarted = [this](process_id id) { OnRestarted(id); };
  context_.publish = [this](duration delay) { Publish(delay); };
  context_.broadcast_suspect = [this](const suspect_event& event,
                                      process_id from) {
    BroadcastSuspect(event, from);
  };
  context_.on_step_reached = [this](auto step, const auto& origin, auto entry,
                                    auto owner) {
    OnStepReached(step, origin, entry, owner);
  };
  caller_->send = [this](process_id entry, const caller_attempt& origin) {
    entries_[entry - context_.entries.front()]->OnCallerRequest(origin);
  };
  const auto owner_of = [this](process_id id) -> owner_process& {
    const auto at =
        std::find(context_.owners.begin(), context_.owners.end(), id);
    return *owners_[static_cast<std::size_t>(at - context_.owners.begin())];
  };
  context_.forward = [owner_of](process_id id, const forwarded_call& call) {
    owner_of(id).OnForward(call);
  };
  context_.cancel = [owner_of](process_id id, const forwarded_call& call) {
    owner_of(id).OnCancel(call);
  };
}

void scenario_run::ConnectAnswers() {
  const auto entry_of = [this](const forwarded_call& call) {
    return entries_[call.entry - context_.entries.front()].get();
  };
  context_.answer_head = [=, this](const forwarded_call& call,
                                   std::string_view echoed) {
    SendAnswer(call, [=, echo = std::string(echoed)] {
      entry_of(call)->OnHead(call, echo);
    });
  };
  context_.answer_part = [=, this](const forwarded_call& call,
                                   const std::string& part) {
    SendAnswer(call, [=] { entry_of(call)->OnPart(call, part); });
  };
  context_.answer_end = [=, this](const forwarded_call& call) {
    SendAnswer(call, [=] { entry_of(call)->OnEnd(call); });
  };
  context_.answer_truncated = [=, this](const forwarded_call& call) {
    SendAnswer(call, [=] { entry_of(call)->OnTruncated(call); });
  };
  context_.refuse = [=, this](const forwarded_call& call, const error& reason) {
    SendAnswer(call, [=] { entry_of(call)->OnRefused(call, reason); });
  };
}

void scenario_run::SendAnswer(const forwarded_call& call,
                              std::function<void()> deliver) {
  context_.sim.Send({.from = call.owner,
                     .to = call.entry,
                     .connection = call.Connection(),
                     .request = call.origin.request,
                     .deliver = std::move(deliver)});
}

void scenario_run::OnPeerDied(process_id observer, process_id dead,
                              std::uint64_t epoch) {
  if (observer == context_.caller) caller_->OnPeerDied(dead, epoch);
  for (std::size_t i = 0; i < context_.entries.size(); ++i) {
    if (context_.entries[i] == observer) entries_[i]->OnPeerDied(dead, epoch);
  }
  for (std::size_t i = 0; i < context_.owners.size(); ++i) {
    const bool relevant =
        dead == context_.backends[i] || Contains(context_.entries, dead);
    if (context_.owners[i] == observer && relevant)
      owners_[i]->OnPeerDied(dead);
  }
  if (Contains(context_.owners, dead)) Publish(kFailureDetectionTime);
}

void scenario_run::OnRestarted(process_id id) {
  if (id == context_.home) home_->OnRestart();
  for (std::size_t i = 0; i < context_.entries.size(); ++i) {
    if (context_.entries[i] != id) continue;
    entries_[i]->OnRestart();
    entries_[i]->OnSnapshot(SnapshotFor(id));
  }
  for (std::size_t i = 0; i < context_.owners.size(); ++i) {
    if (context_.owners[i] == id) owners_[i]->OnRestart();
    if (context_.backends[i] == id) {
      backends_[i]->OnRestart();
      if (context_.sim.Alive(context_.owners[i])) owners_[i]->OnBackendReady();
    }
  }
  Publish(kRestartDelay);
}

void scenario_run::BroadcastSuspect(const suspect_event& event,
                                    process_id from) {
  // Sends each event over two paths, as the overlay does, so that the loss of
  // one message is harmless.
  for (const auto* path : {"left", "right"}) {
    for (std::size_t i = 0; i < context_.owners.size(); ++i) {
      if (context_.owners[i] == from) continue;
      context_.sim.Send(
          {.from = from,
           .to = context_.owners[i],
           .connection = path,
           .request = kObservedRequest,
           .delivery = message_delivery::kRepeatable,
           .deliver = [this, i, event] { owners_[i]->Apply(event); }});
    }
  }
}

void scenario_run::Publish(duration delay) {
  context_.sim.RunAfter(delay, [this] {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (!context_.sim.Alive(context_.entries[i])) continue;
      entries_[i]->OnSnapshot(SnapshotFor(context_.entries[i]));
    }
  });
}

snapshot_ptr scenario_run::SnapshotFor(process_id entry) const {
  configuration config;
  config.services = {{std::string(kService)}};
  std::vector<member_record> members;
  for (std::size_t i = 0; i < context_.owners.size(); ++i) {
    members.push_back(RecordOf(i));
  }
  std::vector<std::string> unreachable;
  if (context_.sim.Partitioned()) {
    unreachable.emplace_back(entry == context_.entries.front() ? "depot"
                                                               : "plant");
  }
  return BuildSnapshot(1, config, members, unreachable);
}

member_record scenario_run::RecordOf(std::size_t owner) const {
  const auto id = context_.owners[owner];
  member_record record;
  record.name = context_.sim.NameOf(id);
  record.region = "north";
  record.data_centre = owner % 2 == 0 ? "plant" : "depot";
  record.incarnation = context_.sim.EpochOf(id);
  record.state =
      context_.sim.Alive(id) ? member_state::kAlive : member_state::kDead;
  const bool draining = owners_[owner]->Draining();
  const bool running = context_.sim.Alive(context_.backends[owner]);
  record.backend = {std::string(kService), 2,
                    !running   ? backend_state::kGone
                    : draining ? backend_state::kDraining
                               : backend_state::kReady};
  return record;
}

void scenario_run::AddRequests() {
  request_record observed{.kind = options_.kind,
                          .key_from = options_.key,
                          .key = "caller-chosen-key",
                          .poison = options_.poison};
  if (options_.key == key_source::kIssued) observed.key = home_->Issue();
  context_.history.Add(std::move(observed));
  for (std::size_t i = 0; i < kInitialBackgroundRequests; ++i)
    AddBackgroundRequest({});
  const auto begin = [this] { caller_->Begin(kObservedRequest); };
  context_.sim.RunAfter(kObservedRequestStart, begin);
  for (std::size_t i = 1; i <= kPeriodicBackgroundRequests; ++i) {
    AddBackgroundRequest(kBackgroundInterval * static_cast<std::int64_t>(i));
  }
}

void scenario_run::AddBackgroundRequest(duration delay) {
  const auto number = context_.history.Add({.kind = class_kind::kLookup});
  context_.sim.RunAfter(delay, [this, number] { caller_->Begin(number); });
}

void scenario_run::OnStepReached(std::string_view step,
                                 const caller_attempt& origin, process_id entry,
                                 std::optional<process_id> owner) {
  if (origin.request != kObservedRequest || injected_) return;
  entry_reached_ = entry;
  if (owner) {
    const auto at =
        std::find(context_.owners.begin(), context_.owners.end(), *owner);
    owner_reached_ = static_cast<std::size_t>(at - context_.owners.begin());
  }
  if (step != options_.step) return;
  injected_ = true;
  InjectFaultsAndStop();
}

void scenario_run::InjectFaultsAndStop() {
  Inject(options_.faults.first);
  InjectStop();
  const auto second = options_.faults.second;
  if (second == fault::kNone) return;
  // Runs with an even seed inject both faults at the same time.
  if (options_.seed % 2 == 0) {
    Inject(second);
  } else {
    context_.sim.RunAfter(kSecondFaultDelay,
                          [this, second] { Inject(second); });
  }
}

void scenario_run::Inject(fault which) {
  auto& sim = context_.sim;
  switch (which) {
    case fault::kMessageLost:
      return sim.ArmMessageFault(message_fault::kLost, kObservedRequest,
                                 options_.variant);
    case fault::kMessageDuplicated:
      return sim.ArmMessageFault(message_fault::kDuplicated, kObservedRequest,
                                 options_.variant);
    case fault::kMessageDelayed:
      return sim.ArmMessageFault(message_fault::kDelayed, kObservedRequest,
                                 options_.variant);
    case fault::kMessageCrossed:
      return sim.ArmMessageFault(message_fault::kReordered, kObservedRequest,
                                 options_.variant);
    case fault::kPlatformDown:
      context_.platform_down_until = sim.Now() + kPlatformDownTime;
      return;
    case fault::kPlatformSlow:
      context_.platform_slow_until = sim.Now() + kPlatformDownTime;
      return;
    case fault::kAnswerLost:
      context_.lose_platform_answer = true;
      return;
    case fault::kPartition:
      sim.Partition(kPartitionTime);
      Publish(duration{1'000'000});
      return Publish(kPartitionTime + duration{100'000});
    case fault::kAnswerLate:
    case fault::kAnswerCrossed:
    case fault::kAnswerCutShort:
      context_.answer_faults.insert(which);
      return;
    default:
      return InjectProcessFault(which);
  }
}

void scenario_run::InjectProcessFault(fault which) {
  if (which == fault::kNone) return;
  const auto target = SelectFaultTarget();
  failed_.push_back(target);
  if (which != fault::kFreeze && Contains(context_.backends, target)) {
    context_.history.OnServerKilled(target, context_.sim.Now());
  }
  if (which == fault::kKill) context_.sim.Kill(target);
  if (which == fault::kRestart) context_.sim.Restart(target, kRestartDelay);
  if (which == fault::kFreeze) context_.sim.Freeze(target, kFreezeTime);
}

process_id scenario_run::SelectFaultTarget() {
  const std::vector<process_id> roles{
      entry_reached_, context_.owners[owner_reached_],
      context_.backends[owner_reached_], context_.home};
  const auto role = options_.variant % roles.size();
  if (!Contains(failed_, roles[role])) return roles[role];
  // The second of two faults hits another process of the same role.
  if (role == 0)
    return context_.entries[entry_reached_ == context_.entries[0] ? 1 : 0];
  const auto other = (owner_reached_ + 1) % context_.owners.size();
  if (role == 1) return context_.owners[other];
  if (role == 2) return context_.backends[other];
  return context_.home;
}

void scenario_run::InjectStop() {
  if (options_.stop == planned_stop::kOwner) owners_[owner_reached_]->Stop();
  if (options_.stop == planned_stop::kEntry) {
    entries_[entry_reached_ - context_.entries.front()]->Stop();
  }
}

bool scenario_run::CanServe() const {
  const auto alive = [this](process_id id) { return context_.sim.Alive(id); };
  const bool entry =
      std::any_of(context_.entries.begin(), context_.entries.end(), alive);
  bool server = false;
  for (std::size_t i = 0; i < context_.owners.size(); ++i) {
    server = server || (alive(context_.owners[i]) &&
                        alive(context_.backends[i]) && !owners_[i]->Draining());
  }
  return entry && server;
}

std::vector<violation> RunScenario(const scenario& options) {
  return scenario_run(options).Run();
}

}  // namespace pomelohall::matrix::calls
