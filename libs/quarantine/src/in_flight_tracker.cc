#include "quarantine/in_flight_tracker.h"

#include <algorithm>

namespace pomelohall {
namespace {

void SortUnique(std::vector<std::uint64_t>& fingerprints) {
  std::sort(fingerprints.begin(), fingerprints.end());
  fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()),
                     fingerprints.end());
}

}  // namespace

void in_flight_tracker::Start(std::uint64_t id, std::uint64_t fingerprint,
                              bool exclusive) {
  running_.emplace(id, running_request{fingerprint, exclusive});
}

void in_flight_tracker::End(std::uint64_t id) { running_.erase(id); }

void in_flight_tracker::Cancel(std::uint64_t id, instant now) {
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  Expire(now);
  cancelled_.push_back({found->second.fingerprint, now});
  running_.erase(found);
}

crash_snapshot in_flight_tracker::TakeAll(instant now) {
  Expire(now);
  crash_snapshot crash;
  crash.ran_exclusively =
      running_.size() == 1 && running_.begin()->second.exclusive;
  crash.running.reserve(running_.size());
  for (const auto& [id, item] : running_) {
    crash.running.push_back(item.fingerprint);
  }
  crash.cancelled.reserve(cancelled_.size());
  for (const auto& item : cancelled_) {
    crash.cancelled.push_back(item.fingerprint);
  }
  SortUnique(crash.running);
  SortUnique(crash.cancelled);
  running_.clear();
  cancelled_.clear();
  return crash;
}

void in_flight_tracker::Expire(instant now) {
  const auto live = std::find_if(
      cancelled_.begin(), cancelled_.end(),
      [now](const auto& item) { return now - item.at < kCancelledInFlight; });
  cancelled_.erase(cancelled_.begin(), live);
}

}  // namespace pomelohall
