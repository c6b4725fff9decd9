#include "quarantine/crash_history.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace pomelohall {
namespace {

bool Contains(const std::vector<std::uint64_t>& values, std::uint64_t value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

const crash_report* Find(const std::vector<crash_report>& reports,
                         std::uint64_t crash_id) {
  const auto found = std::find_if(
      reports.begin(), reports.end(),
      [&](const crash_report& report) { return report.crash.id == crash_id; });
  return found == reports.end() ? nullptr : &*found;
}

}  // namespace

crash_history::crash_history(crash_history_options options)
    : options_(options) {}

bool crash_history::IsExpired(const server_crash& crash,
                              std::int64_t now_unix_ms) const {
  return now_unix_ms - crash.at_unix_ms >= options_.lifetime_ms;
}

void crash_history::OnCrash(const crash_report& report,
                            std::int64_t now_unix_ms) {
  if (report.requests.empty() || IsExpired(report.crash, now_unix_ms) ||
      Find(own_, report.crash.id) != nullptr) {
    return;
  }
  AddReport(report, now_unix_ms);
  own_.push_back(report);
  std::stable_sort(own_.begin(), own_.end(),
                   [](const crash_report& left, const crash_report& right) {
                     return left.crash.at_unix_ms < right.crash.at_unix_ms;
                   });
  Notify();
}

void crash_history::OnReported(const std::string& member,
                               const std::vector<crash_report>& reports,
                               const std::vector<std::uint64_t>& cleared,
                               std::int64_t now_unix_ms) {
  if (requests_.empty() && reports.empty() && reported_.empty()) return;
  auto& known = reported_[member];
  for (const auto& earlier : known) {
    const auto* now_reported = Find(reports, earlier.crash.id);
    if (now_reported == nullptr) continue;
    for (const auto fingerprint : earlier.requests) {
      if (!Contains(now_reported->requests, fingerprint)) {
        Clear(fingerprint, earlier.crash.id);
      }
    }
  }
  for (const auto& report : reports) {
    if (!IsExpired(report.crash, now_unix_ms)) AddReport(report, now_unix_ms);
  }
  known = reports;
  if (known.empty()) reported_.erase(member);
  for (const auto fingerprint : cleared) ClearAll(fingerprint);
}

void crash_history::Add(std::uint64_t fingerprint,
                        const std::vector<suspected_crash>& crashes,
                        std::int64_t now_unix_ms) {
  for (const auto& entry : crashes) {
    if (!IsExpired(entry.crash, now_unix_ms))
      AddSuspicion(fingerprint, entry, now_unix_ms);
  }
}

void crash_history::AddReport(const crash_report& report,
                              std::int64_t now_unix_ms) {
  for (const auto fingerprint : report.requests) {
    AddSuspicion(
        fingerprint,
        {.crash = report.crash, .on_trial = report.trial == fingerprint},
        now_unix_ms);
  }
}

void crash_history::AddSuspicion(std::uint64_t fingerprint,
                                 const suspected_crash& crash,
                                 std::int64_t now_unix_ms) {
  const suspicion added{.crash = crash.crash,
                        .on_trial = crash.on_trial,
                        .known_at_unix_ms = now_unix_ms};
  const auto found = requests_.find(fingerprint);
  if (found == requests_.end()) {
    if (requests_.size() >= options_.max_requests) EvictOne();
    requests_[fingerprint].push_back(added);
    return;
  }
  auto& known = found->second;
  const auto same = std::find_if(
      known.begin(), known.end(),
      [&](const suspicion& other) { return other.crash.id == crash.crash.id; });
  if (same != known.end()) {
    if (crash.on_trial && !same->on_trial) {
      same->on_trial = true;
      same->known_at_unix_ms = now_unix_ms;
    }
  } else if (known.size() < options_.max_suspicions) {
    known.push_back(added);
  } else if (crash.on_trial) {
    // More crashes without a trial change no verdict.
    const auto replaced =
        std::find_if(known.begin(), known.end(),
                     [](const suspicion& other) { return !other.on_trial; });
    if (replaced != known.end()) *replaced = added;
  }
}

void crash_history::EvictOne() {
  const auto rank = [](const suspicions& known) {
    return std::tuple(CountTrials(known), Count(known),
                      known.back().crash.at_unix_ms);
  };
  const auto evicted =
      std::min_element(requests_.begin(), requests_.end(),
                       [&](const auto& left, const auto& right) {
                         return rank(left.second) < rank(right.second);
                       });
  if (evicted != requests_.end()) requests_.erase(evicted);
}

void crash_history::Clear(std::uint64_t fingerprint, std::uint64_t crash_id) {
  const auto found = requests_.find(fingerprint);
  if (found == requests_.end()) return;
  for (auto& suspicion : found->second) {
    if (suspicion.crash.id == crash_id) suspicion.cleared = true;
  }
}

// Suspicions are kept, so that the same crash does not count again when it is
// reported.
void crash_history::ClearAll(std::uint64_t fingerprint) {
  const auto found = requests_.find(fingerprint);
  if (found == requests_.end()) return;
  for (auto& suspicion : found->second) suspicion.cleared = true;
}

void crash_history::OnCompleted(std::uint64_t fingerprint) {
  const auto found = requests_.find(fingerprint);
  if (found == requests_.end()) return;
  auto& known = found->second;
  const bool was_cleared = Count(known) == 0;
  // Counts all crashes: other daemons may have seen none of the completions
  // that cleared the request of the earlier ones here.
  for (auto& entry : known) entry.cleared = false;
  const bool others_suspect = IsSuspect(known);
  ClearAll(fingerprint);
  if (was_cleared || !others_suspect) return;
  std::erase_if(cleared_, [&](const cleared_request& entry) {
    return entry.fingerprint == fingerprint;
  });
  cleared_.push_back({.fingerprint = fingerprint});
  if (cleared_.size() > options_.max_cleared_requests)
    cleared_.erase(cleared_.begin());
  Notify();
}

std::vector<std::uint64_t> crash_history::ClearedRequests() const {
  std::vector<std::uint64_t> requests;
  for (const auto& entry : cleared_) requests.push_back(entry.fingerprint);
  return requests;
}

std::size_t crash_history::Count(const suspicions& known) {
  return static_cast<std::size_t>(
      std::count_if(known.begin(), known.end(),
                    [](const suspicion& entry) { return !entry.cleared; }));
}

std::size_t crash_history::CountTrials(const suspicions& known) {
  return static_cast<std::size_t>(std::count_if(
      known.begin(), known.end(),
      [](const suspicion& entry) { return !entry.cleared && entry.on_trial; }));
}

bool crash_history::IsSuspect(const suspicions& known) const {
  if (Count(known) >= options_.trial_crashes) return true;
  std::vector<std::int64_t> times;
  for (const auto& entry : known) {
    if (!entry.cleared) times.push_back(entry.crash.at_unix_ms);
  }
  return CountSeparate(std::move(times)) >= options_.suspect_crashes;
}

bool crash_history::IsSuspect(std::uint64_t fingerprint) const {
  const auto found = requests_.find(fingerprint);
  return found != requests_.end() && IsSuspect(found->second);
}

bool crash_history::IsCleared(std::uint64_t fingerprint) const {
  const auto found = requests_.find(fingerprint);
  return found != requests_.end() && Count(found->second) == 0 &&
         found->second.size() >= options_.trial_crashes;
}

crash_verdict crash_history::Verdict(std::uint64_t fingerprint,
                                     std::int64_t now_unix_ms) const {
  const auto found = requests_.find(fingerprint);
  if (found == requests_.end()) return crash_verdict::kAllow;
  const auto& known = found->second;
  if (CountTrials(known) >= options_.culprit_trials)
    return crash_verdict::kRefuse;
  if (Count(known) < options_.trial_crashes) return crash_verdict::kAllow;
  const bool pauses =
      std::any_of(known.begin(), known.end(), [&](const suspicion& entry) {
        // The clock may have gone back.
        const auto age = now_unix_ms - entry.known_at_unix_ms;
        return entry.on_trial && !entry.cleared && age >= 0 &&
               age < options_.trial_pause_ms;
      });
  return pauses ? crash_verdict::kRefuse : crash_verdict::kTrial;
}

std::size_t crash_history::CountSeparate(
    std::vector<std::int64_t> times) const {
  std::sort(times.begin(), times.end());
  std::size_t count = 0;
  std::int64_t counted_at = 0;
  for (const auto at : times) {
    if (count > 0 && at - counted_at < options_.separation_ms) continue;
    ++count;
    counted_at = at;
  }
  return count;
}

std::vector<suspected_crash> crash_history::Crashes(
    std::uint64_t fingerprint) const {
  std::vector<suspected_crash> crashes;
  const auto found = requests_.find(fingerprint);
  if (found == requests_.end()) return crashes;
  for (const auto& entry : found->second) {
    if (!entry.cleared)
      crashes.push_back({.crash = entry.crash, .on_trial = entry.on_trial});
  }
  return crashes;
}

std::vector<crash_report> crash_history::OwnReports() const {
  std::vector<crash_report> reports;
  const auto latest = own_.size() - std::min(own_.size(), options_.max_reports);
  for (std::size_t i = 0; i < own_.size(); ++i) {
    crash_report reported{.crash = own_[i].crash, .requests = {}};
    for (const auto fingerprint : own_[i].requests) {
      const auto found = requests_.find(fingerprint);
      if (found == requests_.end()) continue;
      const auto& known = found->second;
      const bool counts =
          std::any_of(known.begin(), known.end(), [&](const suspicion& entry) {
            return !entry.cleared && entry.crash.id == reported.crash.id;
          });
      // Of earlier crashes, only requests that come again are of interest.
      const bool is_wanted = i >= latest || IsSuspect(known);
      if (counts && is_wanted &&
          reported.requests.size() < options_.max_reported_requests) {
        reported.requests.push_back(fingerprint);
        if (own_[i].trial == fingerprint) reported.trial = fingerprint;
      }
    }
    if (!reported.requests.empty()) reports.push_back(std::move(reported));
  }
  return reports;
}

void crash_history::Expire(std::int64_t now_unix_ms) {
  for (auto& entry : cleared_) {
    if (entry.since_unix_ms == 0) entry.since_unix_ms = now_unix_ms;
  }
  std::erase_if(cleared_, [&](const cleared_request& entry) {
    return now_unix_ms - entry.since_unix_ms >= options_.cleared_lifetime_ms;
  });
  std::erase_if(own_, [&](const crash_report& report) {
    return IsExpired(report.crash, now_unix_ms);
  });
  for (auto& [fingerprint, known] : requests_) {
    std::erase_if(known, [&](const suspicion& entry) {
      return IsExpired(entry.crash, now_unix_ms);
    });
  }
  std::erase_if(requests_,
                [](const auto& entry) { return entry.second.empty(); });
}

std::size_t crash_history::CulpritCount() const {
  return static_cast<std::size_t>(std::count_if(
      requests_.begin(), requests_.end(), [this](const auto& entry) {
        return CountTrials(entry.second) >= options_.culprit_trials;
      }));
}

void crash_history::Notify() {
  if (on_change_) on_change_();
}

}  // namespace pomelohall
