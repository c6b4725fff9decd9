#include "journal.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pomelohall::matrix::calls {
namespace {

/// From the start of a request to the end of its answer on a server.
constexpr duration kLongestRun{10'000};
constexpr duration kDrainBound{3'000'000};
constexpr std::size_t kCrashBound = 2;

std::string Name(std::size_t request) {
  return "request " + std::to_string(request);
}

}  // namespace

std::size_t journal::Add(request_record record) {
  requests_.push_back(std::move(record));
  return requests_.size() - 1;
}

std::string journal::AnswerOf(std::size_t request) {
  return "answer to " + Name(request) + " in three parts";
}

void journal::OnExecution(const execution& run) {
  const auto& record = requests_[run.request];
  const auto same = [&run](const execution& other) {
    return other.request == run.request;
  };
  if (!IsIdempotent(record.kind) &&
      std::any_of(executions_.begin(), executions_.end(), same)) {
    Broken(promise::kAtMostOnce, Name(run.request) + " ran again in try " +
                                     std::to_string(run.try_number));
  }
  // The tries of one key are one request to its caller; without a key each try
  // has an outcome of its own.
  const auto& told = told_not_run_[run.request];
  const bool denied = record.IsKeyed()
                          ? told.lower_bound(run.try_number) != told.end()
                          : told.contains(run.try_number);
  if (denied) {
    Broken(promise::kNotRunTrue, Name(run.request) + " ran in try " +
                                     std::to_string(run.try_number) +
                                     " after its caller was told not_run");
  }
  const auto leaving = leaving_.find(run.backend);
  if (leaving != leaving_.end() && run.at > leaving->second + kDrainBound) {
    Broken(promise::kDrainQuick,
           Name(run.request) + " started on a leaving server after " +
               std::to_string(ToMillis(run.at - leaving->second)) + " ms");
  }
  executions_.push_back(run);
}

void journal::OnToldNotRun(std::size_t request, std::size_t try_number) {
  const bool keyed = requests_[request].IsKeyed();
  const auto ran = [&](const execution& run) {
    return run.request == request && (keyed || run.try_number == try_number);
  };
  if (std::any_of(executions_.begin(), executions_.end(), ran)) {
    Broken(promise::kNotRunTrue, Name(request) + " had run before try " +
                                     std::to_string(try_number) +
                                     " was told not_run");
  }
  told_not_run_[request].insert(try_number);
}

void journal::OnAnswer(std::size_t request, const std::string& body) {
  requests_[request].answered = true;
  if (body == AnswerOf(request)) return;
  Broken(promise::kWholeAnswer,
         Name(request) + " got \"" + body + "\" as its whole answer");
}

void journal::OnLeaving(process_id backend, instant now) {
  leaving_.emplace(backend, now);
}

void journal::OnServerKilled(process_id backend, instant now) {
  kills_.emplace_back(backend, now);
}

std::size_t journal::KillsUnder(std::size_t request) const {
  const auto under = [&](const execution& run) {
    return run.request == request &&
           std::any_of(kills_.begin(), kills_.end(), [&run](const auto& kill) {
             return kill.first == run.backend && kill.second >= run.at &&
                    kill.second - run.at <= kLongestRun;
           });
  };
  return static_cast<std::size_t>(
      std::count_if(executions_.begin(), executions_.end(), under));
}

void journal::CheckAnswered() {
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    const auto& record = requests_[i];
    if (record.answered || record.poison || !IsIdempotent(record.kind)) {
      continue;
    }
    if (record.convicted && KillsUnder(i) >= 2) continue;
    Broken(promise::kWholeAnswer, Name(i) + " was never answered");
  }
}

void journal::CheckCrashes(duration crash_time, duration spreading) {
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
    const auto known = run.at + crash_time + spreading;
    if (run.sent_at > known_at) {
      ++groups;
      known_at = known;
    }
    known_at = std::min(known_at, known);
  }
  if (groups <= kCrashBound) return;
  Broken(promise::kWholeAnswer,
         "a poison request was sent " + std::to_string(groups) +
             " times after its crashes were known, allowed are " +
             std::to_string(kCrashBound));
}

void journal::Broken(promise which, std::string detail) {
  violations_.push_back({which, std::move(detail)});
}

}  // namespace pomelohall::matrix::calls
