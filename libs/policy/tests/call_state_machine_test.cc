#include "policy/call_state_machine.h"

#include <catch2/catch.hpp>

#include "policy/outcome_tracker.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using names = std::vector<std::string>;

constexpr std::string_view kCallId = "call-1";

/// A service with three servers and a large retry budget.
class call_fixture {
 protected:
  call_fixture() : selector_({"near", "north", {}, {}, {}}, 5) {
    auto next = std::make_shared<snapshot>();
    service_entry service{.name = "orders", .servers = {}};
    for (const auto* name : {"a", "b", "c"}) {
      service.servers.push_back({.member = name,
                                 .data_centre = "near",
                                 .region = "north",
                                 .forward_address = "",
                                 .incarnation = 1,
                                 .slots = 20});
    }
    next->services.push_back(service);
    selector_.Update(next, now_);
    for (int i = 0; i < 1'000; ++i) retries_.OnCall(now_);
  }

  call_state_machine NewCall(class_kind kind,
                             bool has_idempotency_key = false) {
    return {{.service = "orders",
             .work_class = "work",
             .kind = kind,
             .call_id = std::string(kCallId),
             .has_idempotency_key = has_idempotency_key,
             .deadline = now_ + seconds(1)},
            {},
            selector_,
            retries_};
  }

  names Run(const call_state_machine::actions& actions) {
    names seen;
    for (const auto& action : actions) {
      seen.emplace_back(CallActionName(action.kind));
      if (action.failure) failure_ = action.failure;
      if (action.server) members_.push_back(action.server->member);
    }
    return seen;
  }

  void RecordLatencies() {
    for (int i = 0; i < 100; ++i) retries_.OnLatency("work", milliseconds(10));
  }

  const error draining_{error_kind::kDraining, "leaving"};
  const error crashed_{error_kind::kBackendFailed, "crashed"};
  const names error_response_{"answer_error"};
  const names sent_{"send"};
  const names none_;

  instant now_{seconds(100)};
  server_selector selector_;
  retry_policy retries_;
  std::optional<error> failure_;
  std::vector<std::string> members_;
};

}  // namespace

// Guards against a response that is delivered in part or twice.
TEST_CASE_METHOD(call_fixture, "Call_CompleteResponse_IsDelivered") {
  auto call = NewCall(class_kind::kLookup);
  CHECK(Run(call.Start(now_)) == sent_);
  call.OnSent(1);
  CHECK(Run(call.OnResponseStarted(1, kCallId, now_)) == names{"deliver"});
  CHECK_FALSE(call.Finished());
  CHECK(Run(call.OnResponseEnded(1, now_)) == names{"end_delivery"});
  CHECK(call.Finished());
  CHECK(Run(call.OnResponseEnded(1, now_)) == none_);
  CHECK_FALSE(call.NextTimer());
}

// Guards against a truncated body that looks like a complete response.
TEST_CASE_METHOD(call_fixture, "Call_TruncatedResponse_AbortsDelivery") {
  auto call = NewCall(class_kind::kDownload);
  Run(call.Start(now_));
  call.OnSent(1);
  Run(call.OnResponseStarted(1, kCallId, now_));
  CHECK(Run(call.OnConnectionFailed(1, error_kind::kPeerUnreachable, now_)) ==
        names{"abort_delivery"});
  CHECK(call.Finished());
}

// Guards against delivering the response to another call.
TEST_CASE_METHOD(call_fixture, "Call_ResponseOfOtherCall_IsNotDelivered") {
  auto lookup = NewCall(class_kind::kLookup);
  Run(lookup.Start(now_));
  lookup.OnSent(1);
  CHECK(Run(lookup.OnResponseStarted(1, "call-2", now_)) == sent_);
  auto order = NewCall(class_kind::kTransaction);
  Run(order.Start(now_));
  order.OnSent(1);
  CHECK(Run(order.OnResponseStarted(1, "call-2", now_)) == error_response_);
  CHECK(failure_->kind == error_kind::kOutcomeUnknown);
}

