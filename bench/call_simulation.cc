#include "call_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pomelohall::bench {
namespace {

constexpr std::size_t kEntryCount = 2;
constexpr std::uint32_t kSlots = 20;
constexpr double kCapacityServers = 4;
constexpr duration kHopDelay{250};
constexpr duration kTickInterval{50'000};
constexpr duration kSuspectPropagationDelay{5'000};
/// Calls that arrive in this time after the start are not counted.
constexpr duration kWarmUpTime{1'000'000};
constexpr duration kColdJoinDelay{2'000'000};
constexpr duration kColdWarmUpTime{5'000'000};
constexpr double kInitialColdSlowness = 10;
constexpr duration kCrashInterval{2'000'000};
constexpr duration kCrashDownTime{500'000};
constexpr std::size_t kMaxBaselineRetries = 2;
constexpr std::string_view kService = "orders";

/// Both indexed by class_kind.
constexpr std::array<double, kKindCount> kMeanServiceTimeUs{10'000, 100'000,
                                                            20'000};
constexpr std::array<duration, kKindCount> kLatencyTarget{
    duration{200'000}, duration{1'000'000}, duration{500'000}};

std::size_t Index(class_kind kind) { return static_cast<std::size_t>(kind); }

}  // namespace

call_simulation::call_simulation(simulation_options options)
    : options_(std::move(options)), random_(options_.seed) {
  AddServers();
  for (std::size_t i = 0; i < kEntryCount; ++i) {
    entry_daemon added;
    selector_options settings{.local_data_centre = "plant",
                              .local_region = "north"};
    added.selector =
        std::make_unique<server_selector>(settings, options_.seed * 10 + i);
    added.retries = std::make_unique<retry_policy>();
    added.outstanding.resize(servers_.size());
    entries_.push_back(std::move(added));
  }
  PublishServers();
}

simulation_results call_simulation::Run() {
  for (const auto kind :
       {class_kind::kLookup, class_kind::kDownload, class_kind::kTransaction}) {
    if (options_.load[Index(kind)] > 0) ScheduleArrival(kind);
  }
  const auto end = begin_ + options_.length;
  while (!events_.empty()) {
    auto next = events_.top();
    events_.pop();
    now_ = next.when;
    // Leaves requests that arrived before the end enough time to finish.
    if (now_ > end + kLatencyTarget[Index(class_kind::kDownload)] * 2) break;
    next.action();
  }
  results_.seconds =
      std::chrono::duration<double>(options_.length - kWarmUpTime).count();
  return results_;
}

void call_simulation::ScheduleAfter(duration delay,
                                    std::function<void()> action) {
  events_.push({now_ + delay, next_order_++, std::move(action)});
}

void call_simulation::AddServers() {
  for (const auto& profile : options_.servers) {
    server added;
    added.profile = profile;
    added.member = "owner" + std::to_string(servers_.size());
    added.joined = !profile.cold;
    admission_options settings;
    // Servers that are not cold have passed the slow start.
    if (!profile.cold) settings.limit.slow_start = duration{1};
    added.poison_quarantine = std::make_unique<quarantine>();
    added.admission = std::make_unique<admission_controller>(settings);
    added.admission->SetSlots(kSlots, now_);
    servers_.push_back(std::move(added));
  }
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (servers_[i].profile.crashes) ScheduleCrash(i);
  }
  ScheduleAfter(kColdJoinDelay, [this] {
    for (auto& item : servers_) item.joined = true;
    PublishServers();
  });
}

void call_simulation::PublishServers() {
  auto next = std::make_shared<snapshot>();
  service_entry service{.name = std::string(kService), .servers = {}};
  for (const auto& item : servers_) {
    if (!item.joined) continue;
    service.servers.push_back({.member = item.member,
                               .data_centre = "plant",
                               .region = "north",
                               .forward_address = "",
                               .incarnation = 1,
                               .slots = kSlots});
  }
  next->services.push_back(std::move(service));
  for (auto& item : entries_) item.selector->Update(next, now_);
}

void call_simulation::ScheduleCrash(std::size_t index) {
  ScheduleAfter(kCrashInterval, [this, index] {
    Crash(index);
    ScheduleAfter(kCrashDownTime, [this, index] {
      auto& item = servers_[index];
      item.up = true;
      item.admission->SetSlots(kSlots, now_);
    });
    ScheduleCrash(index);
  });
}

void call_simulation::ScheduleArrival(class_kind kind) {
  const double arrivals_per_us = options_.load[Index(kind)] * kSlots *
                                 kCapacityServers /
                                 kMeanServiceTimeUs[Index(kind)];
  const double gap = -std::log(1 - random_.NextDouble()) / arrivals_per_us;
  ScheduleAfter(duration(static_cast<std::int64_t>(gap)), [this, kind] {
    if (now_ - begin_ > options_.length) return;
    Arrive(kind);
    ScheduleArrival(kind);
  });
}

duration call_simulation::RandomServiceTime(class_kind kind) {
  // Uniform between 0.5 and 1.5 times the mean.
  return duration(static_cast<std::int64_t>(kMeanServiceTimeUs[Index(kind)] *
                                            (0.5 + random_.NextDouble())));
}

void call_simulation::Arrive(class_kind kind) {
  const auto id = ++last_id_;
  auto& arrived = calls_[id];
  arrived.kind = kind;
  arrived.entry = random_.Below(kEntryCount);
  arrived.arrived_at = now_;
  arrived.deadline = now_ + kLatencyTarget[Index(kind)];
  arrived.service_time = RandomServiceTime(kind);
  arrived.after_warm_up = now_ - begin_ >= kWarmUpTime;
  if (arrived.after_warm_up) ++results_.kinds[Index(kind)].offered;
  if (!UsesProductionCode()) return SendBaselineAttempt(id);
  auto& entry = entries_[arrived.entry];
  call_request request{.service = std::string(kService),
                       .work_class = std::string(ClassKindName(kind)),
                       .kind = kind,
                       .call_id = std::to_string(id),
                       .deadline = arrived.deadline};
  arrived.state_machine = std::make_unique<call_state_machine>(
      std::move(request), call_options{}, *entry.selector, *entry.retries);
  ExecuteActions(id, arrived.state_machine->Start(now_));
}

void call_simulation::RecordOutcome(std::uint64_t id, bool complete) {
  auto& ended = calls_.at(id);
  if (ended.outcome_recorded) return;
  ended.outcome_recorded = true;
  const bool met = complete && now_ <= ended.deadline;
  if (ended.after_warm_up && met) ++results_.kinds[Index(ended.kind)].met;
}

void call_simulation::ExecuteActions(
    std::uint64_t id, const call_state_machine::actions& actions) {
  for (const auto& action : actions) {
    if (action.kind == call_action_kind::kSend) {
      const auto selected = std::find_if(
          servers_.begin(), servers_.end(), [&](const server& item) {
            return item.member == action.server->member;
          });
      const auto index = static_cast<std::size_t>(selected - servers_.begin());
      const auto job_id = ++last_id_;
      jobs_[job_id] = {.call = id, .attempt = action.attempt, .server = index};
      calls_.at(id).state_machine->OnSent(action.attempt);
      if (calls_.at(id).after_warm_up) ++results_.attempts;
      ScheduleAfter(kHopDelay, [this, job_id] { SubmitToOwner(job_id); });
    } else if (action.kind == call_action_kind::kCancelAttempt) {
      ScheduleAfter(kHopDelay, [this, id, attempt = action.attempt] {
        CancelJob(id, attempt);
      });
    } else if (action.kind == call_action_kind::kAnswerError) {
      RecordOutcome(id, false);
    } else if (action.kind == call_action_kind::kEndDelivery) {
      RecordOutcome(id, true);
    }
  }
  const auto& state_machine = *calls_.at(id).state_machine;
  if (state_machine.Finished()) {
    calls_.erase(id);
  } else {
    ScheduleTimer(id);
  }
}

void call_simulation::ScheduleTimer(std::uint64_t id) {
  const auto due = calls_.at(id).state_machine->NextTimer();
  if (!due) return;
  ScheduleAfter(*due - now_, [this, id, due = *due] {
    const auto found = calls_.find(id);
    if (found == calls_.end() ||
        found->second.state_machine->NextTimer() != due)
      return;
    ExecuteActions(id, found->second.state_machine->OnTimer(now_));
  });
}

void call_simulation::SubmitToOwner(std::uint64_t job_id) {
  const auto& arrived = jobs_.at(job_id);
  const auto found = calls_.find(arrived.call);
  if (found == calls_.end()) {
    jobs_.erase(job_id);
    return;
  }
  const auto index = arrived.server;
  const auto& submitted = found->second;
  const auto verdict =
      servers_[index].poison_quarantine->Check(kService, arrived.call, now_);
  RunDecisions(index,
               servers_[index].admission->Submit(
                   {.id = job_id,
                    .kind = submitted.kind,
                    .work_class = std::string(ClassKindName(submitted.kind)),
                    .deadline = submitted.deadline,
                    .exclusive = verdict != quarantine_verdict::kAllow},
                   now_));
}

void call_simulation::RunDecisions(
    std::size_t index, const std::vector<admission_decision>& decisions) {
  for (const auto& decision : decisions) {
    if (!decision.refused) {
      StartJob(decision.id);
      continue;
    }
    const auto ended = jobs_.at(decision.id);
    jobs_.erase(decision.id);
    ScheduleAfter(kHopDelay, [this, ended, reason = *decision.refused] {
      const auto found = calls_.find(ended.call);
      if (found == calls_.end()) return;
      ExecuteActions(ended.call, found->second.state_machine->OnRefused(
                                     ended.attempt, reason, now_));
    });
  }
  if (servers_[index].admission->Queued() > 0) ScheduleTick(index);
}

void call_simulation::ScheduleTick(std::size_t index) {
  if (servers_[index].tick_scheduled) return;
  servers_[index].tick_scheduled = true;
  ScheduleAfter(kTickInterval, [this, index] {
    servers_[index].tick_scheduled = false;
    RunDecisions(index, servers_[index].admission->Tick(now_));
  });
}

void call_simulation::BroadcastSuspects(
    std::size_t from, const std::vector<suspect_event>& events) {
  for (const auto& event : events) {
    ScheduleAfter(kSuspectPropagationDelay, [this, from, event] {
      for (std::size_t i = 0; i < servers_.size(); ++i) {
        if (i != from) servers_[i].poison_quarantine->Apply(event, now_);
      }
    });
  }
}

void call_simulation::CancelJob(std::uint64_t id, std::uint32_t attempt) {
  const auto found =
      std::find_if(jobs_.begin(), jobs_.end(), [&](const auto& item) {
        return item.second.call == id && item.second.attempt == attempt;
      });
  if (found == jobs_.end()) return;
  const auto job_id = found->first;
  const auto index = found->second.server;
  if (found->second.running) --servers_[index].running;
  jobs_.erase(found);
  RunDecisions(index, servers_[index].admission->Cancel(job_id, now_));
}

void call_simulation::SendBaselineAttempt(std::uint64_t id) {
  auto& sent = calls_.at(id);
  auto& entry = entries_[sent.entry];
  const auto index = SelectBaselineServer(entry);
  ++entry.outstanding[index];
  if (sent.after_warm_up) ++results_.attempts;
  const auto job_id = ++last_id_;
  jobs_[job_id] = {.call = id, .server = index};
  ScheduleAfter(kHopDelay, [this, job_id] { EnqueueBaseline(job_id); });
}

std::size_t call_simulation::SelectBaselineServer(entry_daemon& from) {
  const auto load = [&](std::size_t index) -> double {
    const auto& candidate = servers_[index];
    if (!candidate.joined) return 1e18;
    if (options_.policy == call_policy::kLeastOutstanding) {
      return static_cast<double>(from.outstanding[index]);
    }
    if (candidate.profile.reports_idle) return 0;
    return static_cast<double>(candidate.running + candidate.waiting.size() -
                               candidate.first_waiting);
  };
  std::size_t best = servers_.size();
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const auto index = (from.next_server + i) % servers_.size();
    if (!servers_[index].joined) continue;
    if (best == servers_.size() || load(index) < load(best)) best = index;
    if (options_.policy == call_policy::kRoundRobin) break;
  }
  from.next_server = (best + 1) % servers_.size();
  return best;
}

void call_simulation::EnqueueBaseline(std::uint64_t job_id) {
  const auto index = jobs_.at(job_id).server;
  if (!servers_[index].up) return RetryBaseline(job_id);
  servers_[index].waiting.push_back(job_id);
  StartWaitingJobs(index);
}

void call_simulation::StartWaitingJobs(std::size_t index) {
  auto& target = servers_[index];
  while (target.running < kSlots &&
         target.first_waiting < target.waiting.size()) {
    StartJob(target.waiting[target.first_waiting++]);
  }
}

void call_simulation::RetryBaseline(std::uint64_t job_id) {
  const auto lost = jobs_.at(job_id);
  jobs_.erase(job_id);
  auto& failed = calls_.at(lost.call);
  --entries_[failed.entry].outstanding[lost.server];
  const bool repeatable = IsIdempotent(failed.kind) || !lost.running;
  if (repeatable && failed.failures++ < kMaxBaselineRetries) {
    SendBaselineAttempt(lost.call);
  } else {
    calls_.erase(lost.call);
  }
}

void call_simulation::StartJob(std::uint64_t job_id) {
  auto& started = jobs_.at(job_id);
  auto& target = servers_[started.server];
  ++target.running;
  started.running = true;
  started.started_at = now_;
  started.epoch = target.epoch;
  const auto found = calls_.find(started.call);
  const auto service_time =
      found == calls_.end() ? duration{10'000} : found->second.service_time;
  const auto run_time = static_cast<std::int64_t>(
      static_cast<double>(service_time.count()) * Slowness(target));
  ScheduleAfter(duration(run_time), [this, job_id] { EndJob(job_id); });
}

void call_simulation::EndJob(std::uint64_t job_id) {
  const auto found = jobs_.find(job_id);
  if (found == jobs_.end()) return;  // Cancelled, or its server crashed.
  const auto ended = found->second;
  jobs_.erase(found);
  --servers_[ended.server].running;
  ScheduleAfter(kHopDelay, [this, ended] {
    const auto found_call = calls_.find(ended.call);
    if (found_call == calls_.end()) return;
    if (!UsesProductionCode()) {
      --entries_[found_call->second.entry].outstanding[ended.server];
      RecordOutcome(ended.call, true);
      calls_.erase(ended.call);
      return;
    }
    auto& state_machine = *found_call->second.state_machine;
    ExecuteActions(ended.call,
                   state_machine.OnResponseStarted(
                       ended.attempt, std::to_string(ended.call), now_));
    if (calls_.contains(ended.call)) {
      ExecuteActions(ended.call,
                     state_machine.OnResponseEnded(ended.attempt, now_));
    }
  });
  if (UsesProductionCode()) {
    BroadcastSuspects(ended.server,
                      servers_[ended.server].poison_quarantine->OnSuccess(
                          kService, ended.call, now_));
    RunDecisions(ended.server,
                 servers_[ended.server].admission->Finish(
                     job_id, now_ - ended.started_at, true, now_));
  } else {
    StartWaitingJobs(ended.server);
  }
}

void call_simulation::Crash(std::size_t index) {
  auto& crashed = servers_[index];
  crashed.up = false;
  ++crashed.epoch;
  std::vector<std::uint64_t> lost;
  for (const auto& [id, candidate] : jobs_) {
    if (candidate.server == index && candidate.running) lost.push_back(id);
  }
  std::sort(lost.begin(), lost.end());
  crashed.running = 0;
  if (UsesProductionCode()) crashed.admission->SetSlots(0, now_);
  std::vector<std::uint64_t> fingerprints;
  fingerprints.reserve(lost.size());
  for (const auto id : lost) fingerprints.push_back(jobs_.at(id).call);
  if (UsesProductionCode())
    BroadcastSuspects(index, crashed.poison_quarantine->OnCrash(
                                 kService, fingerprints, now_));
  for (const auto id : lost) {
    if (!UsesProductionCode()) {
      RetryBaseline(id);
      continue;
    }
    const auto ended = jobs_.at(id);
    jobs_.erase(id);
    RunDecisions(index,
                 crashed.admission->Finish(id, duration{0}, false, now_));
    const auto found = calls_.find(ended.call);
    if (found == calls_.end()) continue;
    ExecuteActions(
        ended.call,
        found->second.state_machine->OnRefused(
            ended.attempt, error(error_kind::kBackendFailed, "crashed"), now_));
  }
  if (UsesProductionCode())
    return RunDecisions(index, crashed.admission->Tick(now_));
  const std::vector<std::uint64_t> waiting(
      crashed.waiting.begin() +
          static_cast<std::ptrdiff_t>(crashed.first_waiting),
      crashed.waiting.end());
  crashed.waiting.clear();
  crashed.first_waiting = 0;
  for (const auto id : waiting) RetryBaseline(id);
}

double call_simulation::Slowness(const server& target) const {
  if (!target.profile.cold) return target.profile.slowness;
  const auto time_since_join = now_ - begin_ - kColdJoinDelay;
  const double warm_share =
      std::min(1.0, static_cast<double>(time_since_join.count()) /
                        static_cast<double>(kColdWarmUpTime.count()));
  return kInitialColdSlowness + (1 - kInitialColdSlowness) * warm_share;
}

}  // namespace pomelohall::bench
