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

// Share of the time until its receiver stops in which a response must be sent.
// The rest is for the transfer to the caller, and for requests that run for
// longer than their mean time.
constexpr double kAdmittedStopShare = 0.75;

// Responses to a receiver that stops are postponed until this long before they
// would be late: small responses and timers delay them on the link.
constexpr duration kStopMargin = std::chrono::milliseconds(250);

// Weight of a response that is smaller than the large size of its class.
// Without a decay, one large response would count until the next start.
constexpr double kLargeSizeDecay = 0.02;
// Largest rise of the large size of a class by one response, as a multiple of
// it or of the size of a first download. One response of 4 MB would otherwise
// refuse its class on a link of 700 kB/s to receivers that stop, until about 20
// others have ended. Large sizes that recur count after two or three responses.
constexpr double kMaxLargeSizeRise = 4;

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
  const auto size = static_cast<double>(bytes);
  class_bytes_[work_class].Add(size);
  const auto [entry, first] = large_class_bytes_.try_emplace(work_class, size);
  if (first) return;
  auto& large = entry->second;
  const double highest =
      kMaxLargeSizeRise *
      std::max(large, static_cast<double>(options_.first_download_bytes));
  large = std::max(std::min(size, highest),
                   large - kLargeSizeDecay * (large - size));
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

bool transmit_queue::CanSendBefore(instant deadline, duration run_time,
                                   const std::string& work_class, instant now,
                                   std::optional<std::uint64_t> request) const {
  auto free_at = DrainedAt(now);
  if (request) {
    const auto own = reserved_.find(*request);
    if (own != reserved_.end()) free_at -= own->second;
  }
  const auto found = large_class_bytes_.find(work_class);
  const auto link_time =
      found == large_class_bytes_.end()
          ? LinkTime(options_.first_download_bytes)
          : LinkTime(static_cast<std::uint64_t>(found->second));
  const auto usable_time = std::chrono::duration_cast<duration>(
      kAdmittedStopShare * (deadline - now));
  return std::max(free_at, now + run_time) + link_time <= now + usable_time;
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
  Insert({response, link_time, send_by});
}

void transmit_queue::Insert(const waiting_response& added) {
  const bool receiver_stops = added.response.receiver_stops;
  auto& queue = receiver_stops ? stopping_ : waiting_;
  const auto is_before = [receiver_stops](const auto& one, const auto& other) {
    return receiver_stops ? one.response.deadline < other.response.deadline
                          : one.send_by < other.send_by;
  };
  queue.insert(std::upper_bound(queue.begin(), queue.end(), added, is_before),
               added);
  waiting_link_time_ += added.link_time;
}

void transmit_queue::Remove(std::uint64_t id) {
  const auto removed = Take(id);
  if (removed && removed->response.receiver_stops && stopping_.empty())
    SpaceWaiting();
}

std::optional<transmit_queue::waiting_response> transmit_queue::Take(
    std::uint64_t id) {
  for (auto* const queue : {&waiting_, &stopping_}) {
    const auto found = std::find_if(
        queue->begin(), queue->end(),
        [id](const auto& entry) { return entry.response.id == id; });
    if (found == queue->end()) continue;
    const auto taken = *found;
    waiting_link_time_ -= taken.link_time;
    queue->erase(found);
    return taken;
  }
  return std::nullopt;
}

void transmit_queue::SpaceWaiting() {
  auto free_at = queued_sent_at_;
  for (auto& entry : waiting_) {
    entry.send_by = std::max(entry.send_by, free_at);
    free_at += entry.link_time;
  }
}

void transmit_queue::LimitToStop(std::uint64_t id, instant latest) {
  auto limited = Take(id);
  if (!limited) return;
  auto& response = limited->response;
  response.deadline = std::min(response.deadline, latest);
  response.receiver_stops = true;
  Insert(*limited);
}

std::optional<std::uint64_t> transmit_queue::Next(instant now) {
  if (Empty() || now < NextAt()) return std::nullopt;
  const auto& next = stopping_.empty() ? *NextWaiting(now) : NextAtStop(now);
  const auto id = next.response.id;
  const auto earliest_start = now - kMaxTimerDelay;
  link_free_at_ = std::max(link_free_at_, earliest_start) + next.link_time;
  queued_sent_at_ = std::max(queued_sent_at_, earliest_start) + next.link_time;
  Remove(id);
  return id;
}

instant transmit_queue::NextAt() const {
  if (stopping_.empty()) {
    return std::min(link_free_at_, waiting_.front().send_by);
  }
  // Responses that are not queued may occupy the link all the time.
  auto latest = instant::max();
  const auto fitting = FittingAtStop(queued_sent_at_);
  for (auto entry = fitting.rbegin(); entry != fitting.rend(); ++entry) {
    latest =
        std::min(latest, (*entry)->response.deadline) - (*entry)->link_time;
  }
  latest -= kStopMargin;
  for (const auto& entry : stopping_) latest = std::min(latest, entry.send_by);
  if (!waiting_.empty()) latest = std::min(latest, waiting_.front().send_by);
  return std::max(queued_sent_at_, std::min(link_free_at_, latest));
}

transmit_queue::iterator transmit_queue::NextWaiting(instant now) const {
  const auto next = waiting_.begin();
  if (next->send_by <= now) return next;
  const auto in_time = FirstInTime(now);
  const bool yields = in_time != waiting_.end() && OthersCanWait(in_time, now);
  return yields ? in_time : next;
}

const transmit_queue::waiting_response& transmit_queue::NextAtStop(
    instant now) const {
  auto candidates = FittingAtStop(now);
  const auto fitting = candidates;
  const auto* const other = waiting_.empty() ? nullptr : &*NextWaiting(now);
  if (other != nullptr) candidates.push_back(other);
  if (candidates.empty()) return stopping_.front();
  // The same order as without a stop: responses that have waited for the
  // longest time, those that are in time, and late ones.
  const auto rank = [now](const waiting_response* entry) {
    const auto target_at = entry->response.target_at;
    if (entry->send_by <= now) return std::pair(0, entry->send_by);
    if (now + entry->link_time <= target_at) return std::pair(1, target_at);
    return std::pair(2, entry->send_by);
  };
  const auto* const first = *std::min_element(
      candidates.begin(), candidates.end(),
      [&](const auto* one, const auto* two) { return rank(one) < rank(two); });
  auto sent_at = now + first->link_time + kStopMargin;
  for (const auto* const entry : fitting) {
    if (entry == first) continue;
    sent_at += entry->link_time;
    if (sent_at > entry->response.deadline) return *fitting.front();
  }
  return *first;
}

// The algorithm of Moore and Hodgson: if the responses up to a deadline need
// more than the link carries until then, the longest of them is left out.
std::vector<const transmit_queue::waiting_response*>
transmit_queue::FittingAtStop(instant start) const {
  std::vector<const waiting_response*> fitting;
  auto sent_at = start;
  for (const auto& entry : stopping_) {
    fitting.push_back(&entry);
    sent_at += entry.link_time;
    if (sent_at <= entry.response.deadline) continue;
    const auto longest = std::max_element(
        fitting.begin(), fitting.end(), [](const auto* one, const auto* two) {
          return one->link_time < two->link_time;
        });
    sent_at -= (*longest)->link_time;
    fitting.erase(longest);
  }
  return fitting;
}

transmit_queue::iterator transmit_queue::FirstInTime(instant now) const {
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