// Guards against a transaction that runs twice, and against retries on the same
// server.
TEST_CASE_METHOD(call_fixture, "Call_NotRun_IsRetriedElsewhereTwice") {
  auto call = NewCall(class_kind::kTransaction);
  Run(call.Start(now_));
  call.OnSent(1);
  CHECK(Run(call.OnRefused(1, draining_, now_)) == sent_);
  CHECK(call.AttemptHeader(2) == 1);
  CHECK(Run(call.OnConnectionFailed(2, error_kind::kPeerUnreachable, now_)) ==
        sent_);
  CHECK(members_[0] != members_[1]);
  CHECK(members_[2] != members_[1]);
  CHECK(Run(call.OnRefused(3, draining_, now_)) == error_response_);
  CHECK(failure_->ran == run_state::kNotRun);
}

TEST_CASE_METHOD(call_fixture,
                 "Call_TransactionConnectionFailsAfterSent_Unknown") {
  auto call = NewCall(class_kind::kTransaction);
  Run(call.Start(now_));
  call.OnSent(1);
  CHECK(Run(call.OnConnectionFailed(1, error_kind::kPeerUnreachable, now_)) ==
        error_response_);
  CHECK(failure_->kind == error_kind::kOutcomeUnknown);
  CHECK(failure_->ran == run_state::kUnknown);
}

// Guards against reporting "not run" for the last attempt while an earlier one
// may have run.
TEST_CASE_METHOD(call_fixture, "Call_UnknownThenNotRun_IsReportedUnknown") {
  auto call = NewCall(class_kind::kLookup);
  Run(call.Start(now_));
  call.OnSent(1);
  CHECK(Run(call.OnRefused(1, crashed_, now_)) == sent_);
  Run(call.OnRefused(2, draining_, now_));
  Run(call.OnRefused(3, draining_, now_));
  CHECK(failure_->kind == error_kind::kDraining);
  CHECK(failure_->ran == run_state::kUnknown);
}

// Guards against retries of a request that crashes every server it reaches.
TEST_CASE_METHOD(call_fixture, "Call_TwoCrashes_IsNotRetried") {
  auto call = NewCall(class_kind::kLookup);
  Run(call.Start(now_));
  call.OnSent(1);
  CHECK(Run(call.OnRefused(1, crashed_, now_)) == sent_);
  call.OnSent(2);
  CHECK(Run(call.OnRefused(2, crashed_, now_)) == error_response_);
}

// Guards against a request that is sent before its key is granted, and against
// an outcome that is not reported to the key's home daemon.
TEST_CASE_METHOD(call_fixture, "Call_Key_IsGrantedThenCompleted") {
  auto call = NewCall(class_kind::kTransaction, true);
  CHECK(Run(call.Start(now_)) == names{"ask_grant"});
  CHECK(Run(call.OnGrant({.verdict = grant_verdict::kGranted}, now_)) == sent_);
  call.OnSent(1);
  Run(call.OnResponseStarted(1, kCallId, now_));
  CHECK(Run(call.OnResponseEnded(1, now_)) ==
        names{"complete_key", "end_delivery"});
}

TEST_CASE_METHOD(call_fixture, "Call_KeyNotRun_IsReleasedBeforeTheResponse") {
  auto call = NewCall(class_kind::kTransaction, true);
  Run(call.Start(now_));
  Run(call.OnGrant({.verdict = grant_verdict::kGranted}, now_));
  const error poison(error_kind::kPoisonSuspected, "refused");
  CHECK(Run(call.OnRefused(1, poison, now_)) ==
        names{"release_key", "answer_error"});
}

TEST_CASE_METHOD(call_fixture, "Call_KeyResponseLost_StaysGranted") {
  auto call = NewCall(class_kind::kTransaction, true);
  Run(call.Start(now_));
  Run(call.OnGrant({.verdict = grant_verdict::kGranted}, now_));
  call.OnSent(1);
  CHECK(Run(call.OnRefused(1, crashed_, now_)) == error_response_);
}

