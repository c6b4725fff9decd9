#include "mesh/work_queue.h"

#include <algorithm>
#include <utility>

namespace pomelohall {
namespace {

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
  if (EndTime(item, start) > item.deadline ||
      wait + LinkWait(item, start) > item.max_wait) {
    return queue_decision::kRefuse;
  }
  if (!in_time && wait + LinkWait(item, start) > options_.max_late_wait) {
    return queue_decision::kRefuse;
  }
  if (running_.size() < options_.slots && waiting_.empty()) {
    Start(item);
    return queue_decision::kRun;
  }
  waiting_.emplace(key, item);
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

void work_queue::Start(const work_item& item) {
  running_.emplace(item.id, item.work_class);
}

std::optional<std::uint64_t> work_queue::Next(instant now) {
  while (running_.size() < options_.slots && !waiting_.empty()) {
    const auto first = waiting_.begin();
    const auto item = first->second;
    const bool was_in_time = !std::get<1>(first->first);
    if (was_in_time && !MeetsTarget(item, now)) {
      // It waited longer than expected and now runs after work that is in time.
      const auto key = MakeKey(item, false, std::get<3>(first->first));
      waiting_.erase(first);
      waiting_.emplace(key, item);
      keys_[item.id] = key;
      continue;
    }
    waiting_.erase(first);
    keys_.erase(item.id);
    Start(item);
    return item.id;
  }
  return std::nullopt;
}

std::vector<std::uint64_t> work_queue::TakeExpired(instant now) {
  std::vector<std::uint64_t> expired;
  for (const auto& [key, item] : waiting_) {
    if (now + MeanRunTime(item.work_class) > item.deadline) {
      expired.push_back(item.id);
    }
  }
  for (const auto id : expired) Remove(id);
  return expired;
}

std::vector<std::uint64_t> work_queue::TakeAll() {
  std::vector<std::uint64_t> all;
  for (const auto& [key, item] : waiting_) all.push_back(item.id);
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
    class_run_time_us_[found->second].Add(sample);
    mean_run_time_us_.Add(sample);
  }
  running_.erase(found);
}

duration work_queue::ExpectedWait(const order_key& key) const {
  if (running_.size() < options_.slots && waiting_.empty()) return duration(0);
  double ahead_us = mean_run_time_us_.Value();  // Until the first slot is free.
  for (const auto& [other, waiting] : waiting_) {
    if (key < other) break;
    const auto time = MeanRunTime(waiting.work_class).count();
    ahead_us +=
        time > 0 ? static_cast<double>(time) : mean_run_time_us_.Value();
  }
  return ToDuration(ahead_us / static_cast<double>(options_.slots));
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
