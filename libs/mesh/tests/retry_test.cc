#include <catch2/catch.hpp>
#include <set>

#include "mesh/deadline_history.h"
#include "mesh/retry_budget.h"
#include "mesh/retry_hint.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class retry_budget_fixture {
 protected:
  static constexpr std::size_t kDaemons = 10;
  static constexpr double kRatio = 0.2;
  static constexpr double kAllowance = 50;

  retry_budget_fixture() : budgets_(NewBudgets()) {
    for (auto& budget : budgets_) budget.SetDaemonCount(kDaemons);
  }

  static std::vector<retry_budget> NewBudgets() {
    return std::vector<retry_budget>(
        kDaemons,
        retry_budget(
            {.ratio = kRatio, .window = seconds(10), .allowance = kAllowance}));
  }

  std::vector<retry_budget> budgets_;
  instant now_{seconds(100)};
};

// Guards against a retry storm after a backend server starts to fail: the
// retries of all daemons together must stay within the limit.
TEST_CASE_METHOD(retry_budget_fixture,
                 "RetryBudget_EveryRequestFails_AllDaemonsKeepTheBound",
                 "[mesh][load]") {
  int requests = 0;
  int retries = 0;
  for (int step = 0; step < 1000; ++step) {  // Ten seconds.
    auto& budget = budgets_[static_cast<std::size_t>(step) % kDaemons];
    budget.OnRequest("shop", now_);
    ++requests;
    if (budget.TryRetry("shop", run_state::kNotRun, now_)) ++retries;
    now_ += milliseconds(10);
  }
  CHECK(retries > 0);
  CHECK(retries <= kRatio * requests + kAllowance);
}

// Guards against retries beyond the limit of a called service. A retry of a
// request that ran also repeats its calls, while the daemons of the called
// service spend their whole budget on refused requests.
TEST_CASE_METHOD(retry_budget_fixture,
                 "RetryBudget_CalledServiceRefuses_RepeatedCallsFitTheBound",
                 "[mesh][load]") {
  int requests = 0;
  int retries = 0;
  for (int step = 0; step < 1000; ++step) {
    auto& budget = budgets_[static_cast<std::size_t>(step) % kDaemons];
    budget.OnRequest("parent", now_);
    budget.OnRequest("called", now_);
    ++requests;
    // The call is refused; then its parent fails and is retried with its call,
    // which is refused again.
    if (budget.TryRetry("called", run_state::kNotRun, now_)) ++retries;
    if (budget.TryRetry("parent", run_state::kRan, now_)) ++retries;
    now_ += milliseconds(10);
  }
  CHECK(retries <= kRatio * requests + kAllowance);
}

// Guards against retries beyond the limit after all daemons were killed: their
// successors know neither what was spent in the window nor each other.
TEST_CASE_METHOD(retry_budget_fixture,
                 "RetryBudget_AllDaemonsRestarted_KeepTheBound",
                 "[mesh][load]") {
  int requests = 0;
  int retries = 0;
  for (int step = 0; step < 1000; ++step) {
    if (step == 500) budgets_ = NewBudgets();
    if (step == 510) {  // The members have been listed.
      for (auto& budget : budgets_) budget.SetDaemonCount(kDaemons);
    }
    auto& budget = budgets_[static_cast<std::size_t>(step) % kDaemons];
    budget.OnRequest("shop", now_);
    ++requests;
    while (budget.TryRetry("shop", run_state::kNotRun, now_)) ++retries;
    now_ += milliseconds(10);
  }
  CHECK(retries <= kRatio * requests + kAllowance);
}

// Guards against a budget that does not recover, and against one that is spent
// by retries for another service.
TEST_CASE_METHOD(retry_budget_fixture, "RetryBudget_WindowPassed_IsRefilled",
                 "[mesh]") {
  auto& budget = budgets_.front();
  while (budget.TryRetry("shop", run_state::kNotRun, now_)) {
  }
  CHECK(budget.TryRetry("other", run_state::kNotRun, now_));
  now_ += seconds(12);
  CHECK(budget.TryRetry("shop", run_state::kNotRun, now_));
}

// Guards against callers that are refused at the same time and also retry at
// the same time, and against a hint that leaves no time for the retry.
TEST_CASE("RetryHint_ManyRefusals_AreSpreadWithinAThird", "[mesh][load]") {
  random_source random(3);
  for (const auto cause : {refusal_cause::kOverload, refusal_cause::kNoServer,
                           refusal_cause::kServerFault}) {
    std::set<std::int64_t> hints;
    for (int i = 0; i < 100; ++i) {
      const auto hint = RetryHint(cause, milliseconds(2400), random);
      CHECK(hint > milliseconds(0));
      CHECK(hint <= milliseconds(800));
      hints.insert(hint.count());
    }
    CHECK(hints.size() > 50);
    CHECK(*hints.rbegin() - *hints.begin() > 100'000);
  }
  CHECK(RetryHint(refusal_cause::kNoServer, milliseconds(-5), random).count() ==
        0);
}

// Guards against callers that wait until their target is missed although their
// retry has the same chance at once: backend servers refuse every second
// request. Times of a site with targets of 300 ms, deadlines of 2 s and runs of
// 90 ms.
TEST_CASE("RetryHint_ServersThatRefuseAtRandom_LeaveTimeForTheTarget",
          "[mesh][load]") {
  random_source random(4);
  int in_time = 0;
  constexpr int kCallers = 1000;
  for (int i = 0; i < kCallers; ++i) {
    auto sent_after = milliseconds(0);
    for (int attempt = 0; attempt < 3; ++attempt) {
      if (random.NextDouble() < 0.5) {
        if (sent_after + milliseconds(90) <= milliseconds(300)) ++in_time;
        break;
      }
      sent_after += std::chrono::duration_cast<milliseconds>(
          RetryHint(refusal_cause::kServerFault,
                    milliseconds(2000) - sent_after, random));
    }
  }
  // Without a retry in time it would be a half of them.
  CHECK(in_time > kCallers * 7 / 10);
}

// Guards against retries that go undetected and make first requests miss their
// target, and against first requests that are taken for retries.
TEST_CASE("DeadlineHistory_RetryOfRefusedCaller_IsDetected", "[mesh][load]") {
  deadline_history history;
  random_source random(5);
  const auto first_request = [&] {
    return milliseconds(3400 + static_cast<int>(random.Below(600)));
  };
  int false_positives = 0;
  for (int i = 0; i < 50; ++i) {
    if (history.IsLikelyRetry(first_request())) ++false_positives;
  }
  CHECK(false_positives == 0);
  int detected_retries = 0;
  for (int i = 0; i < 100; ++i) {  // Two of three requests are retries.
    if (history.IsLikelyRetry(first_request())) ++false_positives;
    if (history.IsLikelyRetry(milliseconds(2700))) ++detected_retries;
    if (history.IsLikelyRetry(milliseconds(1900))) ++detected_retries;
  }
  CHECK(false_positives == 0);
  CHECK(detected_retries > 190);
}

}  // namespace
}  // namespace pomelohall
