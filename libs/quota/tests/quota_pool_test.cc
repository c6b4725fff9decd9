#include "quota/quota_pool.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class quota_pool_fixture {
 protected:
  quota_pool_fixture() {
    pool_.SetMemberCount(2);
    pool_.SetLimits({{"t", {.rate_per_s = 100, .burst = 50}}}, now_);
    Report("a", {});
    Report("b", {});
  }

  quota_answer Report(const std::string& member, const quota_use& use) {
    quota_report report{.member = member,
                        .sequence = ++sequence_,
                        .incarnation = 1,
                        .tenants = {{"t", use}}};
    return pool_.OnReport(report, now_);
  }

  double Ask(const std::string& member, double wanted, double held = 0) {
    const auto answer = Report(member, {.held = held, .wanted = wanted});
    const auto found = answer.granted.find("t");
    return found == answer.granted.end() ? 0 : found->second;
  }

  void Advance(milliseconds time) {
    const auto end = now_ + time;
    while (now_ < end) {
      now_ += std::min<duration>(milliseconds(100), end - now_);
      Report("a", {.held = held_a_});
      Report("b", {});
    }
  }

  quota_pool pool_{quota_pool_options{.overdraft = 0, .fill_share = 1}};
  instant now_ = instant(seconds(1000));
  std::uint64_t sequence_ = 0;
  double held_a_ = 0;
};

// Guards against a coordinator that hands out again what its predecessor lent.
TEST_CASE_METHOD(quota_pool_fixture, "QuotaPool_NewCoordinator_StartsEmpty",
                 "[quota]") {
  CHECK(Ask("a", 10) == 0);
  Advance(milliseconds(100));
  CHECK(Ask("a", 100) == 10);
}

// Guards against a bucket that fills while its burst is held by daemons.
TEST_CASE_METHOD(quota_pool_fixture,
                 "QuotaPool_TokensHeldByDaemons_CountAsPartOfTheBurst",
                 "[quota]") {
  Advance(seconds(1));
  held_a_ = Ask("a", 40);
  REQUIRE(held_a_ == 40);
  Advance(seconds(1));
  CHECK(Ask("b", 100) == 10);
}

// Guards against tokens that are lost for good when a daemon returns them, or
// when it dies with them.
TEST_CASE_METHOD(quota_pool_fixture,
                 "QuotaPool_ReturnedAndLostTokens_AreLentAgain", "[quota]") {
  Advance(seconds(1));
  REQUIRE(Ask("a", 50) == 50);
  Report("a", {.returned = 30});
  CHECK(pool_.Level("t") == Approx(30));
  REQUIRE(Ask("a", 30) == 30);
  for (int i = 0; i < 5; ++i) {
    now_ += milliseconds(400);
    Report("b", {});
  }
  // With half of the fleet, half of the burst.
  CHECK(Ask("b", 100) == 25);
}

// Guards against two parts of a fleet that each use the whole rate.
TEST_CASE_METHOD(quota_pool_fixture, "QuotaPool_HalfOfTheFleet_GetsHalfTheRate",
                 "[quota]") {
  for (int i = 0; i < 3; ++i) {
    now_ += milliseconds(400);
    Report("a", {});
  }
  REQUIRE(pool_.Reporters() == 1);
  Ask("a", 1000);
  Report("a", {});
  now_ += milliseconds(200);
  CHECK(Ask("a", 1000) == 10);
}

// Guards against a report that overtakes a later one and returns tokens twice.
TEST_CASE_METHOD(quota_pool_fixture, "QuotaPool_LateReport_CountsSpendingOnly",
                 "[quota]") {
  Advance(seconds(1));
  const auto level = pool_.Level("t");
  pool_.OnReport({.member = "a",
                  .sequence = 1,
                  .incarnation = 1,
                  .tenants = {{"t", {.spent = 5, .returned = 40}}}},
                 now_);
  CHECK(pool_.Level("t") == Approx(level - 5));
}

// Guards against a limit that is lowered and still lends the old burst.
TEST_CASE_METHOD(quota_pool_fixture, "QuotaPool_LoweredLimit_HoldsAtOnce",
                 "[quota]") {
  Advance(seconds(1));
  pool_.SetLimits({{"t", {.rate_per_s = 10, .burst = 5}}}, now_);
  CHECK(Ask("a", 100) == 5);
  Advance(milliseconds(100));
  CHECK(Ask("b", 100) == 0);
}

// Guards against a tenant near its limit whose requests need no tokens.
TEST_CASE_METHOD(quota_pool_fixture, "QuotaPool_LowBucket_IsTight", "[quota]") {
  CHECK(Report("a", {}).tight.contains("t"));
  Advance(milliseconds(500));
  CHECK_FALSE(Report("a", {}).tight.contains("t"));
  CHECK(Report("a", {.spent = 30}).tight.contains("t"));
}

}  // namespace
}  // namespace pomelohall
