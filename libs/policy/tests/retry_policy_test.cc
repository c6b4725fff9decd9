#include "policy/retry_policy.h"

#include <catch2/catch.hpp>

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class retry_fixture {
 protected:
  retry_fixture() { Call(1'000); }

  void Call(int count) {
    for (int i = 0; i < count; ++i) policy_.OnCall(now_);
  }

  int AllowedRetries(int asked) {
    int allowed = 0;
    for (int i = 0; i < asked; ++i) allowed += Allowed() ? 1 : 0;
    return allowed;
  }

  bool Allowed() { return policy_.AllowRetry(context_, now_); }

  instant now_{seconds(100)};
  retry_policy policy_;
  retry_context context_{.kind = class_kind::kLookup,
                         .error = error_kind::kBackendFailed,
                         .ran = run_state::kUnknown,
                         .deadline = now_ + seconds(60)};
};

}  // namespace

// Guards against retries that amplify an overload.
TEST_CASE_METHOD(retry_fixture, "AllowRetry_Budget_IsTenPercentOfTenSeconds") {
  CHECK(AllowedRetries(500) == 100);
  now_ += seconds(5);
  Call(100);
  CHECK(AllowedRetries(500) == 10);
  now_ += seconds(5);
  CHECK(AllowedRetries(500) == 0);
  now_ += seconds(10);
  CHECK(AllowedRetries(500) == 1);
}

// Guards against a transaction that runs twice.
TEST_CASE_METHOD(retry_fixture, "AllowRetry_Transaction_OnlyIfNotRun") {
  context_.kind = class_kind::kTransaction;
  CHECK_FALSE(Allowed());
  context_.ran = run_state::kRan;
  CHECK_FALSE(Allowed());
  context_.ran = run_state::kNotRun;
  CHECK(Allowed());
}

// Guards against retries that multiply over the levels of a call chain.
TEST_CASE_METHOD(retry_fixture, "AllowRetry_InboundAttempt_IsRefused") {
  context_.inbound_attempt = 1;
  CHECK_FALSE(Allowed());
  CHECK_FALSE(policy_.AllowHedge(
      {.inbound_attempt = 1, .deadline = now_ + seconds(1)}, now_));
}

// Guards against a third retry, retries after the deadline, and retries of
// errors that every server returns.
TEST_CASE_METHOD(retry_fixture, "AllowRetry_Limits_AreKept") {
  context_.retries_done = 2;
  CHECK_FALSE(Allowed());
  context_.retries_done = 1;
  context_.deadline = now_;
  CHECK_FALSE(Allowed());
  context_.deadline = now_ + seconds(1);
  for (const auto kind :
       {error_kind::kPoisonSuspected, error_kind::kDeadlineExceeded,
        error_kind::kCancelled, error_kind::kBodyTooLarge}) {
    context_.error = kind;
    CHECK_FALSE(Allowed());
  }
  context_.error = error_kind::kDraining;
  CHECK(Allowed());
}

// Guards against hedges beyond the budget, and against hedging work that must
// not be repeated.
TEST_CASE_METHOD(retry_fixture, "AllowHedge_Lookup_SharesTheBudget") {
  hedge_context hedge{.deadline = now_ + seconds(1)};
  CHECK(policy_.AllowHedge(hedge, now_));
  CHECK(AllowedRetries(500) == 99);
  CHECK_FALSE(policy_.AllowHedge(hedge, now_));
  now_ += seconds(1);
  Call(1'000);
  hedge.kind = class_kind::kTransaction;
  CHECK_FALSE(policy_.AllowHedge(hedge, now_));
  hedge.kind = class_kind::kDownload;
  CHECK_FALSE(policy_.AllowHedge(hedge, now_));
}

// Guards against hedges before the latency of the class is known.
TEST_CASE_METHOD(retry_fixture, "HedgeDelay_EnoughSamples_IsP95") {
  for (int i = 1; i < 100; ++i) policy_.OnLatency("browse", milliseconds(i));
  CHECK_FALSE(policy_.HedgeDelay("browse"));
  policy_.OnLatency("browse", milliseconds(100));
  const auto delay = policy_.HedgeDelay("browse");
  REQUIRE(delay);
  CHECK(*delay >= milliseconds(95));
  CHECK(*delay <= milliseconds(107));
  CHECK_FALSE(policy_.HedgeDelay("other"));
}

// Guards against a histogram without decay, and against overflow.
TEST_CASE("LatencyHistogram_LatencyChanges_OldSamplesDecay") {
  latency_histogram histogram;
  for (int i = 0; i < 10'000; ++i) histogram.Add(milliseconds(100));
  for (int i = 0; i < 40'000; ++i) histogram.Add(milliseconds(1));
  CHECK(histogram.Percentile(0.95) < milliseconds(2));
  histogram.Add(duration::max());
  histogram.Add(duration{-1});
  CHECK(histogram.Percentile(1.0) > seconds(60));
}

}  // namespace pomelohall
