#include "quarantine/quarantine.h"

#include <algorithm>

#include "base/digest.h"
#include "base/name_table.h"

namespace pomelohall {
namespace {

constexpr std::size_t kFingerprintBodyBytes = 4096;

constexpr name_table<suspect_state, 3> kStateNames{{{
    {suspect_state::kSuspect, "suspect"},
    {suspect_state::kCulprit, "culprit"},
    {suspect_state::kCleared, "cleared"},
}}};

}  // namespace

std::string_view SuspectStateName(suspect_state state) {
  return kStateNames.Name(state);
}

std::optional<suspect_state> FindSuspectState(std::string_view name) {
  return kStateNames.Find(name);
}

quarantine::quarantine(quarantine_options options) : options_(options) {}

quarantine_verdict quarantine::Check(std::string_view service,
                                     std::uint64_t fingerprint, instant now) {
  const auto found = FindUnexpired(service, fingerprint, now);
  if (found == entries_.end()) return quarantine_verdict::kAllow;
  return found->second.state == suspect_state::kCulprit
             ? quarantine_verdict::kRefuse
             : quarantine_verdict::kExclusive;
}

std::vector<suspect_event> quarantine::OnCrash(
    std::string_view service, std::span<const std::uint64_t> in_flight,
    instant now) {
  crash_snapshot crash;
  crash.running.assign(in_flight.begin(), in_flight.end());
  crash.ran_exclusively = in_flight.size() == 1;
  return OnCrash(service, crash, now);
}

std::vector<suspect_event> quarantine::OnCrash(std::string_view service,
                                               const crash_snapshot& crash,
                                               instant now) {
  const auto has_other_suspect = [&](std::uint64_t excluded) {
    return std::any_of(crash.cancelled.begin(), crash.cancelled.end(),
                       [&](std::uint64_t fingerprint) {
                         return fingerprint != excluded &&
                                Contains(service, fingerprint, now);
                       });
  };
  std::vector<suspect_event> events;
  for (const auto fingerprint : crash.running) {
    const bool was_suspect =
        options_.culprit_at_first_crash || Contains(service, fingerprint, now);
    const bool is_culprit =
        crash.ran_exclusively && was_suspect && !has_other_suspect(fingerprint);
    MarkUnlessCulprit(
        service, fingerprint,
        is_culprit ? suspect_state::kCulprit : suspect_state::kSuspect, now,
        events);
  }
  for (const auto fingerprint : crash.cancelled) {
    MarkUnlessCulprit(service, fingerprint, suspect_state::kSuspect, now,
                      events);
  }
  return events;
}

bool quarantine::Contains(std::string_view service, std::uint64_t fingerprint,
                          instant now) {
  return FindUnexpired(service, fingerprint, now) != entries_.end();
}

void quarantine::MarkUnlessCulprit(std::string_view service,
                                   std::uint64_t fingerprint,
                                   suspect_state state, instant now,
                                   std::vector<suspect_event>& events) {
  const auto found = FindUnexpired(service, fingerprint, now);
  if (found != entries_.end() &&
      found->second.state == suspect_state::kCulprit) {
    return;
  }
  SetState(service, fingerprint, state, now);
  events.push_back({std::string(service), fingerprint, state});
}

std::vector<suspect_event> quarantine::OnSuccess(std::string_view service,
                                                 std::uint64_t fingerprint,
                                                 instant now) {
  const auto found = FindUnexpired(service, fingerprint, now);
  if (found == entries_.end() ||
      found->second.state == suspect_state::kCulprit) {
    return {};
  }
  entries_.erase(found);
  return {{std::string(service), fingerprint, suspect_state::kCleared}};
}

void quarantine::Apply(const suspect_event& event, instant now) {
  const auto found = FindUnexpired(event.service, event.fingerprint, now);
  if (found != entries_.end() &&
      found->second.state == suspect_state::kCulprit) {
    return;
  }
  if (event.state != suspect_state::kCleared) {
    SetState(event.service, event.fingerprint, event.state, now);
  } else if (found != entries_.end()) {
    entries_.erase(found);
  }
}

quarantine::entry_map::iterator quarantine::FindUnexpired(
    std::string_view service, std::uint64_t fingerprint, instant now) {
  const auto found = entries_.find(entry_key_view{service, fingerprint});
  if (found == entries_.end() ||
      now - found->second.changed_at < options_.entry_lifetime) {
    return found;
  }
  entries_.erase(found);
  return entries_.end();
}

void quarantine::SetState(std::string_view service, std::uint64_t fingerprint,
                          suspect_state state, instant now) {
  const auto found = entries_.find(entry_key_view{service, fingerprint});
  if (found != entries_.end()) {
    found->second = {state, now};
    return;
  }
  if (entries_.size() >= options_.max_entries) EvictOldest(now);
  entries_.emplace(entry_key{std::string(service), fingerprint},
                   entry{state, now});
}

void quarantine::EvictOldest(instant now) {
  std::erase_if(entries_, [this, now](const auto& item) {
    return now - item.second.changed_at >= options_.entry_lifetime;
  });
  if (entries_.size() < options_.max_entries) return;
  const auto evicted_before = [](const auto& left, const auto& right) {
    const bool left_culprit = left.second.state == suspect_state::kCulprit;
    const bool right_culprit = right.second.state == suspect_state::kCulprit;
    if (left_culprit != right_culprit) return right_culprit;
    return left.second.changed_at < right.second.changed_at;
  };
  entries_.erase(
      std::min_element(entries_.begin(), entries_.end(), evicted_before));
}

std::uint64_t RequestFingerprint(std::string_view method,
                                 std::string_view target, std::uint64_t length,
                                 std::string_view body_start) {
  auto hash = FastHash(method);
  hash = FastHash(target, hash);
  hash = FastHash(std::to_string(length), hash);
  return FastHash(body_start.substr(0, kFingerprintBodyBytes), hash);
}

}  // namespace pomelohall
