#include "quarantine/crash_history.h"

#include <catch2/catch.hpp>
#include <numeric>

namespace pomelohall {
namespace {

constexpr std::int64_t kStart = 1'000'000;
constexpr std::int64_t kSecond = 1'000;
constexpr std::int64_t kFirstTrial = kStart + 3 * kSecond;
constexpr std::int64_t kSecondTrial = kStart + 9 * kSecond;
constexpr std::int64_t kLater = kStart + 60 * kSecond;
constexpr std::uint64_t kPoison = 7;
constexpr std::uint64_t kOther = 8;

/// The history of one daemon. Each crash is of another start.
class crash_history_fixture {
 protected:
  crash_report NextCrash(std::vector<std::uint64_t> requests, std::int64_t at) {
    return {.crash = {.id = ++last_id_, .at_unix_ms = at},
            .requests = std::move(requests)};
  }

  crash_report NextTrialCrash(std::int64_t at) {
    auto report = NextCrash({kPoison, kOther}, at);
    report.trial = kPoison;
    return report;
  }

  /// Crashes of the servers beside three daemons, of which this is one.
  void CrashThrice(std::int64_t interval) {
    history_.OnCrash(NextCrash({kPoison, kOther}, kStart), kStart);
    history_.OnReported("a", {NextCrash({kPoison}, kStart + interval)}, {},
                        kStart + interval);
    history_.Add(kPoison,
                 {{.crash = NextCrash({}, kStart + 2 * interval).crash}},
                 kStart + 2 * interval);
  }

  /// Then it crashes two on trial, beside this daemon and another one.
  void Convict() {
    CrashThrice(100);
    history_.OnCrash(NextTrialCrash(kFirstTrial), kFirstTrial);
    history_.OnReported("b", {NextTrialCrash(kSecondTrial)}, {}, kSecondTrial);
  }

  bool IsRefused(std::uint64_t request, std::int64_t now) const {
    return history_.Verdict(request, now) == crash_verdict::kRefuse;
  }

