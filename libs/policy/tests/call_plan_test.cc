#include "policy/call_plan.h"

#include <catch2/catch.hpp>

#include "policy/owner_call.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using names = std::vector<std::string>;

constexpr std::string_view kCallId = "call-1";

/// A service with three servers and plenty of retry budget.
class plan_fixture {
 protected:
  plan_fixture() : selector_({"near", "north", {}, {}, {}}, 5) {
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

  call_plan Plan(class_kind kind, bool has_key = false) {
    return {{.service = "orders",
             .work_class = "work",
             .kind = kind,
             .call_id = std::string(kCallId),
             .has_key = has_key,
             .deadline = now_ + seconds(1)},
            {},
            selector_,
            retries_};
  }

  names Run(const call_plan::actions& actions) {
    names seen;
    for (const auto& action : actions) {
      seen.emplace_back(PlanActionName(action.kind));
      if (action.failure) failure_ = action.failure;
      if (action.server) members_.push_back(action.server->member);
    }
    return seen;
  }

  void LearnLatency() {
    for (int i = 0; i < 100; ++i) retries_.OnLatency("work", milliseconds(10));
  }

  const error draining_{error_kind::kDraining, "leaving"};
  const error crashed_{error_kind::kBackendFailed, "crashed"};
  const names answered_error_{"answer_error"};
  const names sent_{"send"};
  const names none_;

  instant now_{seconds(100)};
  server_selector selector_;
  retry_policy retries_;
  std::optional<error> failure_;
  std::vector<std::string> members_;
};

}  // namespace

// Guards against an answer that is passed on in part or twice.
TEST_CASE_METHOD(plan_fixture, "Plan_WholeAnswer_IsDelivered") {
  auto plan = Plan(class_kind::kLookup);
  CHECK(Run(plan.Start(now_)) == sent_);
  plan.OnSent(1);
  CHECK(Run(plan.OnAnswerStarted(1, kCallId, now_)) == names{"deliver"});
  CHECK_FALSE(plan.Finished());
  CHECK(Run(plan.OnAnswerEnded(1, now_)) == names{"end_delivery"});
  CHECK(plan.Finished());
  CHECK(Run(plan.OnAnswerEnded(1, now_)) == none_);
  CHECK_FALSE(plan.NextTimer());
}

// Guards against a stopped body that looks like a short answer.
TEST_CASE_METHOD(plan_fixture, "Plan_CutShort_AbortsDelivery") {
  auto plan = Plan(class_kind::kDownload);
  Run(plan.Start(now_));
  plan.OnSent(1);
  Run(plan.OnAnswerStarted(1, kCallId, now_));
  CHECK(Run(plan.OnBroken(1, error_kind::kPeerUnreachable, now_)) ==
        names{"abort_delivery"});
  CHECK(plan.Finished());
}

// Guards against the answer of another call.
TEST_CASE_METHOD(plan_fixture, "Plan_CrossedAnswer_IsNotDelivered") {
  auto lookup = Plan(class_kind::kLookup);
  Run(lookup.Start(now_));
  lookup.OnSent(1);
  CHECK(Run(lookup.OnAnswerStarted(1, "call-2", now_)) == sent_);
  auto order = Plan(class_kind::kTransaction);
  Run(order.Start(now_));
  order.OnSent(1);
  CHECK(Run(order.OnAnswerStarted(1, "call-2", now_)) == answered_error_);
  CHECK(failure_->kind == error_kind::kOutcomeUnknown);
}

// Guards against a transaction that is sent twice, and against retries on the
// same server.
TEST_CASE_METHOD(plan_fixture, "Plan_NotRun_IsRetriedElsewhereTwice") {
  auto plan = Plan(class_kind::kTransaction);
  Run(plan.Start(now_));
  plan.OnSent(1);
  CHECK(Run(plan.OnRefused(1, draining_, now_)) == sent_);
  CHECK(plan.AttemptHeader(2) == 1);
  CHECK(Run(plan.OnBroken(2, error_kind::kPeerUnreachable, now_)) == sent_);
  CHECK(members_[0] != members_[1]);
  CHECK(members_[2] != members_[1]);
  CHECK(Run(plan.OnRefused(3, draining_, now_)) == answered_error_);
  CHECK(failure_->ran == run_state::kNotRun);
}

TEST_CASE_METHOD(plan_fixture, "Plan_TransactionBrokenAfterSent_Unknown") {
  auto plan = Plan(class_kind::kTransaction);
  Run(plan.Start(now_));
  plan.OnSent(1);
  CHECK(Run(plan.OnBroken(1, error_kind::kPeerUnreachable, now_)) ==
        answered_error_);
  CHECK(failure_->kind == error_kind::kOutcomeUnknown);
  CHECK(failure_->ran == run_state::kUnknown);
}