// Guards against a grant that is never released because its response was lost,
// and against "not run" for a resend whose first call ran.
TEST_CASE_METHOD(call_fixture,
                 "Call_HomeUnavailable_ReleasesAndReportsUnknown") {
  auto call = NewCall(class_kind::kTransaction, true);
  Run(call.Start(now_));
  now_ = *call.NextTimer();
  CHECK(Run(call.OnTimer(now_)) == names{"release_key", "answer_error"});
  CHECK(failure_->kind == error_kind::kLedgerUnavailable);
  CHECK(failure_->ran == run_state::kUnknown);
  CHECK(Run(call.OnGrant({.verdict = grant_verdict::kGranted}, now_)) == none_);
}

TEST_CASE_METHOD(call_fixture, "Call_KeyAlreadyUsed_IsNotSent") {
  const auto outcome = [&](const grant_result& grant) {
    auto call = NewCall(class_kind::kTransaction, true);
    Run(call.Start(now_));
    return Run(call.OnGrant(grant, now_));
  };
  CHECK(outcome({grant_verdict::kFirstAnswer, stored_response{}}) ==
        names{"answer_kept"});
  CHECK(outcome({grant_verdict::kOutcomeUnknown, {}}) == error_response_);
  CHECK(failure_->ran == run_state::kUnknown);
  CHECK(outcome({grant_verdict::kRanNotKept, {}}) == error_response_);
  CHECK(failure_->ran == run_state::kRan);
}

// Guards against losing an outcome because the caller did not wait for it.
TEST_CASE_METHOD(call_fixture, "Call_LateTransaction_CompletesAndIsStored") {
  const bool disconnected = GENERATE(false, true);
  auto call = NewCall(class_kind::kTransaction, true);
  Run(call.Start(now_));
  Run(call.OnGrant({.verdict = grant_verdict::kGranted}, now_));
  call.OnSent(1);
  if (disconnected) {
    CHECK(Run(call.OnCallerDisconnected(now_)) == none_);
  } else {
    now_ = *call.NextTimer();
    CHECK(Run(call.OnTimer(now_)) == error_response_);
    CHECK(failure_->kind == error_kind::kOutcomeUnknown);
  }
  CHECK_FALSE(call.Finished());
  SECTION("its response is stored") {
    CHECK(Run(call.OnResponseStarted(1, kCallId, now_)) == none_);
    CHECK(Run(call.OnResponseEnded(1, now_)) == names{"complete_key"});
  }
  SECTION("a late refusal releases the key") {
    CHECK(Run(call.OnRefused(1, draining_, now_)) == names{"release_key"});
  }
  SECTION("a truncated response shows that it ran") {
    Run(call.OnResponseStarted(1, kCallId, now_));
    CHECK(Run(call.OnResponseTruncated(1, now_)) ==
          names{"complete_key_not_kept"});
  }
  CHECK(call.Finished());
}

// Guards against backend servers that work for callers that have disconnected.
TEST_CASE_METHOD(call_fixture,
                 "Call_CallerDisconnected_CancelsIdempotentWork") {
  auto call = NewCall(class_kind::kDownload);
  Run(call.Start(now_));
  call.OnSent(1);
  CHECK(Run(call.OnCallerDisconnected(now_)) == names{"cancel_attempt"});
  CHECK(call.Finished());
}

TEST_CASE_METHOD(call_fixture, "Call_Deadline_ReportsRunState") {
  const bool sent = GENERATE(false, true);
  auto call = NewCall(class_kind::kLookup);
  Run(call.Start(now_));
  if (sent) call.OnSent(1);
  now_ = *call.NextTimer();
  CHECK(Run(call.OnTimer(now_)) == names{"cancel_attempt", "answer_error"});
  CHECK(failure_->ran == (sent ? run_state::kUnknown : run_state::kNotRun));
}

