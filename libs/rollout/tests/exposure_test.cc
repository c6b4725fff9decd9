#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "rollout/rollout_plan.h"
#include "rollout/rollout_registry.h"

namespace pomelohall {
namespace {

constexpr double kMaxShare = 0.1;

// Guards against a schedule that exceeds the bound if a version turns bad right
// after the switch.
TEST_CASE("RolloutPlan_VersionThatTurnsBadLate_StaysWithinTheBound",
          "[rollout]") {
  for (int seconds = 1; seconds <= 120; ++seconds) {
    const duration limit = std::chrono::seconds(seconds);
    const auto plan = PlanRollout(limit, kMaxShare);
    INFO("time limit " << seconds << " s");
    CHECK(plan.canary_share >= 0);
    if (plan.switch_after > limit) continue;
    const double before = ToMillis(plan.switch_after);
    const double exposed =
        plan.canary_share * before + (ToMillis(limit) - before);
    CHECK(exposed <= kMaxShare * ToMillis(limit));
    CHECK(plan.canary_share > 0.005);
  }
  CHECK(PlanRollout(std::chrono::seconds(12), kMaxShare).switch_after <
        std::chrono::seconds(12));
  CHECK(PlanRollout(std::chrono::seconds(2), kMaxShare).switch_after ==
        duration::max());
}

// Guards against daemons that together send more than the share to a bad
// version, whatever requests each of them gets, restarts included.
TEST_CASE("Exposure_ManyDaemons_KeepTheShareTogether", "[rollout]") {
  CHECK(rc::check([] {
    const auto daemons = *rc::gen::inRange<std::size_t>(2, 61);
    const auto now = instant(std::chrono::seconds(10));
    const rollout_record record{
        .order = {.service = "s",
                  .target_version = "v2",
                  .created = 1,
                  .time_limit = std::chrono::seconds(16)},
        .revision = 1};
    const auto start = [&] {
      rollout_registry registry(kMaxShare);
      registry.Merge(record, now);
      return registry;
    };
    std::vector<rollout_registry> fleet;
    for (std::size_t i = 0; i < daemons; ++i) fleet.push_back(start());
    std::size_t target = 0;
    std::size_t all = 0;
    const auto requests = *rc::gen::inRange<std::size_t>(100, 4'000);
    const auto seed = *rc::gen::inRange<std::size_t>(1, 1'000'000);
    std::size_t state = seed;
    for (std::size_t i = 0; i < requests; ++i) {
      state = state * 6'364'136'223'846'793'005U + 1'442'695'040'888'963'407U;
      const auto index = (state >> 33U) % daemons;
      if ((state >> 20U) % 500 == 0) fleet[index] = start();
      auto& daemon = fleet[index];
      ++all;
      if (daemon.Choose("s", now).rule == version_rule::kOnlyTarget) {
        ++target;
      } else {
        daemon.OnReachedOther("s");
      }
    }
    RC_ASSERT(static_cast<double>(target) <=
              kMaxShare * static_cast<double>(all));
  }));
}

// Guards against a daemon that sends a burst to new servers because there were
// none for some time.
TEST_CASE("Exposure_ServersThatWereAway_GetNoBurst", "[rollout]") {
  exposure_limiter limiter;
  for (int i = 0; i < 10'000; ++i) limiter.OnOtherVersion(0.03);
  int taken = 0;
  while (limiter.TryTake()) ++taken;
  CHECK(taken == 2);
}

}  // namespace
}  // namespace pomelohall