// Guards against "not run" from the last attempt while an earlier one may have
// run.
TEST_CASE_METHOD(plan_fixture, "Plan_UnknownThenNotRun_IsReportedUnknown") {
  auto plan = Plan(class_kind::kLookup);
  Run(plan.Start(now_));
  plan.OnSent(1);
  CHECK(Run(plan.OnRefused(1, crashed_, now_)) == sent_);
  Run(plan.OnRefused(2, draining_, now_));
  Run(plan.OnRefused(3, draining_, now_));
  CHECK(failure_->kind == error_kind::kDraining);
  CHECK(failure_->ran == run_state::kUnknown);
}

// Guards against our own retries of a request that crashes every server.
TEST_CASE_METHOD(plan_fixture, "Plan_TwoCrashes_IsNotSentAgain") {
  auto plan = Plan(class_kind::kLookup);
  Run(plan.Start(now_));
  plan.OnSent(1);
  CHECK(Run(plan.OnRefused(1, crashed_, now_)) == sent_);
  plan.OnSent(2);
  CHECK(Run(plan.OnRefused(2, crashed_, now_)) == answered_error_);
}

// Guards against a request that is sent before its key is granted, and against
// an outcome that the home never learns.
TEST_CASE_METHOD(plan_fixture, "Plan_Key_IsGrantedThenCompleted") {
  auto plan = Plan(class_kind::kTransaction, true);
  CHECK(Run(plan.Start(now_)) == names{"ask_grant"});
  CHECK(Run(plan.OnGrant({.verdict = grant_verdict::kGranted}, now_)) == sent_);
  plan.OnSent(1);
  Run(plan.OnAnswerStarted(1, kCallId, now_));
  CHECK(Run(plan.OnAnswerEnded(1, now_)) ==
        names{"complete_key", "end_delivery"});
}

TEST_CASE_METHOD(plan_fixture, "Plan_KeyNotRun_IsReleasedBeforeTheAnswer") {
  auto plan = Plan(class_kind::kTransaction, true);
  Run(plan.Start(now_));
  Run(plan.OnGrant({.verdict = grant_verdict::kGranted}, now_));
  const error poison(error_kind::kPoisonSuspected, "refused");
  CHECK(Run(plan.OnRefused(1, poison, now_)) ==
        names{"release_key", "answer_error"});
}

TEST_CASE_METHOD(plan_fixture, "Plan_KeyLostAnswer_StaysGranted") {
  auto plan = Plan(class_kind::kTransaction, true);
  Run(plan.Start(now_));
  Run(plan.OnGrant({.verdict = grant_verdict::kGranted}, now_));
  plan.OnSent(1);
  CHECK(Run(plan.OnRefused(1, crashed_, now_)) == answered_error_);
}

// Guards against a grant whose answer was lost and that nobody gives back, and
// against "not run" for a resend whose first call ran.
TEST_CASE_METHOD(plan_fixture, "Plan_HomeSilent_ReleasesAndSaysUnknown") {
  auto plan = Plan(class_kind::kTransaction, true);
  Run(plan.Start(now_));
  now_ = *plan.NextTimer();
  CHECK(Run(plan.OnTimer(now_)) == names{"release_key", "answer_error"});
  CHECK(failure_->kind == error_kind::kLedgerUnavailable);
  CHECK(failure_->ran == run_state::kUnknown);
  CHECK(Run(plan.OnGrant({.verdict = grant_verdict::kGranted}, now_)) == none_);
}

TEST_CASE_METHOD(plan_fixture, "Plan_KeyAlreadyUsed_IsNotSent") {
  const auto outcome = [&](const grant_answer& answer) {
    auto plan = Plan(class_kind::kTransaction, true);
    Run(plan.Start(now_));
    return Run(plan.OnGrant(answer, now_));
  };
  CHECK(outcome({grant_verdict::kFirstAnswer, kept_answer{}}) ==
        names{"answer_kept"});
  CHECK(outcome({grant_verdict::kOutcomeUnknown, {}}) == answered_error_);
  CHECK(failure_->ran == run_state::kUnknown);
  CHECK(outcome({grant_verdict::kRanNotKept, {}}) == answered_error_);
  CHECK(failure_->ran == run_state::kRan);
}

