#include "rollout/drain_round.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace pomelohall {
namespace {

using std::chrono::milliseconds;

class drain_round_fixture {
 protected:
  void Advance() { now_ += milliseconds(100); }

  drain_round round_;
  instant now_ = instant(std::chrono::seconds(100));
};

// Guards against servers that stop while a daemon still has a request there.
TEST_CASE_METHOD(drain_round_fixture,
                 "DrainRound_MemberWithRequests_IsAskedUntilItHasNone",
                 "[rollout]") {
  round_.SetMembers({"a", "b"});
  CHECK(round_.Due(now_).size() == 2);
  CHECK(round_.Due(now_).empty());
  round_.OnAnswer("a", 0, now_);
  round_.OnAnswer("b", 3, now_);
  CHECK_FALSE(round_.IsDrained());
  CHECK(round_.Due(now_).empty());
  Advance();
  CHECK(round_.Due(now_) == std::vector<std::string>{"b"});
  round_.OnAnswer("b", 0, now_);
  CHECK(round_.IsDrained());
}

// Guards against a roll-out that never completes because a VM is gone.
TEST_CASE_METHOD(drain_round_fixture,
                 "DrainRound_MemberThatIsGone_IsLeftOutAfterThreeQuestions",
                 "[rollout]") {
  round_.SetMembers({"gone"});
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(round_.IsDrained());
    REQUIRE(round_.Due(now_).size() == 1);
    round_.OnNoAnswer("gone", now_);
    Advance();
  }
  CHECK(round_.IsDrained());
}

// Guards against a daemon that started meanwhile and is not asked.
TEST_CASE_METHOD(drain_round_fixture, "DrainRound_NewMember_IsAskedAsWell",
                 "[rollout]") {
  round_.SetMembers({"a"});
  round_.Due(now_);
  round_.OnAnswer("a", 0, now_);
  round_.SetMembers({"a", "late"});
  CHECK_FALSE(round_.IsDrained());
  CHECK(round_.Due(now_) == std::vector<std::string>{"late"});
}

}  // namespace
}  // namespace pomelohall
