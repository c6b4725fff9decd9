#include "quota/quota_account.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class quota_account_fixture {
 protected:
  quota_account_fixture() {
    account_.SetMemberCount(10);
    account_.SetLimits({{"t", {.rate_per_s = 100, .burst = 50}}});
  }

  void Answer(const quota_answer& answer) {
    account_.TakeReport(now_);
    account_.OnAnswer(answer, now_, now_);
  }

  quota_decision Request() { return account_.Request("t", now_); }

  quota_account account_{{.member = "a", .incarnation = 1}};
  instant now_ = instant(seconds(1000));
};

// Guards against requests that are admitted before anything is known.
TEST_CASE_METHOD(quota_account_fixture,
                 "QuotaAccount_BeforeTheFirstAnswer_Waits", "[quota]") {
  CHECK(Request() == quota_decision::kWait);
  CHECK(account_.IsReportDue(now_));
  CHECK(account_.Request("unlimited", now_) == quota_decision::kAdmit);
}

// Guards against an exchange for each request of a tenant far below its limit,
// and against a daemon that admits without bound meanwhile.
TEST_CASE_METHOD(quota_account_fixture,
                 "QuotaAccount_FarBelowTheLimit_PaysAfterwards", "[quota]") {
  Answer({});
  for (int i = 0; i < 4; ++i) CHECK(Request() == quota_decision::kAdmit);
  CHECK(Request() == quota_decision::kWait);
  CHECK(account_.TakeReport(now_).tenants.at("t").spent == Approx(4));
}

// Guards against a tenant at its limit that is admitted without tokens, and
// against requests that wait although the quota is known to be used up.
TEST_CASE_METHOD(quota_account_fixture, "QuotaAccount_AtTheLimit_NeedsTokens",
                 "[quota]") {
  Answer({.granted = {}, .tight = {"t"}});
  CHECK(Request() == quota_decision::kWait);
  Answer({.granted = {{"t", 2}}, .tight = {"t"}});
  CHECK(account_.RequestAgain("t", now_) == quota_decision::kAdmit);
  CHECK(Request() == quota_decision::kAdmit);
  CHECK(Request() == quota_decision::kWait);
  Answer({.granted = {}, .tight = {"t"}});
  CHECK(account_.RequestAgain("t", now_) == quota_decision::kRefuse);
  CHECK(account_.RetryAfter("t") > duration(0));
}

// Guards against tokens that are used after the coordinator has given them to
// another daemon.
TEST_CASE_METHOD(quota_account_fixture, "QuotaAccount_OldTokens_Expire",
                 "[quota]") {
  Answer({.granted = {{"t", 9}}, .tight = {"t"}});
  now_ += milliseconds(1100);
  // Its own part of the rate allows one.
  Request();
  CHECK(Request() != quota_decision::kAdmit);
}

// Guards against a daemon that is cut off and uses more than its part.
TEST_CASE_METHOD(quota_account_fixture,
                 "QuotaAccount_WithoutCoordinator_UsesItsPartOfTheRate",
                 "[quota]") {
  Answer({});
  now_ += milliseconds(600);
  int admitted = 0;
  for (int i = 0; i < 5'000; ++i) {
    now_ += milliseconds(1);
    if (Request() == quota_decision::kAdmit) ++admitted;
  }
  CHECK(admitted >= 45);
  CHECK(admitted <= 52);
}

// Guards against a refused request that costs its tenant a token.
TEST_CASE_METHOD(quota_account_fixture, "QuotaAccount_RequestNotRun_IsReturned",
                 "[quota]") {
  Answer({.granted = {{"t", 1}}, .tight = {"t"}});
  REQUIRE(Request() == quota_decision::kAdmit);
  account_.Return("t");
  CHECK(Request() == quota_decision::kAdmit);
}

}  // namespace
}  // namespace pomelohall
