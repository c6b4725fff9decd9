#include "mesh/work_queue.h"

#include <algorithm>
#include <utility>

namespace pomelohall {
namespace {

// Any longer wait is unlimited; added to the current time it must not overflow.
constexpr duration kLongestWait = std::chrono::hours(1);

duration ToDuration(double microseconds) {
  return duration(static_cast<std::int64_t>(microseconds));
}

}  // namespace

work_queue::work_queue(work_queue_options options) : options_(options) {}

void work_queue::SetSlots(std::size_t slots) {
  options_.slots = std::max<std::size_t>(slots, 1);
}

queue_decision work_queue::Offer(const work_item& item, instant now) {
  const auto sequence = next_sequence_++;
  auto key = MakeKey(item, true, sequence);
  auto wait = ExpectedWait(key);
  const bool in_time = MeetsTarget(item, now + wait);
  if (!in_time) {
    key = MakeKey(item, false, sequence);
    wait = ExpectedWait(key);
  }
  const auto start = now + wait;
  const waiting_work work{
      .item = item,
      .start_by = now + std::min(options_.max_wait, kLongestWait)};
  const bool runs = FreeSlots() > 0 && waiting_.empty();
  const bool can_start =
      CanStart(work, runs ? now : ExpectedStart(wait, now)) ||
      (runs && IsRunTimeOutdated(item.work_class, now) &&
       std::max(now, item.link_free_at) + item.link_time <= item.deadline);
  if (!can_start || wait + LinkWait(item, start) > item.max_wait) {
    return queue_decision::kRefuse;
  }
  if (!in_time && wait + LinkWait(item, start) > options_.max_late_wait) {
    return queue_decision::kRefuse;
  }
  if (runs) {
    Start(item, now);
    return queue_decision::kRun;
  }
  waiting_.emplace(key, work);
  keys_.emplace(item.id, key);
  return queue_decision::kWait;
}

work_queue::order_key work_queue::MakeKey(const work_item& item, bool in_time,
                                          std::uint64_t sequence) {
  return {item.priority, !in_time, item.target_at, sequence};
}

bool work_queue::MeetsTarget(const work_item& item, instant start) const {
  const auto margin = std::chrono::duration_cast<duration>(
      options_.time_margin * MeanRunTime(item.work_class));
  return EndTime(item, start) + margin <= item.target_at;
}

duration work_queue::LinkWait(const work_item& item, instant start) const {
  const auto ready_at = start + MeanRunTime(item.work_class);
  return std::max(item.link_free_at - ready_at, duration(0));
}

instant work_queue::EndTime(const work_item& item, instant start) const {
  return start + MeanRunTime(item.work_class) + LinkWait(item, start) +
         item.link_time;
}

bool work_queue::CanStart(const waiting_work& work, instant start) const {
  return start <= work.start_by &&
         EndTime(work.item, start) <= work.item.deadline;
}

instant work_queue::ExpectedStart(duration wait, instant now) const {
  return now + std::max(wait, options_.check_interval);
}

std::size_t work_queue::FreeSlots() const {
  return options_.slots - std::min(options_.slots, running_.size());
}

bool work_queue::IsRunTimeOutdated(const std::string& work_class,
                                   instant now) const {
  const auto found = class_started_at_.find(work_class);
  return found != class_started_at_.end() &&
         now - found->second > options_.run_time_lifetime;
}

void work_queue::Start(const work_item& item, instant now) {
  running_.emplace(
      item.id, running_work{.work_class = item.work_class, .started_at = now});
  class_started_at_[item.work_class] = now;
}

void work_queue::DemoteLate(instant now) {
  std::vector<order_key> late;
  for (const auto& [key, work] : waiting_) {
    const bool was_in_time = !std::get<1>(key);
    if (was_in_time && !MeetsTarget(work.item, now)) late.push_back(key);
  }
  for (const auto& key : late) {
    auto node = waiting_.extract(key);
    std::get<1>(node.key()) = true;
    keys_[node.mapped().item.id] = node.key();
    waiting_.insert(std::move(node));
  }
}

std::optional<std::uint64_t> work_queue::Next(instant now) {
  if (FreeSlots() == 0) return std::nullopt;
  DemoteLate(now);
  const auto next = std::find_if(
      waiting_.begin(), waiting_.end(),
      [&](const auto& entry) { return CanStart(entry.second, now); });
  if (next == waiting_.end()) return std::nullopt;
  const auto id = next->second.item.id;
  Start(next->second.item, now);
  Remove(id);
  return id;
}

std::vector<std::uint64_t> work_queue::TakeExpired(instant now) {
  DemoteLate(now);
  std::vector<std::uint64_t> expired;
  auto free_slots = FreeSlots();
  double ahead_us = mean_run_time_us_.Value();  // Until the first slot is free.
  for (const auto& [key, work] : waiting_) {
    const auto start =
        free_slots > 0 ? now : ExpectedStart(WaitBehind(ahead_us), now);
    if (!CanStart(work, start)) {
      expired.push_back(work.item.id);
    } else if (free_slots > 0) {
      --free_slots;
    } else {
      ahead_us += ExpectedRunTimeUs(work.item);
    }
  }
  for (const auto id : expired) Remove(id);
  return expired;
}

void work_queue::LimitDeadline(std::uint64_t id, instant latest) {
  const auto found = keys_.find(id);
  if (found == keys_.end()) return;
  auto& deadline = waiting_.at(found->second).item.deadline;
  deadline = std::min(deadline, latest);
}

std::vector<std::uint64_t> work_queue::TakeAll() {
  std::vector<std::uint64_t> all;
  for (const auto& [key, work] : waiting_) all.push_back(work.item.id);
  waiting_.clear();
  keys_.clear();
  return all;
}

void work_queue::Remove(std::uint64_t id) {
  const auto found = keys_.find(id);
  if (found == keys_.end()) return;
  waiting_.erase(found->second);
  keys_.erase(found);
}

void work_queue::OnFinished(std::uint64_t id,
                            std::optional<duration> run_time) {
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  if (run_time) {
    const auto sample = static_cast<double>(run_time->count());
    const auto& work = found->second;
    class_run_time_us_[work.work_class].Add(sample, work.started_at);
    mean_run_time_us_.Add(sample, work.started_at);
  }
  running_.erase(found);
}

duration work_queue::ExpectedWait(const order_key& key) const {
  if (FreeSlots() > 0 && waiting_.empty()) return duration(0);
  double ahead_us = mean_run_time_us_.Value();  // Until the first slot is free.
  for (const auto& [other, waiting] : waiting_) {
    if (key < other) break;
    ahead_us += ExpectedRunTimeUs(waiting.item);
  }
  return WaitBehind(ahead_us);
}

duration work_queue::WaitBehind(double ahead_us) const {
  return ToDuration(ahead_us / static_cast<double>(options_.slots));
}

double work_queue::ExpectedRunTimeUs(const work_item& item) const {
  const auto time = MeanRunTime(item.work_class).count();
  return time > 0 ? static_cast<double>(time) : mean_run_time_us_.Value();
}

duration work_queue::MeanRunTime(const std::string& work_class) const {
  const auto found = class_run_time_us_.find(work_class);
  return ToDuration(found == class_run_time_us_.end() ? 0
                                                      : found->second.Value());
}

work_load work_queue::Load() const {
  return {.running = running_.size(),
          .waiting = waiting_.size(),
          .slots = options_.slots,
          .mean_time = ToDuration(mean_run_time_us_.Value())};
}

}  // namespace pomelohall