// Guards against a request that is still in progress when its daemon ends, and
// against an outcome that is reported wrongly because of the stop.
TEST_CASE_METHOD(call_fixture, "Call_DeadlineLimitedByAStop_ReportsRunState") {
  const bool sent = GENERATE(false, true);
  auto call = NewCall(class_kind::kLookup);
  Run(call.Start(now_));
  if (sent) call.OnSent(1);
  call.LimitDeadline(now_ + milliseconds(300));
  call.LimitDeadline(now_ + milliseconds(600));
  CHECK(call.NextTimer() < now_ + milliseconds(400));
  now_ = *call.NextTimer();
  CHECK(Run(call.OnTimer(now_)) == names{"cancel_attempt", "answer_error"});
  CHECK(failure_->ran == (sent ? run_state::kUnknown : run_state::kNotRun));
  CHECK(failure_->kind ==
        (sent ? error_kind::kDeadlineExceeded : error_kind::kDraining));
}

// Guards against sending a request that its stopping daemon cannot answer.
TEST_CASE_METHOD(call_fixture, "Call_StartsAfterTheLimitOfAStop_IsRefused") {
  auto call = NewCall(class_kind::kTransaction);
  call.LimitDeadline(now_);
  CHECK(Run(call.Start(now_)) == error_response_);
  CHECK(failure_->kind == error_kind::kDraining);
  CHECK(failure_->ran == run_state::kNotRun);
}

// Guards against delivering the responses of both hedged attempts, and against
// an error while the other attempt may still succeed.
TEST_CASE_METHOD(call_fixture, "Call_Hedge_FirstResponseWins") {
  RecordLatencies();
  auto call = NewCall(class_kind::kLookup);
  Run(call.Start(now_));
  call.OnSent(1);
  now_ = *call.NextTimer();
  CHECK(Run(call.OnTimer(now_)) == sent_);
  call.OnSent(2);
  SECTION("the second responds first") {
    CHECK(Run(call.OnResponseStarted(2, kCallId, now_)) ==
          names{"cancel_attempt", "deliver"});
    CHECK(Run(call.OnResponseStarted(1, kCallId, now_)) == none_);
  }
  SECTION("the second fails") {
    CHECK(Run(call.OnRefused(2, crashed_, now_)) == none_);
    CHECK(Run(call.OnResponseStarted(1, kCallId, now_)) == names{"deliver"});
  }
}

TEST_CASE_METHOD(call_fixture, "Call_Transaction_IsNeverHedged") {
  RecordLatencies();
  auto call = NewCall(class_kind::kTransaction);
  Run(call.Start(now_));
  CHECK(*call.NextTimer() > now_ + seconds(1));
}

// Guards against retries of other daemons that add to the retry budget of this
// one.
TEST_CASE_METHOD(call_fixture, "Call_InboundAttempt_AddsNoBudget") {
  retry_policy fresh;
  for (int i = 0; i < 1'000; ++i) {
    call_state_machine call({.service = "orders",
                             .work_class = "work",
                             .call_id = "call",
                             .inbound_attempt = 1,
                             .deadline = now_ + seconds(1)},
                            {}, selector_, fresh);
    Run(call.Start(now_));
  }
  const retry_context context{.error = error_kind::kDraining,
                              .ran = run_state::kNotRun,
                              .deadline = now_ + seconds(1)};
  CHECK(fresh.AllowRetry(context, now_));  // Covered by `minimum_budget`.
  CHECK_FALSE(fresh.AllowRetry(context, now_));
}

// Guards against "not run" after the first byte was sent, and against "unknown"
// after a definite refusal.
TEST_CASE("OutcomeTracker_Outcome_FollowsFirstByte") {
  outcome_tracker outcome;
  CHECK(outcome.Outcome() == run_state::kNotRun);
  outcome.OnFirstByteSent();
  CHECK(outcome.Failure(error_kind::kNoBackendServer, "").ran ==
        run_state::kUnknown);
  auto refused = outcome;
  refused.OnRefusedByServer();
  CHECK(refused.Outcome() == run_state::kNotRun);
  outcome.OnResponseStarted();
  CHECK(outcome.Outcome() == run_state::kRan);
}

}  // namespace pomelohall
