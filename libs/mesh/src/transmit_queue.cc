#include "mesh/transmit_queue.h"

#include <algorithm>
#include <utility>

namespace pomelohall {
namespace {

// Timers fire late by milliseconds; a turn that is taken late by up to this
// does not move the later ones.
constexpr duration kCatchUp = std::chrono::milliseconds(20);

}  // namespace

transmit_queue::transmit_queue(transmit_queue_options options)
    : options_(options) {}

duration transmit_queue::TimeOf(std::uint64_t bytes) const {
  if (options_.bytes_per_second <= 0) return duration(0);
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
      static_cast<double>(bytes) / options_.bytes_per_second));
}

bool transmit_queue::IsPaced(std::uint64_t bytes) const {
  return options_.bytes_per_second > 0 &&
         TimeOf(bytes) >= options_.min_paced_time;
}

void transmit_queue::OnAnswer(const std::string& work_class,
                              std::uint64_t bytes) {
  class_bytes_[work_class].Add(static_cast<double>(bytes));
}

duration transmit_queue::ExpectedTime(const std::string& work_class) const {
  const auto found = class_bytes_.find(work_class);
  if (found == class_bytes_.end()) return duration(0);
  const auto bytes = static_cast<std::uint64_t>(found->second.Value());
  return IsPaced(bytes) ? TimeOf(bytes) : duration(0);
}

void transmit_queue::Promise(std::uint64_t request,
                             const std::string& work_class) {
  const auto time = ExpectedTime(work_class);
  if (time.count() == 0) return;
  if (promised_.emplace(request, time).second) promised_time_ += time;
}

void transmit_queue::Withdraw(std::uint64_t request) {
  const auto found = promised_.find(request);
  if (found == promised_.end()) return;
  promised_time_ -= found->second;
  promised_.erase(found);
}

void transmit_queue::Add(const transmission& answer) {
  waiting_.push_back(answer);
  waiting_time_ += TimeOf(answer.bytes);
}

void transmit_queue::Remove(std::uint64_t id) {
  const auto found =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [id](const auto& entry) { return entry.id == id; });
  if (found == waiting_.end()) return;
  waiting_time_ -= TimeOf(found->bytes);
  waiting_.erase(found);
}

std::optional<std::uint64_t> transmit_queue::Next(instant now) {
  if (waiting_.empty() || now < free_at_) return std::nullopt;
  auto next = waiting_.end();
  for (auto entry = waiting_.begin(); entry != waiting_.end(); ++entry) {
    if (now + TimeOf(entry->bytes) > entry->target_at) continue;
    if (next == waiting_.end() || entry->target_at < next->target_at) {
      next = entry;
    }
  }
  if (next == waiting_.end()) next = waiting_.begin();
  const auto id = next->id;
  free_at_ = std::max(free_at_, now - kCatchUp) + TimeOf(next->bytes);
  Remove(id);
  return id;
}

void transmit_queue::OnSent(std::uint64_t bytes, instant now) {
  free_at_ = std::max(free_at_, now) + TimeOf(bytes);
}

instant transmit_queue::DoneAt(instant now) const {
  return std::max(now, free_at_) + waiting_time_ + promised_time_;
}

}  // namespace pomelohall
