#include "rollout/version_comparison.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

#include "rollout/response_counter.h"

namespace pomelohall {
namespace {

constexpr std::size_t kCanaries = 3;

class version_comparison_fixture {
 protected:
  /// Reports a server with responses to one route that took `time_ms` each.
  void Report(const std::string& instance, const std::string& version,
              std::uint64_t responses, std::uint64_t failures, double time_ms,
              const std::string& route = "lookup") {
    auto& report = reports_[instance];
    report.instance = instance;
    report.version = version;
    const auto timed = responses - failures;
    report.by_route[route] = {.responses = responses,
                              .failures = failures,
                              .timed = timed,
                              .time_ms = time_ms * static_cast<double>(timed)};
    comparison_.OnReport(report);
  }

  /// Ten servers of the present version, of which every third is slow by
  /// nature.
  void ReportSoundOthers() {
    for (int i = 0; i < 10; ++i) {
      Report("old-" + std::to_string(i), "v1", 200, 1, i % 3 == 0 ? 200 : 100);
    }
  }

  bool IsBad(std::size_t servers = kCanaries) const {
    return comparison_.Judge("v2", servers).is_bad;
  }

  version_comparison comparison_;
  std::map<std::string, version_report> reports_;
};

// Guards against a version that fails half of its requests and stays.
TEST_CASE_METHOD(version_comparison_fixture,
                 "VersionComparison_FailuresAtMostServers_AreBad",
                 "[rollout]") {
  ReportSoundOthers();
  Report("n1", "v2", 12, 6, 110);
  CHECK_FALSE(IsBad());
  Report("n2", "v2", 11, 5, 110);
  CHECK(IsBad());
}

// Guards against a version whose responses take several times as long.
TEST_CASE_METHOD(version_comparison_fixture,
                 "VersionComparison_SlowResponses_AreBad", "[rollout]") {
  ReportSoundOthers();
  Report("n1", "v2", 10, 0, 560);
  Report("n2", "v2", 10, 0, 480);
  CHECK(IsBad());
}

// Guards against a good version with runs far below a millisecond that is taken
// back because a busy VM doubled them.
TEST_CASE_METHOD(version_comparison_fixture,
                 "VersionComparison_ShortRunsBeyondTheFactor_AreNotBad",
                 "[rollout]") {
  for (int i = 0; i < 10; ++i)
    Report("old-" + std::to_string(i), "v1", 200, 0, 0.15);
  for (const auto* const instance : {"n1", "n2", "n3"})
    Report(instance, "v2", 40, 0, 0.4);
  CHECK_FALSE(IsBad());
}

// Guards against a version that stays though it turned short runs into ones
// that callers notice.
TEST_CASE_METHOD(version_comparison_fixture,
                 "VersionComparison_ShortRunsThatBecameLong_AreBad",
                 "[rollout]") {
  for (int i = 0; i < 10; ++i)
    Report("old-" + std::to_string(i), "v1", 200, 0, 0.15);
  for (const auto* const instance : {"n1", "n2", "n3"})
    Report(instance, "v2", 40, 0, 6);
  CHECK(IsBad());
}

// Guards against a fault on a route with little traffic that the other routes
// hide.
TEST_CASE_METHOD(version_comparison_fixture,
                 "VersionComparison_FailuresOnOneRoute_AreBad", "[rollout]") {
  ReportSoundOthers();
  for (int i = 0; i < 10; ++i)
    Report("old-" + std::to_string(i), "v1", 20, 0, 150, "order");
  for (const auto* const instance : {"n1", "n2"}) {
    Report(instance, "v2", 90, 0, 110);
    Report(instance, "v2", 10, 5, 150, "order");
  }
  CHECK(IsBad());
}

// Guards against a good version that is taken back because one of its servers
// has a slow or failing VM.
TEST_CASE_METHOD(version_comparison_fixture,
                 "VersionComparison_OneDisturbedServer_DecidesNothing",
                 "[rollout]") {
  ReportSoundOthers();
  Report("n1", "v2", 30, 14, 800);
  CHECK_FALSE(IsBad());
  Report("n2", "v2", 40, 0, 120);
  Report("n3", "v2", 40, 0, 170);
  CHECK_FALSE(IsBad());
}

// Guards against a good version that is taken back because of a fault that the
// other servers have as well.
TEST_CASE_METHOD(version_comparison_fixture,
                 "VersionComparison_FaultOfAllServers_DecidesNothing",
                 "[rollout]") {
  for (int i = 0; i < 10; ++i)
    Report("old-" + std::to_string(i), "v1", 200, 60, 600);
  for (const auto* const instance : {"n1", "n2", "n3"})
    Report(instance, "v2", 40, 16, 800);
  CHECK_FALSE(IsBad());
}

// Guards against a bad version that gets requests for long because its only
// server that is tried is not a majority.
TEST_CASE_METHOD(version_comparison_fixture,
                 "VersionComparison_ManyFailuresOfOneServer_AreBad",
                 "[rollout]") {
  ReportSoundOthers();
  Report("n1", "v2", 50, 25, 110);
  CHECK(IsBad());
}

// Guards against a service with a single new server that is never judged.
TEST_CASE_METHOD(version_comparison_fixture,
                 "VersionComparison_OnlyServer_IsJudgedAlone", "[rollout]") {
  ReportSoundOthers();
  Report("n1", "v2", 10, 5, 110);
  CHECK(IsBad(1));
}

// Guards against a cold server that makes its version look slow.
TEST_CASE("ResponseCounter_ColdServer_IsNotTimed", "[rollout]") {
  const auto start = instant(std::chrono::seconds(50));
  response_counter counter;
  counter.SetServer("i", "v2", start);
  counter.OnResponse("r", false, std::chrono::milliseconds(400),
                     start + std::chrono::seconds(3));
  counter.OnResponse("r", false, std::chrono::milliseconds(100),
                     start + std::chrono::seconds(4));
  counter.OnResponse("r", true, std::nullopt, start + std::chrono::seconds(4));
  const auto counts = counter.Report().by_route.at("r");
  CHECK(counts.responses == 3);
  CHECK(counts.failures == 1);
  CHECK(counts.timed == 1);
  CHECK(counts.time_ms == Approx(100));
}

// Guards against counts of an earlier start that are reported for a new one.
TEST_CASE("ResponseCounter_NewServer_StartsFromZero", "[rollout]") {
  const auto start = instant(std::chrono::seconds(50));
  response_counter counter;
  counter.SetServer("i", "v1", start);
  counter.OnResponse("r", true, std::nullopt, start);
  counter.SetServer("i", "v1", start);
  CHECK(counter.Report().by_route.size() == 1);
  counter.Clear();
  CHECK(counter.Report().by_route.empty());
  CHECK(counter.Report().instance == "i");
  counter.OnResponse("r", true, std::nullopt, start);
  counter.SetServer("j", "v2", start);
  CHECK(counter.Report().by_route.empty());
}

}  // namespace
}  // namespace pomelohall
