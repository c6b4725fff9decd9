#include "rollout/rollout_registry.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace pomelohall {
namespace {

using std::chrono::seconds;

class rollout_registry_fixture {
 protected:
  static rollout_record Record(rollout_state state,
                               const std::string& version = "v2",
                               std::uint64_t revision = 5,
                               duration elapsed = duration(0)) {
    return {.order = {.service = "s",
                      .target_version = version,
                      .created = 3,
                      .time_limit = seconds(16)},
            .revision = revision,
            .state = state,
            .elapsed = elapsed};
  }

  void Merge(rollout_state state, const std::string& version = "v2",
             std::uint64_t revision = 5) {
    registry_.Merge(Record(state, version, revision), now_);
  }

  bool Uses(const std::string& version) {
    return registry_.ChooseAgain("s", now_).Allows(version);
  }

  rollout_registry registry_{0.1};
  instant now_ = instant(seconds(1000));
};

// Guards against servers of a release that get no requests although nobody has
// ordered a roll-out.
TEST_CASE_METHOD(rollout_registry_fixture,
                 "RolloutRegistry_NoOrder_UsesAllVersions", "[rollout]") {
  CHECK(Uses("v1"));
  CHECK(Uses("v2"));
  CHECK(registry_.MayRun("s", "v9", now_));
}

// Guards against traffic at the wrong version in a state of the roll-out.
TEST_CASE_METHOD(rollout_registry_fixture,
                 "RolloutRegistry_EachState_UsesItsVersions", "[rollout]") {
  Merge(rollout_state::kCanary);
  CHECK(Uses("v1"));
  CHECK_FALSE(Uses("v2"));
  CHECK(registry_.MayRun("s", "v1", now_));
  CHECK(registry_.MayRun("s", "v2", now_));
  Merge(rollout_state::kSwitching);
  CHECK_FALSE(Uses("v1"));
  CHECK(Uses("v2"));
  CHECK_FALSE(registry_.MayRun("s", "v1", now_));
  Merge(rollout_state::kFailed);
  CHECK(Uses("v1"));
  CHECK_FALSE(Uses("v2"));
  CHECK_FALSE(registry_.MayRun("s", "v2", now_));
  CHECK(registry_.Choose("s", now_).rule == version_rule::kExceptTarget);
  Merge(rollout_state::kCompleted);
  CHECK_FALSE(Uses("v1"));
  CHECK(Uses("v2"));
}

// Guards against a release after a roll-out whose servers are never used.
TEST_CASE_METHOD(rollout_registry_fixture,
                 "RolloutRegistry_CompletedLongAgo_UsesAllVersions",
                 "[rollout]") {
  Merge(rollout_state::kCompleted);
  now_ += seconds(30);
  CHECK(Uses("v3"));
  CHECK(registry_.RecentRecords(now_).empty());
}

// Guards against a bad version that is used again once time has passed.
TEST_CASE_METHOD(rollout_registry_fixture,
                 "RolloutRegistry_RolledBackLongAgo_LeavesTheVersionOut",
                 "[rollout]") {
  Merge(rollout_state::kRolledBack);
  now_ += seconds(300);
  CHECK_FALSE(Uses("v2"));
  CHECK(Uses("v1"));
}

// Guards against an order that is replaced midway and still gets traffic.
TEST_CASE_METHOD(rollout_registry_fixture,
                 "RolloutRegistry_ReplacedOrder_FollowsTheLaterOne",
                 "[rollout]") {
  Merge(rollout_state::kFailed);
  CHECK_FALSE(registry_.Merge(Record(rollout_state::kCanary, "v0", 4), now_));
  Merge(rollout_state::kCanary, "v3", 9);
  CHECK(registry_.Find("s", now_)->order.target_version == "v3");
  CHECK(registry_.Find("s", now_)->state == rollout_state::kCanary);
}

// Guards against a deleted order whose version gets requests, and against a
// late listing that withdraws a newer order.
TEST_CASE_METHOD(rollout_registry_fixture,
                 "RolloutRegistry_DeletedOrder_IsWithdrawn", "[rollout]") {
  Merge(rollout_state::kSwitching);
  CHECK_FALSE(registry_.OnAbsent("s", 4, now_));
  CHECK(registry_.OnAbsent("s", 6, now_));
  CHECK(Uses("v1"));
  CHECK_FALSE(Uses("v2"));
  CHECK_FALSE(registry_.IsActive("s"));
}

// Guards against an outcome that changes after operators have read it.
TEST_CASE_METHOD(rollout_registry_fixture,
                 "RolloutRegistry_StoredOutcome_DoesNotChange", "[rollout]") {
  Merge(rollout_state::kCompleted);
  CHECK_FALSE(registry_.Advance("s", rollout_state::kFailed, now_));
  CHECK_FALSE(registry_.OnAbsent("s", 99, now_));
  CHECK(registry_.Find("s", now_)->state == rollout_state::kCompleted);
}

// Guards against a switch before its time, and long after it.
TEST_CASE_METHOD(rollout_registry_fixture,
                 "RolloutRegistry_Switch_IsDueShortlyBeforeTheTimeLimit",
                 "[rollout]") {
  Merge(rollout_state::kCanary);
  now_ += seconds(14);
  CHECK_FALSE(registry_.IsSwitchDue("s", now_));
  now_ += std::chrono::milliseconds(1000);
  CHECK(registry_.IsSwitchDue("s", now_));
  now_ += seconds(2);
  CHECK_FALSE(registry_.IsSwitchDue("s", now_));
}

// Guards against a daemon that hears late of an order and takes more time.
TEST_CASE_METHOD(rollout_registry_fixture,
                 "RolloutRegistry_LateNews_CountsFromTheOrder", "[rollout]") {
  Merge(rollout_state::kCanary);
  registry_.Merge(Record(rollout_state::kCanary, "v2", 5, seconds(15)), now_);
  CHECK(registry_.IsSwitchDue("s", now_));
  CHECK(registry_.Find("s", now_)->elapsed == seconds(15));
}

// Guards against daemons that hear the same decisions in another order, or
// twice, and end in different states.
TEST_CASE("RolloutRegistry_AnyOrderOfNews_EndsInOneState", "[rollout]") {
  CHECK(rc::check([] {
    const auto now = instant(seconds(1000));
    std::vector<rollout_record> news;
    const auto count = *rc::gen::inRange(1, 12);
    news.reserve(static_cast<std::size_t>(count) + 1);
    for (int i = 0; i < count; ++i) {
      news.push_back(
          {.order = {.service = "s",
                     .target_version = *rc::gen::element<std::string>("v2"),
                     .created = 3,
                     .time_limit = seconds(16)},
           .revision = *rc::gen::inRange<std::uint64_t>(1, 9),
           .state = static_cast<rollout_state>(*rc::gen::inRange(0, 4)),
           .elapsed = seconds(*rc::gen::inRange(0, 16))});
    }
    const auto outcome = [&](const std::vector<rollout_record>& heard) {
      rollout_registry registry(0.1);
      for (const auto& record : heard) registry.Merge(record, now);
      return *registry.Find("s", now);
    };
    const auto first = outcome(news);
    std::reverse(news.begin(), news.end());
    news.push_back(news.front());
    const auto second = outcome(news);
    RC_ASSERT(first.state == second.state);
    RC_ASSERT(first.elapsed == second.elapsed);
    RC_ASSERT(first.revision == second.revision);
  }));
}

}  // namespace
}  // namespace pomelohall
