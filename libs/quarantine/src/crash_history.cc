#include "quarantine/crash_history.h"

#include <algorithm>
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
  for (const auto fingerprint : report.requests)
    AddSuspicion(fingerprint, report.crash);
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
    if (IsExpired(report.crash, now_unix_ms)) continue;
    for (const auto fingerprint : report.requests)
      AddSuspicion(fingerprint, report.crash);
  }
  known = reports;
  if (known.empty()) reported_.erase(member);
  for (const auto fingerprint : cleared) ClearAll(fingerprint);
}

void crash_history::Add(std::uint64_t fingerprint,
                        const std::vector<server_crash>& crashes,
                        std::int64_t now_unix_ms) {
  for (const auto& crash : crashes) {
    if (!IsExpired(crash, now_unix_ms)) AddSuspicion(fingerprint, crash);
  }
}

void crash_history::AddSuspicion(std::uint64_t fingerprint,
                                 const server_crash& crash) {
  const auto found = requests_.find(fingerprint);
  if (found != requests_.end()) {
    auto& suspicions = found->second;
    const bool known = std::any_of(
        suspicions.begin(), suspicions.end(),
        [&](const suspicion& other) { return other.crash.id == crash.id; });
    // A culprit needs no more; the oldest ones expire first.
    if (!known && suspicions.size() < options_.max_reported_requests) {
      suspicions.push_back({.crash = crash});
    }
    return;
  }
  if (requests_.size() >= options_.max_requests) EvictOne();
  requests_[fingerprint].push_back({.crash = crash});
}

void crash_history::EvictOne() {
  const auto rank = [this](const std::vector<suspicion>& suspicions) {
    return std::pair(Count(suspicions), suspicions.back().crash.at_unix_ms);
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
  const auto& suspicions = found->second;
  const bool was_cleared = Count(suspicions) == 0;
  ClearAll(fingerprint);
  // Counts all crashes: other daemons may have seen none of the completions
  // that cleared the request of the earlier ones here.
  std::vector<std::int64_t> times;
  times.reserve(suspicions.size());
  for (const auto& entry : suspicions) times.push_back(entry.crash.at_unix_ms);
  if (was_cleared ||
      CountSeparate(std::move(times)) < options_.suspect_crashes) {
    return;
  }
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

std::size_t crash_history::Count(
    const std::vector<suspicion>& suspicions) const {
  std::vector<std::int64_t> times;
  for (const auto& suspicion : suspicions) {
    if (!suspicion.cleared) times.push_back(suspicion.crash.at_unix_ms);
  }
  return CountSeparate(std::move(times));
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

std::size_t crash_history::Count(std::uint64_t fingerprint) const {
  if (requests_.empty()) return 0;
  const auto found = requests_.find(fingerprint);
  return found == requests_.end() ? 0 : Count(found->second);
}

std::vector<server_crash> crash_history::Crashes(
    std::uint64_t fingerprint) const {
  std::vector<server_crash> crashes;
  const auto found = requests_.find(fingerprint);
  if (found == requests_.end()) return crashes;
  for (const auto& suspicion : found->second) {
    if (!suspicion.cleared) crashes.push_back(suspicion.crash);
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
      const auto& suspicions = found->second;
      const bool counts = std::any_of(
          suspicions.begin(), suspicions.end(), [&](const suspicion& entry) {
            return !entry.cleared && entry.crash.id == reported.crash.id;
          });
      // Of earlier crashes, only requests that come again are of interest.
      const bool is_wanted =
          i >= latest || Count(suspicions) >= options_.suspect_crashes;
      if (counts && is_wanted &&
          reported.requests.size() < options_.max_reported_requests) {
        reported.requests.push_back(fingerprint);
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
  for (auto& [fingerprint, suspicions] : requests_) {
    std::erase_if(suspicions, [&](const suspicion& entry) {
      return IsExpired(entry.crash, now_unix_ms);
    });
  }
  std::erase_if(requests_,
                [](const auto& entry) { return entry.second.empty(); });
}

std::size_t crash_history::CulpritCount() const {
  return static_cast<std::size_t>(std::count_if(
      requests_.begin(), requests_.end(), [this](const auto& entry) {
        return Count(entry.second) >= options_.culprit_crashes;
      }));
}

void crash_history::Notify() {
  if (on_change_) on_change_();
}

}  // namespace pomelohall
