#include "simulation.h"

#include <algorithm>

namespace pomelohall::matrix::calls {
namespace {

constexpr duration kLinkLatency{500};
constexpr duration kDeathNotificationDelay{1'000};

}  // namespace

process_id simulation::AddProcess(std::string name, std::string data_centre) {
  processes_.push_back(
      {.name = std::move(name), .data_centre = std::move(data_centre)});
  return processes_.size() - 1;
}

void simulation::Send(message item) {
  const auto epoch = processes_[item.to].epoch;
  const connection_key key{item.from, item.to, item.connection};
  const auto fault = TakeFault(item);
  if (fault == message_fault::kLost) stalled_connections_.insert(key);
  if (stalled_connections_.contains(key)) return;
  auto arrival = now_ + kLinkLatency;
  if (fault == message_fault::kDelayed) arrival += kMessageDelay;
  if (fault == message_fault::kReordered) arrival += kReorderDelay;
  auto& last = last_arrival_[key];
  arrival = std::max(arrival, last);
  last = arrival;
  const bool twice = fault == message_fault::kDuplicated;
  if (twice) {
    Schedule(arrival + kReorderDelay,
             [this, item, epoch] { Arrive(item, epoch); });
  }
  Schedule(arrival,
           [this, item = std::move(item), epoch] { Arrive(item, epoch); });
}

void simulation::Arrive(const message& item, std::uint64_t epoch) {
  if (ArePartitioned(item.from, item.to)) return;
  const auto& receiver = processes_[item.to];
  if (!receiver.alive || receiver.epoch != epoch) {
    NotifyDeath(item.from, item.to, epoch);
    return;
  }
  ScheduleAtProcess(now_, item.to, epoch, item.deliver);
}

void simulation::RunAtProcess(duration delay, process_id process,
                              std::function<void()> action) {
  ScheduleAtProcess(now_ + delay, process, processes_[process].epoch,
                    std::move(action));
}

void simulation::RunAfter(duration delay, std::function<void()> action) {
  Schedule(now_ + delay, std::move(action));
}

void simulation::ScheduleAtProcess(instant when, process_id process,
                                   std::uint64_t epoch,
                                   std::function<void()> action) {
  Schedule(when, [this, process, epoch, action = std::move(action)] {
    const auto& target = processes_[process];
    if (!target.alive || target.epoch != epoch) return;
    if (now_ < target.frozen_until) {
      ScheduleAtProcess(target.frozen_until, process, epoch, action);
      return;
    }
    action();
  });
}

void simulation::Kill(process_id id) {
  auto& target = processes_[id];
  if (!target.alive) return;
  target.alive = false;
  target.frozen_until = {};
  for (process_id observer = 0; observer < processes_.size(); ++observer) {
    if (observer != id && !ArePartitioned(observer, id)) {
      NotifyDeath(observer, id, target.epoch);
    }
  }
}

void simulation::Restart(process_id id, duration pause) {
  Kill(id);
  RunAfter(pause, [this, id] {
    auto& target = processes_[id];
    if (target.alive) return;
    target.alive = true;
    ++target.epoch;
    on_restarted(id);
  });
}

void simulation::Freeze(process_id id, duration time) {
  processes_[id].frozen_until = now_ + time;
}

void simulation::Partition(duration time) { partitioned_until_ = now_ + time; }

void simulation::ArmMessageFault(message_fault fault, std::size_t request,
                                 std::size_t skip) {
  armed_faults_.push_back({fault, request, skip});
}

void simulation::RunUntil(instant end) {
  while (!events_.empty() && events_.begin()->first.first <= end) {
    auto event = events_.extract(events_.begin());
    now_ = event.key().first;
    event.mapped()();
  }
  now_ = end;
}

void simulation::Schedule(instant when, std::function<void()> action) {
  events_.emplace(std::pair(std::max(when, now_), next_event_++),
                  std::move(action));
}

void simulation::NotifyDeath(process_id observer, process_id dead,
                             std::uint64_t epoch) {
  if (!processes_[observer].alive) return;
  ScheduleAtProcess(
      now_ + kDeathNotificationDelay, observer, processes_[observer].epoch,
      [this, observer, dead, epoch] { on_peer_died(observer, dead, epoch); });
}

bool simulation::ArePartitioned(process_id left, process_id right) const {
  const auto& one = processes_[left].data_centre;
  const auto& other = processes_[right].data_centre;
  return Partitioned() && !one.empty() && !other.empty() && one != other;
}

std::optional<message_fault> simulation::TakeFault(const message& item) {
  for (auto position = armed_faults_.begin(); position != armed_faults_.end();
       ++position) {
    if (position->request != item.request) continue;
    const bool repeats = position->fault == message_fault::kDuplicated;
    if (repeats && item.delivery == message_delivery::kOnce) continue;
    if (position->skip-- > 0) continue;
    const auto fault = position->fault;
    armed_faults_.erase(position);
    return fault;
  }
  return std::nullopt;
}

}  // namespace pomelohall::matrix::calls