// Guards against an outcome that is lost because the caller did not wait.
TEST_CASE_METHOD(plan_fixture, "Plan_LateTransaction_RunsOnAndIsKept") {
  const bool gone = GENERATE(false, true);
  auto plan = Plan(class_kind::kTransaction, true);
  Run(plan.Start(now_));
  Run(plan.OnGrant({.verdict = grant_verdict::kGranted}, now_));
  plan.OnSent(1);
  if (gone) {
    CHECK(Run(plan.OnCallerGone(now_)) == none_);
  } else {
    now_ = *plan.NextTimer();
    CHECK(Run(plan.OnTimer(now_)) == answered_error_);
    CHECK(failure_->kind == error_kind::kOutcomeUnknown);
  }
  CHECK_FALSE(plan.Finished());
  SECTION("its answer is kept") {
    CHECK(Run(plan.OnAnswerStarted(1, kCallId, now_)) == none_);
    CHECK(Run(plan.OnAnswerEnded(1, now_)) == names{"complete_key"});
  }
  SECTION("a late refusal frees the key") {
    CHECK(Run(plan.OnRefused(1, draining_, now_)) == names{"release_key"});
  }
  SECTION("a part of an answer shows that it ran") {
    Run(plan.OnAnswerStarted(1, kCallId, now_));
    CHECK(Run(plan.OnCutShort(1, now_)) == names{"complete_key_not_kept"});
  }
  CHECK(plan.Finished());
}

// Guards against backend servers that work for callers that have gone.
TEST_CASE_METHOD(plan_fixture, "Plan_CallerGone_CancelsIdempotentWork") {
  auto plan = Plan(class_kind::kDownload);
  Run(plan.Start(now_));
  plan.OnSent(1);
  CHECK(Run(plan.OnCallerGone(now_)) == names{"cancel_attempt"});
  CHECK(plan.Finished());
}

TEST_CASE_METHOD(plan_fixture, "Plan_Deadline_SaysWhatItKnows") {
  const bool sent = GENERATE(false, true);
  auto plan = Plan(class_kind::kLookup);
  Run(plan.Start(now_));
  if (sent) plan.OnSent(1);
  now_ = *plan.NextTimer();
  CHECK(Run(plan.OnTimer(now_)) == names{"cancel_attempt", "answer_error"});
  CHECK(failure_->ran == (sent ? run_state::kUnknown : run_state::kNotRun));
}

// Guards against two answers of hedged attempts, and against an error while the
// other attempt may still succeed.
TEST_CASE_METHOD(plan_fixture, "Plan_Hedge_FirstAnswerWins") {
  LearnLatency();
  auto plan = Plan(class_kind::kLookup);
  Run(plan.Start(now_));
  plan.OnSent(1);
  now_ = *plan.NextTimer();
  CHECK(Run(plan.OnTimer(now_)) == sent_);
  plan.OnSent(2);
  SECTION("the second answers first") {
    CHECK(Run(plan.OnAnswerStarted(2, kCallId, now_)) ==
          names{"cancel_attempt", "deliver"});
    CHECK(Run(plan.OnAnswerStarted(1, kCallId, now_)) == none_);
  }
  SECTION("the second fails") {
    CHECK(Run(plan.OnRefused(2, crashed_, now_)) == none_);
    CHECK(Run(plan.OnAnswerStarted(1, kCallId, now_)) == names{"deliver"});
  }
}

TEST_CASE_METHOD(plan_fixture, "Plan_Transaction_IsNeverHedged") {
  LearnLatency();
  auto plan = Plan(class_kind::kTransaction);
  Run(plan.Start(now_));
  CHECK(*plan.NextTimer() > now_ + seconds(1));
}

// Guards against retries of other daemons that earn a budget for retries here.
TEST_CASE_METHOD(plan_fixture, "Plan_InboundAttempt_EarnsNoBudget") {
  retry_policy fresh;
  for (int i = 0; i < 1'000; ++i) {
    call_plan plan({.service = "orders",
                    .work_class = "work",
                    .call_id = "call",
                    .inbound_attempt = 1,
                    .deadline = now_ + seconds(1)},
                   {}, selector_, fresh);
    Run(plan.Start(now_));
  }
  const retry_question question{.error = error_kind::kDraining,
                                .ran = run_state::kNotRun,
                                .deadline = now_ + seconds(1)};
  CHECK(fresh.AllowRetry(question, now_));  // The minimum.
  CHECK_FALSE(fresh.AllowRetry(question, now_));
}

// Guards against "not run" after the first byte, and against "unknown" after a
// definite refusal.
TEST_CASE("OwnerCall_Outcome_FollowsFirstByte") {
  owner_call call;
  CHECK(call.Outcome() == run_state::kNotRun);
  call.OnFirstByte();
  CHECK(call.Failure(error_kind::kNoBackendServer, "").ran ==
        run_state::kUnknown);
  auto refused = call;
  refused.OnRefusedByServer();
  CHECK(refused.Outcome() == run_state::kNotRun);
  call.OnAnswerStarted();
  CHECK(call.Outcome() == run_state::kRan);
}

}  // namespace pomelohall
