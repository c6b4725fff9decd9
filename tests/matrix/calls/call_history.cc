#include "call_history.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pomelohall::matrix::calls {
namespace {

/// Maximum time from the start of a request on a server to the end of its
/// answer.
constexpr duration kMaxRunTime{10'000};
constexpr duration kDrainBound{3'000'000};
constexpr std::size_t kMaxCrashGroups = 2;

std::string RequestName(std::size_t request) {
  return "request " + std::to_string(request);
}

}  // namespace

std::size_t call_history::Add(request_record record) {
  requests_.push_back(std::move(record));
  return requests_.size() - 1;
}

std::string call_history::ExpectedAnswer(std::size_t request) {
  return "answer to " + RequestName(request) + " in three parts";
}

void call_history::OnExecution(const execution& run) {
  const auto& record = requests_[run.request];
  const auto same = [&run](const execution& other) {
    return other.request == run.request;
  };
  if (!IsIdempotent(record.kind) &&
      std::any_of(executions_.begin(), executions_.end(), same)) {
    ReportViolation(guarantee::kAtMostOnce,
                    RequestName(run.request) + " ran again in attempt " +
                        std::to_string(run.attempt_number));
  }
  // Attempts with the same key are one request to the caller. Without a key,
  // each attempt has its own outcome.
  const auto& reported = reported_not_run_[run.request];
  const bool denied =
      record.HasKey()
          ? reported.lower_bound(run.attempt_number) != reported.end()
          : reported.contains(run.attempt_number);
  if (denied) {
    ReportViolation(guarantee::kNotRunTrue,
                    RequestName(run.request) + " ran in attempt " +
                        std::to_string(run.attempt_number) +
                        " after it was reported as not_run");
  }
  const auto draining = draining_since_.find(run.backend);
  if (draining != draining_since_.end() &&
      run.at > draining->second + kDrainBound) {
    ReportViolation(
        guarantee::kDrainQuick,
        RequestName(run.request) + " started on a draining server after " +
            std::to_string(ToMillis(run.at - draining->second)) + " ms");
  }
  executions_.push_back(run);
}

void call_history::OnReportedNotRun(std::size_t request,
                                    std::size_t attempt_number) {
  const bool keyed = requests_[request].HasKey();
  const auto ran = [&](const execution& run) {
    return run.request == request &&
           (keyed || run.attempt_number == attempt_number);
  };
  if (std::any_of(executions_.begin(), executions_.end(), ran)) {
    ReportViolation(guarantee::kNotRunTrue, RequestName(request) +
                                                " had run before attempt " +
                                                std::to_string(attempt_number) +
                                                " was reported as not_run");
  }
  reported_not_run_[request].insert(attempt_number);
}

void call_history::OnAnswer(std::size_t request, const std::string& body) {
  requests_[request].answered = true;
  if (body == ExpectedAnswer(request)) return;
  ReportViolation(guarantee::kWholeAnswer, RequestName(request) + " got \"" +
                                               body + "\" as its whole answer");
}

void call_history::OnDraining(process_id backend, instant now) {
  draining_since_.emplace(backend, now);
}

void call_history::OnServerKilled(process_id backend, instant now) {
  kills_.emplace_back(backend, now);
}

std::size_t call_history::KillsDuring(std::size_t request) const {
  const auto during = [&](const execution& run) {
    return run.request == request &&
           std::any_of(kills_.begin(), kills_.end(), [&run](const auto& kill) {
             return kill.first == run.backend && kill.second >= run.at &&
                    kill.second - run.at <= kMaxRunTime;
           });
  };
  return static_cast<std::size_t>(
      std::count_if(executions_.begin(), executions_.end(), during));
}

void call_history::CheckAnswered() {
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    const auto& record = requests_[i];
    if (record.answered || record.poison || !IsIdempotent(record.kind)) {
      continue;
    }
    if (record.refused_as_poison && KillsDuring(i) >= 2) continue;
    ReportViolation(guarantee::kWholeAnswer,
                    RequestName(i) + " was never answered");
  }
}

void call_history::CheckCrashes(duration crash_time,
                                duration propagation_time) {
  std::vector<execution> runs;
  std::copy_if(
      executions_.begin(), executions_.end(), std::back_inserter(runs),
      [this](const execution& run) { return requests_[run.request].poison; });
  std::sort(runs.begin(), runs.end(),
            [](const execution& left, const execution& right) {
              return left.sent_at < right.sent_at;
            });
  std::size_t groups = 0;
  instant known_at = instant::min();
  for (const auto& run : runs) {
    const auto known = run.at + crash_time + propagation_time;
    if (run.sent_at > known_at) {
      ++groups;
      known_at = known;
    }
    known_at = std::min(known_at, known);
  }
  if (groups <= kMaxCrashGroups) return;
  ReportViolation(guarantee::kWholeAnswer,
                  "a poison request was sent " + std::to_string(groups) +
                      " times after its crashes were known; the maximum is " +
                      std::to_string(kMaxCrashGroups));
}

void call_history::ReportViolation(guarantee which, std::string detail) {
  violations_.push_back({which, std::move(detail)});
}

}  // namespace pomelohall::matrix::calls
