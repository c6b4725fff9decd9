#include "membership/failure_detector.h"

#include <utility>

namespace pomelohall {

failure_detector::failure_detector(const membership_options& options)
    : ping_interval_(options.ping_interval),
      probe_after_(options.probe_after),
      probe_timeout_(options.probe_timeout) {}

void failure_detector::Watch(const std::vector<std::string>& members,
                             instant now) {
  std::map<std::string, watched> next;
  for (const auto& member : members) {
    const auto known = watched_.find(member);
    next[member] = known != watched_.end()
                       ? known->second
                       : watched{.last_answer = now, .probe_deadline = {}};
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

failure_detector::plan failure_detector::Tick(instant now) {
  plan todo;
  const bool ping = now >= next_ping_;
  if (ping) next_ping_ = now + ping_interval_;
  for (auto& [member, state] : watched_) {
    if (ping) todo.ping.push_back(member);
    if (state.probe_deadline) {
      if (now < *state.probe_deadline) continue;
      todo.suspect.push_back(member);
      state = {.last_answer = now, .probe_deadline = {}};
    } else if (now - state.last_answer >= probe_after_) {
      todo.probe_indirectly.push_back(member);
      state.probe_deadline = now + probe_timeout_;
    }
  }
  return todo;
}

}  // namespace pomelohall
