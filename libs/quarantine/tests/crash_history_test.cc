#include "quarantine/crash_history.h"

#include <catch2/catch.hpp>
#include <numeric>

namespace pomelohall {
namespace {

constexpr std::int64_t kStart = 1'000'000;
constexpr std::int64_t kSecond = 1'000;
constexpr std::uint64_t kPoison = 7;
constexpr std::uint64_t kOther = 8;

/// The history of one daemon. Each crash is of another start.
class crash_history_fixture {
 protected:
  crash_report NextCrash(std::vector<std::uint64_t> requests, std::int64_t at) {
    return {.crash = {.id = ++last_id_, .at_unix_ms = at},
            .requests = std::move(requests)};
  }

  /// Crashes of the servers beside three daemons, of which this is one.
  void CrashThrice(std::int64_t interval) {
    history_.OnCrash(NextCrash({kPoison, kOther}, kStart), kStart);
    history_.OnReported("a", {NextCrash({kPoison}, kStart + interval)}, {},
                        kStart + interval);
    history_.Add(kPoison, {NextCrash({kPoison}, kStart + 2 * interval).crash},
                 kStart + 2 * interval);
  }

  /// Adds a crash to the record of another daemon, which this one and a third
  /// read.
  void ReportCrash(std::vector<std::uint64_t> requests, std::int64_t at) {
    reports_.push_back(NextCrash(std::move(requests), at));
    history_.OnReported("a", reports_, {}, at);
    other_.OnReported("a", reports_, {}, at);
  }

