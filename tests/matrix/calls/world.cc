#include "world.h"

#include <algorithm>

namespace pomelohall::matrix::calls {
namespace {

constexpr duration kHopTime{500};
constexpr duration kDeathNotice{1'000};

}  // namespace

process_id world::AddProcess(std::string name, std::string data_centre) {
  processes_.push_back(
      {.name = std::move(name), .data_centre = std::move(data_centre)});
  return processes_.size() - 1;
}

void world::Send(message item) {
  const auto epoch = processes_[item.to].epoch;
  const connection_key key{item.from, item.to, item.connection};
  const auto fault = TakeFault(item);
  if (fault == message_fault::kLost) hung_.insert(key);
  if (hung_.contains(key)) return;
  auto arrival = now_ + kHopTime;
  if (fault == message_fault::kDelayed) arrival += kDelay;
  if (fault == message_fault::kCrossed) arrival += kCrossingDelay;
  auto& last = last_arrival_[key];
  arrival = std::max(arrival, last);
  last = arrival;
  const bool twice = fault == message_fault::kDuplicated;
  if (twice) {
    Schedule(arrival + kCrossingDelay,
             [this, item, epoch] { Arrive(item, epoch); });
  }
  Schedule(arrival,
           [this, item = std::move(item), epoch] { Arrive(item, epoch); });
}

void world::Arrive(const message& item, std::uint64_t epoch) {
  if (Separated(item.from, item.to)) return;
  const auto& receiver = processes_[item.to];
  if (!receiver.alive || receiver.epoch != epoch) {
    TellDeath(item.from, item.to, epoch);
    return;
  }
  AtProcess(now_, item.to, epoch, item.deliver);
}

void world::After(duration delay, process_id process,
                  std::function<void()> action) {
  AtProcess(now_ + delay, process, processes_[process].epoch,
            std::move(action));
}

void world::Always(duration delay, std::function<void()> action) {
  Schedule(now_ + delay, std::move(action));
}

void world::AtProcess(instant when, process_id process, std::uint64_t epoch,
                      std::function<void()> action) {
  Schedule(when, [this, process, epoch, action = std::move(action)] {
    const auto& target = processes_[process];
    if (!target.alive || target.epoch != epoch) return;
    if (now_ < target.frozen_until) {
      AtProcess(target.frozen_until, process, epoch, action);
      return;
    }
    action();
  });
}

void world::Kill(process_id id) {
  auto& target = processes_[id];
  if (!target.alive) return;
  target.alive = false;
  target.frozen_until = {};
  for (process_id observer = 0; observer < processes_.size(); ++observer) {
    if (observer != id && !Separated(observer, id)) {
      TellDeath(observer, id, target.epoch);
    }
  }
}

void world::Restart(process_id id, duration pause) {
  Kill(id);
  Always(pause, [this, id] {
    auto& target = processes_[id];
    if (target.alive) return;
    target.alive = true;
    ++target.epoch;
    on_restarted(id);
  });
}

void world::Freeze(process_id id, duration time) {
  processes_[id].frozen_until = now_ + time;
}

void world::Partition(duration time) { partitioned_until_ = now_ + time; }

void world::ArmMessageFault(message_fault fault, std::size_t request,
                            std::size_t skip) {
  armed_.push_back({fault, request, skip});
}

void world::RunUntil(instant end) {
  while (!events_.empty() && events_.begin()->first.first <= end) {
    auto event = events_.extract(events_.begin());
    now_ = event.key().first;
    event.mapped()();
  }
  now_ = end;
}

void world::Schedule(instant when, std::function<void()> action) {
  events_.emplace(std::pair(std::max(when, now_), next_event_++),
                  std::move(action));
}

void world::TellDeath(process_id observer, process_id dead,
                      std::uint64_t epoch) {
  if (!processes_[observer].alive) return;
  AtProcess(
      now_ + kDeathNotice, observer, processes_[observer].epoch,
      [this, observer, dead, epoch] { on_peer_died(observer, dead, epoch); });
}

bool world::Separated(process_id left, process_id right) const {
  const auto& one = processes_[left].data_centre;
  const auto& other = processes_[right].data_centre;
  return Partitioned() && !one.empty() && !other.empty() && one != other;
}

std::optional<message_fault> world::TakeFault(const message& item) {
  for (auto position = armed_.begin(); position != armed_.end(); ++position) {
    if (position->request != item.request) continue;
    const bool repeats = position->fault == message_fault::kDuplicated;
    if (repeats && item.repeat == copies::kOnce) continue;
    if (position->skip-- > 0) continue;
    const auto fault = position->fault;
    armed_.erase(position);
    return fault;
  }
  return std::nullopt;
}

}  // namespace pomelohall::matrix::calls
