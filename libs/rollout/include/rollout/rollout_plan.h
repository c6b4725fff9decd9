#ifndef POMELOHALL_ROLLOUT_ROLLOUT_PLAN_H_
#define POMELOHALL_ROLLOUT_ROLLOUT_PLAN_H_

#include "base/time.h"

namespace pomelohall {

/// Schedule of a roll-out within its time limit and the bound on the share of
/// requests that a bad version may get.
struct rollout_plan {
  /// Share of the requests that goes to the target version before the switch.
  double canary_share = 0;
  /// Time after the order when all traffic switches. Above the time limit if
  /// there is no time for a switch.
  duration switch_after{0};
};

/// Plans a roll-out so that a version that turns bad at any moment, even after
/// the switch, stays within the bound at the time limit: its share before the
/// switch and all requests after it make up less than `max_share` of the
/// requests of the whole time.
///
/// Without that, a version that fails only under full load, or only after some
/// time, would exceed the bound although each decision about it was right.
rollout_plan PlanRollout(duration time_limit, double max_share);

}  // namespace pomelohall

#endif  // POMELOHALL_ROLLOUT_ROLLOUT_PLAN_H_