  std::uint64_t last_id_ = 100;
  std::vector<crash_report> reports_;
  crash_history history_;
  crash_history other_;  ///< That of the third daemon.
};

// Guards against a request that goes on crashing servers because each daemon
// counts its own crashes only.
TEST_CASE_METHOD(crash_history_fixture,
                 "CrashHistory_CrashesAtThreeDaemons_MakeACulprit",
                 "[quarantine]") {
  CrashThrice(2 * kSecond);
  CHECK(history_.IsCulprit(kPoison));
  CHECK_FALSE(history_.IsSuspect(kOther));
  CHECK(history_.Crashes(kPoison).size() == 3);
  CHECK(history_.CulpritCount() == 1);
}

// Guards against a crash that counts more than once because several daemons
// tell it.
TEST_CASE_METHOD(crash_history_fixture,
                 "CrashHistory_SameCrashFromSeveralSources_CountsOnce",
                 "[quarantine]") {
  const auto report = NextCrash({kPoison}, kStart);
  history_.OnCrash(report, kStart);
  for (int i = 0; i < 3; ++i) {
    history_.OnCrash(report, kStart);
    history_.OnReported("a", {report}, {}, kStart);
    history_.Add(kPoison, {report.crash}, kStart);
  }
  CHECK_FALSE(history_.IsSuspect(kPoison));
}

// Guards against the refusal of a request that many servers ran when their VMs
// lost power together.
TEST_CASE_METHOD(crash_history_fixture,
                 "CrashHistory_ServersCrashTogether_CountOnce",
                 "[quarantine]") {
  CrashThrice(100);
  CHECK_FALSE(history_.IsSuspect(kPoison));
}

// Guards against the refusal of a correct request that many callers send while
// servers crash often, and against counting a crash again that a later record
// repeats.
TEST_CASE_METHOD(crash_history_fixture,
                 "CrashHistory_CompletedRequest_IsClearedOfKnownCrashes",
                 "[quarantine]") {
  const auto at_other = NextCrash({kOther}, kStart);
  for (std::int64_t i = 0; i < 20; ++i) {
    const auto now = kStart + i * 2 * kSecond;
    history_.OnCrash(NextCrash({kOther}, now), now);
    history_.OnReported("a", {at_other}, {}, now);
    CHECK_FALSE(history_.IsCulprit(kOther));
    history_.OnCompleted(kOther);
  }
  CHECK(history_.OwnReports().empty());
}

// Guards against a daemon without own requests of a kind that refuses it
// although others have seen it complete.
TEST_CASE_METHOD(crash_history_fixture,
                 "CrashHistory_ClearedByTheReportingDaemon_IsCleared",
                 "[quarantine]") {
  for (std::int64_t i = 0; i < 3; ++i) {
    const auto now = kStart + i * 2 * kSecond;
    const auto member = std::to_string(i);
    auto report = NextCrash({kOther, kPoison}, now);
    history_.OnReported(member, {report}, {}, now);
    report.requests = {kPoison};
    history_.OnReported(member, {report}, {}, now);
  }
  CHECK_FALSE(history_.IsSuspect(kOther));
  CHECK(history_.IsCulprit(kPoison));
}

// Guards against a correct request that is refused everywhere but where it has
// completed: it ran at crashes that others caused.
TEST_CASE_METHOD(crash_history_fixture,
                 "CrashHistory_CompletedAtAnotherDaemon_IsCleared",
                 "[quarantine]") {
  for (std::int64_t i = 0; i < 3; ++i) {
    const auto now = kStart + i * 2 * kSecond;
    ReportCrash({kOther, kPoison}, now);
  }
  CHECK(history_.IsCulprit(kOther));
  other_.OnCompleted(kOther);
  history_.OnReported("b", {}, other_.ClearedRequests(), kStart + 5 * kSecond);
  CHECK_FALSE(history_.IsSuspect(kOther));
  CHECK(history_.IsCulprit(kPoison));
  other_.Expire(kStart + 5 * kSecond);
  CHECK(other_.ClearedRequests().size() == 1);
  other_.Expire(kStart + 70 * kSecond);
  CHECK(other_.ClearedRequests().empty());
}

// Guards against a daemon that refuses a correct request because it ran none of
// its completions: those between the crashes cleared it elsewhere one by one.
TEST_CASE_METHOD(crash_history_fixture,
                 "CrashHistory_CompletedBetweenCrashesElsewhere_IsCleared",
                 "[quarantine]") {
  for (std::int64_t i = 0; i < 3; ++i) {
    const auto now = kStart + i * 2 * kSecond;
    ReportCrash({kOther}, now);
    other_.OnCompleted(kOther);
    history_.OnReported("b", {}, other_.ClearedRequests(), now);
  }
  CHECK_FALSE(history_.IsSuspect(kOther));
}

// Guards against a culprit that runs again because its daemons restarted or
// their records no longer list old crashes.
TEST_CASE_METHOD(crash_history_fixture,
                 "CrashHistory_RecordWithoutTheCrash_KeepsTheCulprit",
                 "[quarantine]") {
  CrashThrice(2 * kSecond);
  history_.OnReported("a", {}, {}, kStart + 10 * kSecond);
  CHECK(history_.IsCulprit(kPoison));
  crash_history next_process;
  for (const auto& report : history_.OwnReports())
    next_process.OnCrash(report, kStart + 10 * kSecond);
  CHECK(next_process.OwnReports() == history_.OwnReports());
}

// Guards against requests that are refused for ever.
TEST_CASE_METHOD(crash_history_fixture, "CrashHistory_OldCrashes_Expire",
                 "[quarantine]") {
  CrashThrice(2 * kSecond);
  history_.Expire(kStart + 10'000 * kSecond);
  CHECK_FALSE(history_.IsSuspect(kPoison));
  CHECK(history_.RequestCount() == 0);
  CHECK(history_.OwnReports().empty());
}

// Guards against records and memory that grow with the number of crashes, and
// against a suspect that is no longer reported because of later crashes.
TEST_CASE_METHOD(crash_history_fixture,
                 "CrashHistory_ManyCrashes_ReportsStayBounded",
                 "[quarantine]") {
  history_.Add(kPoison, {NextCrash({}, kStart - 5 * kSecond).crash}, kStart);
  history_.OnCrash(NextCrash({kPoison, kOther}, kStart), kStart);
  std::vector<std::uint64_t> requests(100);
  for (std::int64_t i = 1; i <= 100; ++i) {
    std::iota(requests.begin(), requests.end(),
              static_cast<std::uint64_t>(i) * 1'000);
    history_.OnCrash(NextCrash(requests, kStart + i * kSecond),
                     kStart + i * kSecond);
  }
  const auto reports = history_.OwnReports();
  CHECK(reports.size() == crash_history_options().max_reports + 1);
  CHECK(reports.front().requests == std::vector<std::uint64_t>{kPoison});
  for (const auto& report : reports) CHECK(report.requests.size() <= 64);
  CHECK(history_.RequestCount() <= crash_history_options().max_requests);
  CHECK(history_.IsSuspect(kPoison));
}

}  // namespace
}  // namespace pomelohall
