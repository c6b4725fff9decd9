#include "call_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pomelohall::bench {
namespace {

constexpr std::size_t kEntries = 2;
constexpr std::uint32_t kSlots = 20;
constexpr double kCapacityServers = 4;
constexpr duration kHop{250};
constexpr duration kTick{50'000};
constexpr duration kSpreading{5'000};
constexpr duration kWarmUp{1'000'000};
constexpr duration kColdJoin{2'000'000};
constexpr duration kColdTime{5'000'000};
constexpr double kColdSlowness = 10;
constexpr duration kCrashEvery{2'000'000};
constexpr duration kCrashDown{500'000};
constexpr std::size_t kBaselineRetries = 2;
constexpr std::string_view kService = "orders";

/// Mean service time and target per kind, in class_kind order.
constexpr std::array<double, kKinds> kWorkUs{10'000, 100'000, 20'000};
constexpr std::array<duration, kKinds> kTarget{
    duration{200'000}, duration{1'000'000}, duration{500'000}};

std::size_t Index(class_kind kind) { return static_cast<std::size_t>(kind); }

}  // namespace

call_simulation::call_simulation(simulation_options options)
    : options_(std::move(options)), random_(options_.seed) {
  AddServers();
  for (std::size_t i = 0; i < kEntries; ++i) {
    entry item;
    selector_options settings{.local_data_centre = "plant",
                              .local_region = "north"};
    item.selector =
        std::make_unique<server_selector>(settings, options_.seed * 10 + i);
    item.retries = std::make_unique<retry_policy>();
    item.outstanding.resize(servers_.size());
    entries_.push_back(std::move(item));
  }
  PublishServers();
}

simulation_figures call_simulation::Run() {
  for (const auto kind :
       {class_kind::kLookup, class_kind::kDownload, class_kind::kTransaction}) {
    if (options_.load[Index(kind)] > 0) ScheduleArrival(kind);
  }
  const auto end = begin_ + options_.length;
  while (!events_.empty()) {
    auto next = events_.top();
    events_.pop();
    now_ = next.when;
    // Requests that arrived before the end get time to finish.
    if (now_ > end + kTarget[Index(class_kind::kDownload)] * 2) break;
    next.action();
  }
  figures_.seconds =
      std::chrono::duration<double>(options_.length - kWarmUp).count();
  return figures_;
}

void call_simulation::After(duration delay, std::function<void()> action) {
  events_.push({now_ + delay, order_++, std::move(action)});
}

void call_simulation::AddServers() {
  for (const auto& profile : options_.servers) {
    server item;
    item.profile = profile;
    item.member = "owner" + std::to_string(servers_.size());
    item.joined = !profile.cold;
    admission_options settings;
    // The other servers have been running for long.
    if (!profile.cold) settings.limit.slow_start = duration{1};
    item.suspects = std::make_unique<quarantine>();
    item.owner = std::make_unique<admission_controller>(settings);
    item.owner->SetSlots(kSlots, now_);
    servers_.push_back(std::move(item));
  }
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (servers_[i].profile.crashes) ScheduleCrash(i);
  }
  After(kColdJoin, [this] {
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
  After(kCrashEvery, [this, index] {
    Crash(index);
    After(kCrashDown, [this, index] {
      auto& item = servers_[index];
      item.up = true;
      item.owner->SetSlots(kSlots, now_);
    });
    ScheduleCrash(index);
  });
}

void call_simulation::ScheduleArrival(class_kind kind) {
  const double per_us = options_.load[Index(kind)] * kSlots * kCapacityServers /
                        kWorkUs[Index(kind)];
  const double gap = -std::log(1 - random_.NextDouble()) / per_us;
  After(duration(static_cast<std::int64_t>(gap)), [this, kind] {
    if (now_ - begin_ > options_.length) return;
    Arrive(kind);
    ScheduleArrival(kind);
  });
}

duration call_simulation::WorkOf(class_kind kind) {
  // Between half and one and a half of the mean.
  return duration(static_cast<std::int64_t>(kWorkUs[Index(kind)] *
                                            (0.5 + random_.NextDouble())));
}

void call_simulation::Arrive(class_kind kind) {
  const auto id = ++last_id_;
  auto& item = calls_[id];
  item.kind = kind;
  item.entry = random_.Below(kEntries);
  item.begun_at = now_;
  item.deadline = now_ + kTarget[Index(kind)];
  item.work = WorkOf(kind);
  item.counted = now_ - begin_ >= kWarmUp;
  if (item.counted) ++figures_.kinds[Index(kind)].offered;
  if (!Real()) return SendBaseline(id);
  auto& from = entries_[item.entry];
  plan_request request{.service = std::string(kService),
                       .work_class = std::string(ClassKindName(kind)),
                       .kind = kind,
                       .call_id = std::to_string(id),
                       .deadline = item.deadline};
  item.plan = std::make_unique<call_plan>(std::move(request), plan_options{},
                                          *from.selector, *from.retries);
  RunPlan(id, item.plan->Start(now_));
}

void call_simulation::Settle(std::uint64_t id, bool whole) {
  auto& item = calls_.at(id);
  if (item.settled) return;
  item.settled = true;
  const bool met = whole && now_ <= item.deadline;
  if (item.counted && met) ++figures_.kinds[Index(item.kind)].met;
}

void call_simulation::RunPlan(std::uint64_t id,
                              const call_plan::actions& todo) {
  for (const auto& action : todo) {
    if (action.kind == plan_action_kind::kSend) {
      const auto at = std::find_if(
          servers_.begin(), servers_.end(), [&](const server& item) {
            return item.member == action.server->member;
          });
      const auto index = static_cast<std::size_t>(at - servers_.begin());
      const auto job_id = ++last_id_;
      jobs_[job_id] = {.call = id, .attempt = action.attempt, .server = index};
      calls_.at(id).plan->OnSent(action.attempt);
      if (calls_.at(id).counted) ++figures_.attempts;
      After(kHop, [this, job_id] { OnOwner(job_id); });
    } else if (action.kind == plan_action_kind::kCancelAttempt) {
      After(kHop,
            [this, id, attempt = action.attempt] { CancelJob(id, attempt); });
    } else if (action.kind == plan_action_kind::kAnswerError) {
      Settle(id, false);
    } else if (action.kind == plan_action_kind::kEndDelivery) {
      Settle(id, true);
    }
  }
  const auto& plan = *calls_.at(id).plan;
  if (plan.Finished()) {
    calls_.erase(id);
  } else {
    ScheduleTimer(id);
  }
}

void call_simulation::ScheduleTimer(std::uint64_t id) {
  const auto due = calls_.at(id).plan->NextTimer();
  if (!due) return;
  After(*due - now_, [this, id, due = *due] {
    const auto found = calls_.find(id);
    if (found == calls_.end() || found->second.plan->NextTimer() != due) return;
    RunPlan(id, found->second.plan->OnTimer(now_));
  });
}

void call_simulation::OnOwner(std::uint64_t job_id) {
  const auto& item = jobs_.at(job_id);
  const auto found = calls_.find(item.call);
  if (found == calls_.end()) {
    jobs_.erase(job_id);
    return;
  }
  const auto index = item.server;
  const auto& owner_of = found->second;
  const auto verdict =
      servers_[index].suspects->Check(kService, item.call, now_);
  RunDecisions(index,
               servers_[index].owner->Submit(
                   {.id = job_id,
                    .kind = owner_of.kind,
                    .work_class = std::string(ClassKindName(owner_of.kind)),
                    .deadline = owner_of.deadline,
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
    After(kHop, [this, ended, reason = *decision.refused] {
      const auto found = calls_.find(ended.call);
      if (found == calls_.end()) return;
      RunPlan(ended.call,
              found->second.plan->OnRefused(ended.attempt, reason, now_));
    });
  }
  if (servers_[index].owner->Queued() > 0) ScheduleTick(index);
}

void call_simulation::ScheduleTick(std::size_t index) {
  if (servers_[index].ticking) return;
  servers_[index].ticking = true;
  After(kTick, [this, index] {
    servers_[index].ticking = false;
    RunDecisions(index, servers_[index].owner->Tick(now_));
  });
}

void call_simulation::Tell(std::size_t from,
                           const std::vector<suspect_event>& events) {
  for (const auto& told : events) {
    After(kSpreading, [this, from, told] {
      for (std::size_t i = 0; i < servers_.size(); ++i) {
        if (i != from) servers_[i].suspects->Apply(told, now_);
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
  RunDecisions(index, servers_[index].owner->Cancel(job_id, now_));
}

void call_simulation::SendBaseline(std::uint64_t id) {
  auto& item = calls_.at(id);
  auto& from = entries_[item.entry];
  const auto index = SelectBaseline(from);
  ++from.outstanding[index];
  if (item.counted) ++figures_.attempts;
  const auto job_id = ++last_id_;
  jobs_[job_id] = {.call = id, .server = index};
  After(kHop, [this, job_id] { OnServerBaseline(job_id); });
}

std::size_t call_simulation::SelectBaseline(entry& from) {
  const auto load = [&](std::size_t index) -> double {
    const auto& item = servers_[index];
    if (!item.joined) return 1e18;
    if (options_.policy == call_policy::kLeastOutstanding) {
      return static_cast<double>(from.outstanding[index]);
    }
    if (item.profile.reports_idle) return 0;
    return static_cast<double>(item.running + item.waiting.size() -
                               item.first_waiting);
  };
  std::size_t best = servers_.size();
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const auto index = (from.next + i) % servers_.size();
    if (!servers_[index].joined) continue;
    if (best == servers_.size() || load(index) < load(best)) best = index;
    if (options_.policy == call_policy::kRoundRobin) break;
  }
  from.next = (best + 1) % servers_.size();
  return best;
}

void call_simulation::OnServerBaseline(std::uint64_t job_id) {
  const auto index = jobs_.at(job_id).server;
  if (!servers_[index].up) return FailBaseline(job_id);
  servers_[index].waiting.push_back(job_id);
  StartWaiting(index);
}

void call_simulation::StartWaiting(std::size_t index) {
  auto& item = servers_[index];
  while (item.running < kSlots && item.first_waiting < item.waiting.size()) {
    StartJob(item.waiting[item.first_waiting++]);
  }
}

void call_simulation::FailBaseline(std::uint64_t job_id) {
  const auto ended = jobs_.at(job_id);
  jobs_.erase(job_id);
  auto& item = calls_.at(ended.call);
  --entries_[item.entry].outstanding[ended.server];
  const bool repeatable = IsIdempotent(item.kind) || !ended.running;
  if (repeatable && item.failures++ < kBaselineRetries) {
    SendBaseline(ended.call);
  } else {
    calls_.erase(ended.call);
  }
}

void call_simulation::StartJob(std::uint64_t job_id) {
  auto& item = jobs_.at(job_id);
  auto& at = servers_[item.server];
  ++at.running;
  item.running = true;
  item.started_at = now_;
  item.epoch = at.epoch;
  const auto found = calls_.find(item.call);
  const auto work =
      found == calls_.end() ? duration{10'000} : found->second.work;
  const auto time = static_cast<std::int64_t>(
      static_cast<double>(work.count()) * Slowness(at));
  After(duration(time), [this, job_id] { EndJob(job_id); });
}

void call_simulation::EndJob(std::uint64_t job_id) {
  const auto found = jobs_.find(job_id);
  if (found == jobs_.end()) return;  // Cancelled or lost in a crash.
  const auto ended = found->second;
  jobs_.erase(found);
  --servers_[ended.server].running;
  After(kHop, [this, ended] {
    const auto caller = calls_.find(ended.call);
    if (caller == calls_.end()) return;
    if (!Real()) {
      --entries_[caller->second.entry].outstanding[ended.server];
      Settle(ended.call, true);
      calls_.erase(ended.call);
      return;
    }
    auto& plan = *caller->second.plan;
    RunPlan(ended.call, plan.OnResponseStarted(
                            ended.attempt, std::to_string(ended.call), now_));
    if (calls_.contains(ended.call)) {
      RunPlan(ended.call, plan.OnResponseEnded(ended.attempt, now_));
    }
  });
  if (Real()) {
    Tell(ended.server, servers_[ended.server].suspects->OnSuccess(
                           kService, ended.call, now_));
    RunDecisions(ended.server,
                 servers_[ended.server].owner->Finish(
                     job_id, now_ - ended.started_at, true, now_));
  } else {
    StartWaiting(ended.server);
  }
}

void call_simulation::Crash(std::size_t index) {
  auto& item = servers_[index];
  item.up = false;
  ++item.epoch;
  std::vector<std::uint64_t> lost;
  for (const auto& [id, held] : jobs_) {
    if (held.server == index && held.running) lost.push_back(id);
  }
  std::sort(lost.begin(), lost.end());
  item.running = 0;
  if (Real()) item.owner->SetSlots(0, now_);
  std::vector<std::uint64_t> fingerprints;
  fingerprints.reserve(lost.size());
  for (const auto id : lost) fingerprints.push_back(jobs_.at(id).call);
  if (Real()) Tell(index, item.suspects->OnCrash(kService, fingerprints, now_));
  for (const auto id : lost) {
    if (!Real()) {
      FailBaseline(id);
      continue;
    }
    const auto ended = jobs_.at(id);
    jobs_.erase(id);
    RunDecisions(index, item.owner->Finish(id, duration{0}, false, now_));
    const auto found = calls_.find(ended.call);
    if (found == calls_.end()) continue;
    RunPlan(
        ended.call,
        found->second.plan->OnRefused(
            ended.attempt, error(error_kind::kBackendFailed, "crashed"), now_));
  }
  if (Real()) return RunDecisions(index, item.owner->Tick(now_));
  const std::vector<std::uint64_t> waiting(
      item.waiting.begin() + static_cast<std::ptrdiff_t>(item.first_waiting),
      item.waiting.end());
  item.waiting.clear();
  item.first_waiting = 0;
  for (const auto id : waiting) FailBaseline(id);
}

double call_simulation::Slowness(const server& item) const {
  if (!item.profile.cold) return item.profile.slowness;
  const auto warm = now_ - begin_ - kColdJoin;
  const double share =
      std::min(1.0, static_cast<double>(warm.count()) /
                        static_cast<double>(kColdTime.count()));
  return kColdSlowness + (1 - kColdSlowness) * share;
}

}  // namespace pomelohall::bench
