#include "mesh/transmit_queue.h"

#include <algorithm>
#include <utility>

namespace pomelohall {
namespace {

// Timers fire late by milliseconds. A delay of up to this does not postpone the
// transmissions that follow.
constexpr duration kMaxTimerDelay = std::chrono::milliseconds(20);

// Share of the longest wait that requests are admitted for. With responses of
// 60 and 300 kB in one class on a link of 700 kB/s, the last byte of a response
// leaves up to 0.9 s after the longest wait of 2 s, and with a share of 1 up to
// 1.8 s.
constexpr double kAdmittedWaitShare = 0.75;

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

duration transmit_queue::ExpectedLinkTime(const std::string& work_class,
                                          request_kind kind) const {
  const auto found = class_bytes_.find(work_class);
  std::uint64_t bytes = 0;
  if (found != class_bytes_.end()) {
    bytes = static_cast<std::uint64_t>(found->second.Value());
  } else if (kind == request_kind::kDownload) {
    bytes = options_.first_download_bytes;
  }
  return IsPaced(bytes) ? LinkTime(bytes) : duration(0);
}

bool transmit_queue::CanSendAfter(duration run_time, instant now) const {
  const auto usable_wait = std::chrono::duration_cast<duration>(
      kAdmittedWaitShare * options_.max_wait);
  return DrainedAt(now) <= now + run_time + usable_wait;
}

void transmit_queue::Reserve(std::uint64_t request,
                             const std::string& work_class, request_kind kind) {
  const auto time = ExpectedLinkTime(work_class, kind);
  if (time.count() == 0) return;
  if (reserved_.emplace(request, time).second) reserved_link_time_ += time;
}

void transmit_queue::Release(std::uint64_t request) {
  const auto found = reserved_.find(request);
  if (found == reserved_.end()) return;
  reserved_link_time_ -= found->second;
  reserved_.erase(found);
}

void transmit_queue::Add(const transmission& response, instant now) {
  const auto link_time = LinkTime(response.bytes);
  auto send_by = now + options_.max_wait;
  const auto of_use_until = response.deadline - link_time;
  if (of_use_until >= now) send_by = std::min(send_by, of_use_until);
  const auto position = std::upper_bound(
      waiting_.begin(), waiting_.end(), send_by,
      [](instant time, const auto& entry) { return time < entry.send_by; });
  waiting_.insert(position, {response, link_time, send_by});
  waiting_link_time_ += link_time;
}

void transmit_queue::Remove(std::uint64_t id) {
  const auto found =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [id](const auto& entry) { return entry.response.id == id; });
  if (found == waiting_.end()) return;
  waiting_link_time_ -= found->link_time;
  waiting_.erase(found);
}

std::optional<std::uint64_t> transmit_queue::Next(instant now) {
  if (waiting_.empty() || now < NextAt()) return std::nullopt;
  auto next = waiting_.begin();
  if (next->send_by > now) {
    const auto in_time = FirstInTime(now);
    if (in_time != waiting_.end() && OthersCanWait(in_time, now)) {
      next = in_time;
    }
  }
  const auto id = next->response.id;
  link_free_at_ =
      std::max(link_free_at_, now - kMaxTimerDelay) + next->link_time;
  Remove(id);
  return id;
}

instant transmit_queue::NextAt() const {
  return std::min(link_free_at_, waiting_.front().send_by);
}

transmit_queue::iterator transmit_queue::FirstInTime(instant now) {
  auto first = waiting_.end();
  for (auto entry = waiting_.begin(); entry != waiting_.end(); ++entry) {
    const auto target_at = entry->response.target_at;
    if (now + entry->link_time > target_at) continue;
    if (first == waiting_.end() || target_at < first->response.target_at) {
      first = entry;
    }
  }
  return first;
}

bool transmit_queue::OthersCanWait(iterator first, instant now) const {
  auto free_at = now + first->link_time;
  for (const auto& entry : waiting_) {
    if (&entry == &*first) continue;
    if (free_at > entry.send_by) return false;
    free_at += entry.link_time;
  }
  return true;
}

void transmit_queue::OnSent(std::uint64_t bytes, instant now) {
  const auto sent_at = std::max(link_free_at_, now) + LinkTime(bytes);
  link_free_at_ =
      std::max(link_free_at_, std::min(sent_at, now + options_.max_wait));
}

instant transmit_queue::DrainedAt(instant now) const {
  return std::max(now, link_free_at_) + waiting_link_time_ +
         reserved_link_time_;
}

}  // namespace pomelohall
