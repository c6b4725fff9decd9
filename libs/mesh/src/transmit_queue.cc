#include "mesh/transmit_queue.h"

#include <algorithm>
#include <utility>

namespace pomelohall {
namespace {

// Timers fire late by milliseconds. A delay of up to this does not postpone the
// transmissions that follow.
constexpr duration kMaxTimerDelay = std::chrono::milliseconds(20);

}  // namespace

transmit_queue::transmit_queue(transmit_queue_options options)
    : options_(options) {}

duration transmit_queue::LinkTime(std::uint64_t bytes) const {
  if (options_.bytes_per_second <= 0) return duration(0);
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
      static_cast<double>(bytes) / options_.bytes_per_second));
}

bool transmit_queue::IsPaced(std::uint64_t bytes) const {
  return options_.bytes_per_second > 0 &&
         LinkTime(bytes) >= options_.min_paced_time;
}

void transmit_queue::OnResponseSize(const std::string& work_class,
                                    std::uint64_t bytes) {
  class_bytes_[work_class].Add(static_cast<double>(bytes));
}

duration transmit_queue::ExpectedLinkTime(const std::string& work_class) const {
  const auto found = class_bytes_.find(work_class);
  if (found == class_bytes_.end()) return duration(0);
  const auto bytes = static_cast<std::uint64_t>(found->second.Value());
  return IsPaced(bytes) ? LinkTime(bytes) : duration(0);
}

void transmit_queue::Reserve(std::uint64_t request,
                             const std::string& work_class) {
  const auto time = ExpectedLinkTime(work_class);
  if (time.count() == 0) return;
  if (reserved_.emplace(request, time).second) reserved_link_time_ += time;
}

void transmit_queue::Release(std::uint64_t request) {
  const auto found = reserved_.find(request);
  if (found == reserved_.end()) return;
  reserved_link_time_ -= found->second;
  reserved_.erase(found);
}

void transmit_queue::Add(const transmission& response) {
  waiting_.push_back(response);
  waiting_link_time_ += LinkTime(response.bytes);
}

void transmit_queue::Remove(std::uint64_t id) {
  const auto found =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [id](const auto& entry) { return entry.id == id; });
  if (found == waiting_.end()) return;
  waiting_link_time_ -= LinkTime(found->bytes);
  waiting_.erase(found);
}

std::optional<std::uint64_t> transmit_queue::Next(instant now) {
  if (waiting_.empty() || now < link_free_at_) return std::nullopt;
  auto next = waiting_.end();
  for (auto entry = waiting_.begin(); entry != waiting_.end(); ++entry) {
    if (now + LinkTime(entry->bytes) > entry->target_at) continue;
    if (next == waiting_.end() || entry->target_at < next->target_at) {
      next = entry;
    }
  }
  if (next == waiting_.end()) next = waiting_.begin();
  const auto id = next->id;
  link_free_at_ =
      std::max(link_free_at_, now - kMaxTimerDelay) + LinkTime(next->bytes);
  Remove(id);
  return id;
}

void transmit_queue::OnSent(std::uint64_t bytes, instant now) {
  link_free_at_ = std::max(link_free_at_, now) + LinkTime(bytes);
}

instant transmit_queue::DrainedAt(instant now) const {
  return std::max(now, link_free_at_) + waiting_link_time_ +
         reserved_link_time_;
}

}  // namespace pomelohall