  bool IsOnTrial(std::uint64_t request, std::int64_t now) const {
    return history_.Verdict(request, now) == crash_verdict::kTrial;
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
// counts its own crashes only, or because its crashes follow each other within
// milliseconds, as those of repeats do.
TEST_CASE_METHOD(crash_history_fixture,
                 "CrashHistory_CrashesAtThreeDaemons_LeadToTrials",
                 "[quarantine]") {
  const std::int64_t interval = GENERATE(0, 1, 2 * kSecond);
  CrashThrice(interval);
  CHECK(IsOnTrial(kPoison, kLater));
  CHECK(history_.IsSuspect(kPoison));
  CHECK(history_.Verdict(kOther, kLater) == crash_verdict::kAllow);
  CHECK_FALSE(history_.IsSuspect(kOther));
  CHECK(history_.Crashes(kPoison).size() == 3);
}

// Guards against a request that is tried as often as it comes.
TEST_CASE_METHOD(crash_history_fixture,
                 "CrashHistory_CrashesOnTrialAtTwoDaemons_MakeACulprit",
                 "[quarantine]") {
  Convict();
  CHECK(IsRefused(kPoison, kLater));
  CHECK(history_.CulpritCount() == 1);
  CHECK_FALSE(IsRefused(kOther, kLater));
  CHECK(history_.Crashes(kPoison).back().on_trial);
}

// Guards against a trial that is not known as such because another source told
// of the crash first.
TEST_CASE_METHOD(crash_history_fixture,
                 "CrashHistory_TrialToldAfterTheCrash_Counts", "[quarantine]") {
  CrashThrice(100);
  for (const auto at : {kFirstTrial, kSecondTrial}) {
    const auto report = NextTrialCrash(at);
    history_.Add(kPoison, {{.crash = report.crash}}, at);
    history_.OnReported(std::to_string(at), {report}, {}, at);
  }
  CHECK(IsRefused(kPoison, kLater));
}

// Guards against a correct request that is refused for minutes because the
// servers that ran it on trial were two of a series that crashes.
TEST_CASE_METHOD(crash_history_fixture,
                 "CrashHistory_CrashOnTrial_NextTrialIsLater", "[quarantine]") {
  CrashThrice(100);
  history_.OnCrash(NextTrialCrash(kFirstTrial), kFirstTrial);
  CHECK(IsRefused(kPoison, kFirstTrial + 2 * kSecond));
  CHECK(IsOnTrial(kPoison, kFirstTrial + 3 * kSecond));
  history_.OnCompleted(kPoison);
  CHECK(history_.Verdict(kPoison, kLater) == crash_verdict::kAllow);
  CHECK(history_.IsCleared(kPoison));
}

// Guards against a daemon that refuses or tries a request that another one has
// seen complete.
TEST_CASE_METHOD(crash_history_fixture,
                 "CrashHistory_ClearedElsewhere_IsAllowed", "[quarantine]") {
  CrashThrice(2 * kSecond);
  history_.OnClearedElsewhere(kPoison);
  CHECK(history_.Verdict(kPoison, kLater) == crash_verdict::kAllow);
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
    history_.Add(kPoison, {{.crash = report.crash}}, kStart);
  }
  CHECK_FALSE(history_.IsSuspect(kPoison));
  CHECK(history_.Crashes(kPoison).size() == 1);
}

// Guards against the refusal of a request that many servers ran when they
// crashed together or one after the other.
TEST_CASE_METHOD(crash_history_fixture,
                 "CrashHistory_ManyServersCrash_RequestIsNotRefused",
                 "[quarantine]") {
  const std::int64_t interval = GENERATE(0, 100, 700, 2 * kSecond);
  for (std::int64_t i = 0; i < 20; ++i) {
    const auto at = kStart + i * interval;
    history_.OnReported(std::to_string(i), {NextCrash({kOther}, at)}, {}, at);
    CHECK_FALSE(IsRefused(kOther, at));
  }
}

// Guards against a request that ran at two servers that crashed together and is
// not repeated although others are there.
TEST_CASE_METHOD(crash_history_fixture,
                 "CrashHistory_TwoServersCrashTogether_RequestIsRepeated",
                 "[quarantine]") {
  history_.OnCrash(NextCrash({kOther}, kStart), kStart);
  history_.OnReported("a", {NextCrash({kOther}, kStart + 900)}, {}, kStart);
  CHECK_FALSE(history_.IsSuspect(kOther));
  history_.OnReported("b", {NextCrash({kPoison}, kStart)}, {}, kStart);
  history_.OnReported("c", {NextCrash({kPoison}, kStart + 1100)}, {}, kStart);
  CHECK(history_.IsSuspect(kPoison));
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
    CHECK(history_.Verdict(kOther, now) == crash_verdict::kAllow);
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
  CHECK(IsOnTrial(kPoison, kLater));
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
  CHECK(IsOnTrial(kOther, kLater));
  other_.OnCompleted(kOther);
  history_.OnReported("b", {}, other_.ClearedRequests(), kStart + 5 * kSecond);
  CHECK_FALSE(history_.IsSuspect(kOther));
  CHECK(IsOnTrial(kPoison, kLater));
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
  Convict();
  history_.OnReported("a", {}, {}, kStart + 10 * kSecond);
  history_.OnReported("b", {}, {}, kStart + 10 * kSecond);
  CHECK(IsRefused(kPoison, kLater));
  crash_history next_process;
  for (const auto& report : history_.OwnReports())
    next_process.OnCrash(report, kStart + 10 * kSecond);
  CHECK(next_process.OwnReports() == history_.OwnReports());
  next_process.Add(kPoison, history_.Crashes(kPoison), kStart + 10 * kSecond);
  CHECK(next_process.Verdict(kPoison, kLater) == crash_verdict::kRefuse);
}

// Guards against requests that are refused for ever.
TEST_CASE_METHOD(crash_history_fixture, "CrashHistory_OldCrashes_Expire",
                 "[quarantine]") {
  Convict();
  history_.Expire(kStart + 10'000 * kSecond);
  CHECK_FALSE(history_.IsSuspect(kPoison));
  CHECK_FALSE(IsRefused(kPoison, kStart + 10'000 * kSecond));
  CHECK(history_.RequestCount() == 0);
  CHECK(history_.OwnReports().empty());
}

// Guards against records and memory that grow with the number of crashes, and
// against a suspect that is no longer reported because of later crashes.
TEST_CASE_METHOD(crash_history_fixture,
                 "CrashHistory_ManyCrashes_ReportsStayBounded",
                 "[quarantine]") {
  history_.Add(kPoison, {{.crash = NextCrash({}, kStart - 5 * kSecond).crash}},
               kStart);
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

// Guards against a culprit that is not recognised because it ran at too many
// crashes before its trials.
TEST_CASE_METHOD(crash_history_fixture,
                 "CrashHistory_ManyCrashesOfARequest_TrialsCount",
                 "[quarantine]") {
  for (int i = 0; i < 200; ++i)
    history_.OnReported("a", {NextCrash({kPoison}, kStart)}, {}, kStart);
  Convict();
  CHECK(history_.Crashes(kPoison).size() ==
        crash_history_options().max_suspicions);
  CHECK(IsRefused(kPoison, kLater));
}

}  // namespace
}  // namespace pomelohall
