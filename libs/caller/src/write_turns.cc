#include "caller/write_turns.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace pomelohall {
namespace {

// Time without an acknowledged byte after which the next response begins. A
// caller that reads 600 kB a second from a small receive buffer acknowledges
// bytes at intervals of more than 100 ms.
constexpr duration kMaxStall = std::chrono::milliseconds(300);
// Time after which the next response begins beside one that is still being
// written, so that one slow caller does not take all the time that is left. A
// link of 7 Mbit/s carries 875 kB in it.
constexpr duration kMaxTurn = std::chrono::seconds(1);
// Shorter writes tell nothing more of the rate of a link.
constexpr duration kMinRateTime = std::chrono::milliseconds(50);
// Time before the last byte of a response in which others begin, so that the
// link does not stand idle until the next poll. Two polls.
constexpr duration kOverlapTime = std::chrono::milliseconds(20);
// Time after which the rate of a response tells whether the link or the caller
// limits it: some round trips, and some reads of a slow caller.
constexpr duration kRateTime = std::chrono::milliseconds(200);
// Share of the link up to which responses begin beside others. A response that
// the link limits takes more than this on its own.
constexpr double kUsableLinkShare = 0.5;
// If the mean rate drops below this share when others begin, they take it from
// each other: something else fills the link. Without a limit other than that of
// the callers it stays the same.
constexpr double kMinMeanShare = 0.7;
// Time before the end in which a response is not started if the rates seen are
// too low for it. Earlier, a faster caller may still finish.
constexpr duration kRateBoundTime = std::chrono::seconds(1);

}  // namespace

bool write_turns::Request(const std::shared_ptr<turn_writer>& writer,
                          std::uint64_t bytes, instant now) {
  turn next{.writer = writer,
            .bytes = bytes,
            .began_at = now,
            .progress_at = now,
            .unacknowledged = bytes};
  if (waiting_.empty() && (current_.empty() || IsNearlyIdle()) &&
      HasTime(bytes, now)) {
    current_.push_back(std::move(next));
    return true;
  }
  waiting_.push_back(std::move(next));
  return false;
}

bool write_turns::Update(turn& current, instant now) {
  const auto writer = current.writer.lock();
  const auto left = writer ? writer->UnacknowledgedBytes() : std::nullopt;
  if (!left) return true;
  if (*left > 0) {
    if (std::exchange(current.unacknowledged, *left) != *left)
      current.progress_at = now;
    return now - current.progress_at >= kMaxStall ||
           now - current.began_at >= kMaxTurn;
  }
  const std::chrono::duration<double> time =
      std::max(now - current.began_at, kMinRateTime);
  best_bytes_per_second_ =
      std::max(best_bytes_per_second_,
               static_cast<double>(current.bytes) / time.count());
  return true;
}

bool write_turns::HasTime(std::uint64_t bytes, instant now) const {
  // Buffers on the way take the bytes of a response faster than the link does.
  auto rate = best_bytes_per_second_;
  if (link_bytes_per_second_ > 0 &&
      (rate == 0 || rate > link_bytes_per_second_)) {
    rate = link_bytes_per_second_;
  }
  if (rate == 0 || now + kRateBoundTime < end_) return now < end_;
  const std::chrono::duration<double> needed(static_cast<double>(bytes) / rate);
  return needed <= end_ - now;
}

bool write_turns::IsNearlyIdle() const {
  std::uint64_t left = 0;
  for (const auto& entry : current_) left += entry.unacknowledged;
  const std::chrono::duration<double> overlap = kOverlapTime;
  return static_cast<double>(left) < link_bytes_per_second_ * overlap.count();
}

// At most as many as are being written, so that a wrong guess does little.
std::size_t write_turns::Room(instant now) {
  if (current_.empty()) {
    mean_bytes_per_second_ = 0;
    return 1;
  }
  if (link_bytes_per_second_ == 0) return 0;
  double total = 0;
  double fastest = 0;
  for (const auto& entry : current_) {
    if (now - entry.began_at < kRateTime) return 0;
    const std::chrono::duration<double> time = now - entry.began_at;
    const auto written =
        entry.bytes - std::min(entry.bytes, entry.unacknowledged);
    const auto rate = static_cast<double>(written) / time.count();
    total += rate;
    fastest = std::max(fastest, rate);
  }
  const auto mean = total / static_cast<double>(current_.size());
  const auto unused = kUsableLinkShare * link_bytes_per_second_ - total;
  if (fastest == 0 || unused < fastest ||
      mean < kMinMeanShare * mean_bytes_per_second_) {
    return 0;
  }
  mean_bytes_per_second_ = mean;
  return std::min(current_.size(), static_cast<std::size_t>(unused / fastest));
}

void write_turns::Poll(instant now) {
  std::erase_if(current_, [&](turn& entry) { return Update(entry, now); });
  if (waiting_.empty()) return;
  auto room = Room(now);
  while (!waiting_.empty() && (room > 0 || IsNearlyIdle())) {
    const auto smallest = std::min_element(
        waiting_.begin(), waiting_.end(),
        [](const turn& a, const turn& b) { return a.bytes < b.bytes; });
    // The others need more time still.
    if (!HasTime(smallest->bytes, now)) return;
    auto next = std::move(*smallest);
    waiting_.erase(smallest);
    const auto writer = next.writer.lock();
    if (!writer) continue;
    next.began_at = now;
    next.progress_at = now;
    current_.push_back(std::move(next));
    if (writer->BeginTurn()) {
      if (room > 0) --room;
    } else {
      current_.pop_back();
    }
  }
}

}  // namespace pomelohall
