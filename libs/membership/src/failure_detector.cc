#include "membership/failure_detector.h"

#include <utility>

namespace pomelohall {

failure_detector::failure_detector(const membership_options& options)
    : ping_interval_(options.ping_interval),
      indirect_probe_after_(options.indirect_probe_after),
      indirect_probe_timeout_(options.indirect_probe_timeout) {}

void failure_detector::Watch(const std::vector<std::string>& members,
                             instant now) {
  std::map<std::string, watched_member> next;
  for (const auto& member : members) {
    const auto known = watched_.find(member);
    next[member] =
        known != watched_.end()
            ? known->second
            : watched_member{.last_answer = now, .probe_deadline = {}};
  }
  watched_ = std::move(next);
}

void failure_detector::OnAnswer(const std::string& member, instant now) {
  const auto found = watched_.find(member);
  if (found == watched_.end()) return;
  found->second = {.last_answer = now, .probe_deadline = {}};
}

void failure_detector::Reset(instant now) {
  for (auto& [member, state] : watched_) {
    state = {.last_answer = now, .probe_deadline = {}};
  }
}

failure_detector::probe_plan failure_detector::Tick(instant now) {
  probe_plan plan;
  const bool ping = now >= next_ping_;
  if (ping) next_ping_ = now + ping_interval_;
  for (auto& [member, state] : watched_) {
    if (ping) plan.ping.push_back(member);
    if (state.probe_deadline) {
      if (now < *state.probe_deadline) continue;
      plan.suspect.push_back(member);
      state = {.last_answer = now, .probe_deadline = {}};
    } else if (now - state.last_answer >= indirect_probe_after_) {
      plan.probe_indirectly.push_back(member);
      state.probe_deadline = now + indirect_probe_timeout_;
    }
  }
  return plan;
}

}  // namespace pomelohall
