#include "quarantine/flight_list.h"

#include <algorithm>

namespace pomelohall {

void flight_list::Start(std::uint64_t id, std::uint64_t fingerprint) {
  running_.emplace(id, fingerprint);
}

void flight_list::End(std::uint64_t id) { running_.erase(id); }

void flight_list::Cancel(std::uint64_t id, instant now) {
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  Expire(now);
  cancelled_.push_back({found->second, now});
  running_.erase(found);
}

std::vector<std::uint64_t> flight_list::TakeAll(instant now) {
  Expire(now);
  std::vector<std::uint64_t> prints;
  prints.reserve(running_.size() + cancelled_.size());
  for (const auto& [id, fingerprint] : running_) prints.push_back(fingerprint);
  for (const auto& item : cancelled_) prints.push_back(item.fingerprint);
  std::sort(prints.begin(), prints.end());
  prints.erase(std::unique(prints.begin(), prints.end()), prints.end());
  running_.clear();
  cancelled_.clear();
  return prints;
}

void flight_list::Expire(instant now) {
  const auto live = std::find_if(
      cancelled_.begin(), cancelled_.end(),
      [now](const auto& item) { return now - item.at < kCancelledInFlight; });
  cancelled_.erase(cancelled_.begin(), live);
}

}  // namespace pomelohall
