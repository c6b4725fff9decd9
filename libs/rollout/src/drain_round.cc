#include "rollout/drain_round.h"

#include <algorithm>

namespace pomelohall {

void drain_round::SetMembers(const std::set<std::string>& names) {
  std::erase_if(members_, [&](const auto& entry) {
    return !names.contains(entry.first);
  });
  for (const auto& name : names) members_.try_emplace(name);
}

std::vector<std::string> drain_round::Due(instant now) {
  std::vector<std::string> due;
  for (auto& [name, state] : members_) {
    if (state.is_done || state.is_asked || now < state.next_at) continue;
    state.is_asked = true;
    due.push_back(name);
  }
  return due;
}

void drain_round::OnAnswer(const std::string& name, std::size_t requests,
                           instant now) {
  const auto found = members_.find(name);
  if (found == members_.end()) return;
  found->second = {.is_done = requests == 0,
                   .is_asked = false,
                   .failures = 0,
                   .next_at = now + options_.poll_interval};
}

void drain_round::OnNoAnswer(const std::string& name, instant now) {
  const auto found = members_.find(name);
  if (found == members_.end()) return;
  auto& state = found->second;
  state.is_asked = false;
  state.next_at = now + options_.poll_interval;
  if (++state.failures >= options_.max_failures) state.is_done = true;
}

bool drain_round::IsDrained() const { return Pending() == 0; }

std::size_t drain_round::Pending() const {
  return static_cast<std::size_t>(
      std::count_if(members_.begin(), members_.end(),
                    [](const auto& entry) { return !entry.second.is_done; }));
}

}  // namespace pomelohall
