#include "scenario_run.h"

#include <algorithm>
#include <utility>

namespace pomelohall::matrix::calls {
namespace {

constexpr duration kBeginObserved{3'000};
constexpr duration kBackgroundEvery{250'000};
constexpr std::size_t kBackgroundFirst = 5;
constexpr std::size_t kBackgroundLater = 20;
constexpr duration kEnd{40'000'000};
constexpr duration kRestartTime{200'000};
constexpr duration kFreezeTime{2'500'000};
constexpr duration kPartitionTime{3'000'000};
constexpr duration kPlatformDownTime{3'000'000};
constexpr duration kSecondFault{3'000};
constexpr duration kDetection{6'000'000};
/// Time until every daemon knows a suspect while all messages arrive.
constexpr duration kSpreading{5'000};

bool Contains(const std::vector<process_id>& ids, process_id id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

scenario_run::scenario_run(const scenario& options)
    : options_(options), net_(options_, options.seed) {
  AddProcesses();
  Connect();
  ConnectAnswers();
}

std::vector<violation> scenario_run::Run() {
  for (auto& entry : entries_) {
    entry->OnSnapshot(SnapshotFor(net_.entries[0]));
  }
  AddRequests();
  net_.clock.RunUntil(net_.clock.Now() + kEnd);
  if (!injected_) {
    net_.records.Broken(promise::kWholeAnswer,
                        "the run never reached step " + options_.step);
  }
  if (CanAnswer()) net_.records.CheckAnswered();
  net_.records.CheckCrashes(kCrashTime, SpreadingTime());
  return net_.records.Violations();
}

duration scenario_run::SpreadingTime() const {
  const auto first = options_.faults.first;
  const auto second = options_.faults.second;
  const auto has = [&](fault which) {
    return first == which || second == which;
  };
  auto time = kSpreading;
  if (has(fault::kPartition)) time += kPartitionTime;
  // A frozen owner neither sees the crash nor hears of it.
  if (has(fault::kFreeze)) time += kFreezeTime;
  // Both copies of an event can be late only if there are two faults.
  if (has(fault::kMessageDelayed) && first == second) time += world::kDelay;
  if (has(fault::kMessageCrossed) && first == second) {
    time += world::kCrossingDelay;
  }
  return time;
}

void scenario_run::AddProcesses() {
  auto& clock = net_.clock;
  net_.caller = clock.AddProcess("caller", "");
  net_.platform = clock.AddProcess("platform", "");
  net_.home = clock.AddProcess("home", "plant");
  net_.entries = {clock.AddProcess("entry0", "plant"),
                  clock.AddProcess("entry1", "depot")};
  caller_ = std::make_unique<caller_process>(net_);
  home_ = std::make_unique<key_process>(net_, net_.home, key_source::kIssued);
  platform_ =
      std::make_unique<key_process>(net_, net_.platform, key_source::kChosen);
  for (const auto id : net_.entries) {
    entries_.push_back(std::make_unique<entry_process>(net_, id, *caller_,
                                                       *home_, *platform_));
  }
  for (std::size_t i = 0; i < options_.owners; ++i) {
    const auto* place = i % 2 == 0 ? "plant" : "depot";
    net_.owners.push_back(clock.AddProcess("owner" + std::to_string(i), place));
    net_.backends.push_back(
        clock.AddProcess("backend" + std::to_string(i), place));
    backends_.push_back(
        std::make_unique<backend_process>(net_, net_.backends[i]));
    owners_.push_back(std::make_unique<owner_process>(
        net_, net_.owners[i], net_.backends[i], *backends_[i]));
  }
}

void scenario_run::Connect() {
  net_.clock.on_peer_died = [this](auto... values) { OnPeerDied(values...); };
  net_.clock.on_restarted = [this](process_id id) { OnRestarted(id); };
  net_.publish = [this](duration delay) { Publish(delay); };
  net_.tell_suspect = [this](const suspect_event& event, process_id from) {
    TellSuspect(event, from);
  };
  net_.reached = [this](auto step, const auto& origin, auto entry, auto owner) {
    OnReached(step, origin, entry, owner);
  };
  caller_->send = [this](process_id entry, const caller_try& origin) {
    entries_[entry - net_.entries.front()]->OnCallerRequest(origin);
  };
  const auto owner_of = [this](process_id id) -> owner_process& {
    const auto at = std::find(net_.owners.begin(), net_.owners.end(), id);
    return *owners_[static_cast<std::size_t>(at - net_.owners.begin())];
  };
  net_.forward = [owner_of](process_id id, const forwarded_call& call) {
    owner_of(id).OnForward(call);
  };
  net_.cancel = [owner_of](process_id id, const forwarded_call& call) {
    owner_of(id).OnCancel(call);
  };
}

void scenario_run::ConnectAnswers() {
  const auto entry_of = [this](const forwarded_call& call) {
    return entries_[call.entry - net_.entries.front()].get();
  };
  net_.answer_head = [=, this](const forwarded_call& call,
                               std::string_view echoed) {
    SendAnswer(call, [=, echo = std::string(echoed)] {
      entry_of(call)->OnHead(call, echo);
    });
  };
  net_.answer_part = [=, this](const forwarded_call& call,
                               const std::string& part) {
    SendAnswer(call, [=] { entry_of(call)->OnPart(call, part); });
  };
  net_.answer_end = [=, this](const forwarded_call& call) {
    SendAnswer(call, [=] { entry_of(call)->OnEnd(call); });
  };
  net_.answer_cut = [=, this](const forwarded_call& call) {
    SendAnswer(call, [=] { entry_of(call)->OnCut(call); });
  };
  net_.refuse = [=, this](const forwarded_call& call, const error& reason) {
    SendAnswer(call, [=] { entry_of(call)->OnRefused(call, reason); });
  };
}

void scenario_run::SendAnswer(const forwarded_call& call,
                              std::function<void()> deliver) {
  net_.clock.Send({.from = call.owner,
                   .to = call.entry,
                   .connection = call.Connection(),
                   .request = call.origin.request,
                   .deliver = std::move(deliver)});
}

void scenario_run::OnPeerDied(process_id observer, process_id dead,
                              std::uint64_t epoch) {
  if (observer == net_.caller) caller_->OnPeerDied(dead, epoch);
  for (std::size_t i = 0; i < net_.entries.size(); ++i) {
    if (net_.entries[i] == observer) entries_[i]->OnPeerDied(dead, epoch);
  }
  for (std::size_t i = 0; i < net_.owners.size(); ++i) {
    const bool relevant =
        dead == net_.backends[i] || Contains(net_.entries, dead);
    if (net_.owners[i] == observer && relevant) owners_[i]->OnPeerDied(dead);
  }
  if (Contains(net_.owners, dead)) Publish(kDetection);
}

void scenario_run::OnRestarted(process_id id) {
  if (id == net_.home) home_->OnRestart();
  for (std::size_t i = 0; i < net_.entries.size(); ++i) {
    if (net_.entries[i] != id) continue;
    entries_[i]->OnRestart();
    entries_[i]->OnSnapshot(SnapshotFor(id));
  }
  for (std::size_t i = 0; i < net_.owners.size(); ++i) {
    if (net_.owners[i] == id) owners_[i]->OnRestart();
    if (net_.backends[i] == id) {
      backends_[i]->OnRestart();
      if (net_.clock.Alive(net_.owners[i])) owners_[i]->OnBackendReady();
    }
  }
  Publish(kRestartTime);
}

void scenario_run::TellSuspect(const suspect_event& event, process_id from) {
  // Two paths of the overlay, so that one lost message does no harm.
  for (const auto* path : {"left", "right"}) {
    for (std::size_t i = 0; i < net_.owners.size(); ++i) {
      if (net_.owners[i] == from) continue;
      net_.clock.Send(
          {.from = from,
           .to = net_.owners[i],
           .connection = path,
           .request = kObserved,
           .repeat = copies::kRepeatable,
           .deliver = [this, i, event] { owners_[i]->Apply(event); }});
    }
  }
}

void scenario_run::Publish(duration delay) {
  net_.clock.Always(delay, [this] {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (!net_.clock.Alive(net_.entries[i])) continue;
      entries_[i]->OnSnapshot(SnapshotFor(net_.entries[i]));
    }
  });
}

snapshot_ptr scenario_run::SnapshotFor(process_id entry) const {
  configuration document;
  document.services = {{std::string(kService)}};
  std::vector<member_record> members;
  for (std::size_t i = 0; i < net_.owners.size(); ++i) {
    members.push_back(RecordOf(i));
  }
  std::vector<std::string> unreachable;
  if (net_.clock.Partitioned()) {
    unreachable.emplace_back(entry == net_.entries.front() ? "depot" : "plant");
  }
  return BuildSnapshot(1, document, members, unreachable);
}

member_record scenario_run::RecordOf(std::size_t owner) const {
  const auto id = net_.owners[owner];
  member_record record;
  record.name = net_.clock.NameOf(id);
  record.region = "north";
  record.data_centre = owner % 2 == 0 ? "plant" : "depot";
  record.incarnation = net_.clock.EpochOf(id);
  record.state =
      net_.clock.Alive(id) ? member_state::kAlive : member_state::kDead;
  const bool draining = owners_[owner]->Draining();
  const bool running = net_.clock.Alive(net_.backends[owner]);
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
  net_.records.Add(std::move(observed));
  for (std::size_t i = 0; i < kBackgroundFirst; ++i) AddBackground({});
  const auto begin = [this] { caller_->Begin(kObserved); };
  net_.clock.Always(kBeginObserved, begin);
  for (std::size_t i = 1; i <= kBackgroundLater; ++i) {
    AddBackground(kBackgroundEvery * static_cast<std::int64_t>(i));
  }
}

void scenario_run::AddBackground(duration when) {
  const auto number = net_.records.Add({.kind = class_kind::kLookup});
  net_.clock.Always(when, [this, number] { caller_->Begin(number); });
}

void scenario_run::OnReached(std::string_view step, const caller_try& origin,
                             process_id entry,
                             std::optional<process_id> owner) {
  if (origin.request != kObserved || injected_) return;
  entry_reached_ = entry;
  if (owner) {
    const auto at = std::find(net_.owners.begin(), net_.owners.end(), *owner);
    owner_reached_ = static_cast<std::size_t>(at - net_.owners.begin());
  }
  if (step != options_.step) return;
  injected_ = true;
  InjectAll();
}

void scenario_run::InjectAll() {
  Inject(options_.faults.first);
  InjectStop();
  const auto second = options_.faults.second;
  if (second == fault::kNone) return;
  // Half of the runs have both faults at one instant.
  if (options_.seed % 2 == 0) {
    Inject(second);
  } else {
    net_.clock.Always(kSecondFault, [this, second] { Inject(second); });
  }
}

void scenario_run::Inject(fault which) {
  auto& clock = net_.clock;
  switch (which) {
    case fault::kMessageLost:
      return clock.ArmMessageFault(message_fault::kLost, kObserved,
                                   options_.variant);
    case fault::kMessageDuplicated:
      return clock.ArmMessageFault(message_fault::kDuplicated, kObserved,
                                   options_.variant);
    case fault::kMessageDelayed:
      return clock.ArmMessageFault(message_fault::kDelayed, kObserved,
                                   options_.variant);
    case fault::kMessageCrossed:
      return clock.ArmMessageFault(message_fault::kCrossed, kObserved,
                                   options_.variant);
    case fault::kPlatformDown:
      net_.platform_down_until = clock.Now() + kPlatformDownTime;
      return;
    case fault::kPlatformSlow:
      net_.platform_slow_until = clock.Now() + kPlatformDownTime;
      return;
    case fault::kAnswerLost:
      net_.lose_platform_answer = true;
      return;
    case fault::kPartition:
      clock.Partition(kPartitionTime);
      Publish(duration{1'000'000});
      return Publish(kPartitionTime + duration{100'000});
    case fault::kAnswerLate:
    case fault::kAnswerCrossed:
    case fault::kAnswerCutShort:
      net_.answer_faults.insert(which);
      return;
    default:
      return InjectProcessFault(which);
  }
}

void scenario_run::InjectProcessFault(fault which) {
  if (which == fault::kNone) return;
  const auto target = Target();
  failed_.push_back(target);
  if (which != fault::kFreeze && Contains(net_.backends, target)) {
    net_.records.OnServerKilled(target, net_.clock.Now());
  }
  if (which == fault::kKill) net_.clock.Kill(target);
  if (which == fault::kRestart) net_.clock.Restart(target, kRestartTime);
  if (which == fault::kFreeze) net_.clock.Freeze(target, kFreezeTime);
}

process_id scenario_run::Target() {
  const std::vector<process_id> roles{entry_reached_,
                                      net_.owners[owner_reached_],
                                      net_.backends[owner_reached_], net_.home};
  const auto role = options_.variant % roles.size();
  if (!Contains(failed_, roles[role])) return roles[role];
  // The second of two faults takes the other process of the role.
  if (role == 0) return net_.entries[entry_reached_ == net_.entries[0] ? 1 : 0];
  const auto other = (owner_reached_ + 1) % net_.owners.size();
  if (role == 1) return net_.owners[other];
  if (role == 2) return net_.backends[other];
  return net_.home;
}

void scenario_run::InjectStop() {
  if (options_.stop == planned_stop::kOwner) owners_[owner_reached_]->Stop();
  if (options_.stop == planned_stop::kEntry) {
    entries_[entry_reached_ - net_.entries.front()]->Stop();
  }
}

bool scenario_run::CanAnswer() const {
  const auto alive = [this](process_id id) { return net_.clock.Alive(id); };
  const bool entry =
      std::any_of(net_.entries.begin(), net_.entries.end(), alive);
  bool server = false;
  for (std::size_t i = 0; i < net_.owners.size(); ++i) {
    server = server || (alive(net_.owners[i]) && alive(net_.backends[i]) &&
                        !owners_[i]->Draining());
  }
  return entry && server;
}

std::vector<violation> RunScenario(const scenario& options) {
  return scenario_run(options).Run();
}

}  // namespace pomelohall::matrix::calls
