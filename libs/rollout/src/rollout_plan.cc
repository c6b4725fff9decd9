#include "rollout/rollout_plan.h"

#include <algorithm>
#include <chrono>

namespace pomelohall {
namespace {

// Part of the bound that is used. Daemons count a request at slightly different
// times than the backend servers.
constexpr double kUsedShare = 0.95;
// Time of the switch as a fraction of the time limit, and its limits: requests
// at the old servers have to end in it, most of which take some hundred
// milliseconds.
constexpr double kSwitchFraction = 0.07;
constexpr duration kMinSwitchTime = std::chrono::milliseconds(600);
constexpr duration kMaxSwitchTime = std::chrono::milliseconds(1500);
// The switch takes at most this part of the bound; the canary needs the rest.
constexpr double kMaxSwitchPart = 0.8;
constexpr double kMaxCanaryShare = 0.05;

}  // namespace

rollout_plan PlanRollout(duration time_limit, double max_share) {
  const double limit = ToMillis(time_limit);
  const double exposure = kUsedShare * max_share * limit;
  const double switch_time =
      std::clamp(kSwitchFraction * limit, ToMillis(kMinSwitchTime),
                 ToMillis(kMaxSwitchTime));
  if (limit <= 0 || switch_time > kMaxSwitchPart * exposure) {
    return {.canary_share = std::min(kMaxCanaryShare, kUsedShare * max_share),
            .switch_after = duration::max()};
  }
  const auto before = limit - switch_time;
  return {.canary_share =
              std::min(kMaxCanaryShare, (exposure - switch_time) / before),
          .switch_after = std::chrono::duration_cast<duration>(
              std::chrono::duration<double, std::milli>(before))};
}

}  // namespace pomelohall
