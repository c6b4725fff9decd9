#include "quarantine/flight_list.h"

#include <algorithm>

namespace pomelohall {
namespace {

void SortUnique(std::vector<std::uint64_t>& prints) {
  std::sort(prints.begin(), prints.end());
  prints.erase(std::unique(prints.begin(), prints.end()), prints.end());
}

}  // namespace

void flight_list::Start(std::uint64_t id, std::uint64_t fingerprint,
                        bool alone) {
  running_.emplace(id, running_request{fingerprint, alone});
}

void flight_list::End(std::uint64_t id) { running_.erase(id); }

void flight_list::Cancel(std::uint64_t id, instant now) {
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  Expire(now);
  cancelled_.push_back({found->second.fingerprint, now});
  running_.erase(found);
}

crash_scene flight_list::TakeAll(instant now) {
  Expire(now);
  crash_scene scene;
  scene.ran_alone = running_.size() == 1 && running_.begin()->second.alone;
  scene.running.reserve(running_.size());
  for (const auto& [id, item] : running_) {
    scene.running.push_back(item.fingerprint);
  }
  scene.cancelled.reserve(cancelled_.size());
  for (const auto& item : cancelled_) {
    scene.cancelled.push_back(item.fingerprint);
  }
  SortUnique(scene.running);
  SortUnique(scene.cancelled);
  running_.clear();
  cancelled_.clear();
  return scene;
}

void flight_list::Expire(instant now) {
  const auto live = std::find_if(
      cancelled_.begin(), cancelled_.end(),
      [now](const auto& item) { return now - item.at < kCancelledInFlight; });
  cancelled_.erase(cancelled_.begin(), live);
}

}  // namespace pomelohall
