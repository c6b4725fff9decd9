#ifndef POMELOHALL_TESTS_MATRIX_CONTROL_SCENARIO_H_
#define POMELOHALL_TESTS_MATRIX_CONTROL_SCENARIO_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "matrix/control/simulated_cluster.h"
#include "matrix/matrix.h"

namespace pomelohall::matrix {

/// Bound of the guarantee in_force: time after the end of the last fault until
/// the platform's version is in force on every live daemon.
inline constexpr duration kInForceBound = std::chrono::seconds(19);
/// Bound of the guarantee drain_quick: time until no calls are routed to a
/// draining server.
inline constexpr duration kDrainBound = std::chrono::seconds(3);

/// Returns the steps in the life cycle of a version, member or backend server.
const std::vector<std::string>& ControlSteps();

/// Runs one step under its faults and returns the violations. Each states the
/// seed and the step.
std::vector<violation> RunScenario(const std::string& step, fault_pair faults,
                                   std::uint64_t seed, std::string_view defect);

/// Starts a cluster and runs until version 1 is in force. Reports a violation
/// of in_force if it is not in time.
void WarmUp(simulated_cluster& cluster);

/// Runs until the platform's version is in force on all daemons, at most for
/// kInForceBound after the last fault, and reports a violation if it is not.
void CheckInForce(simulated_cluster& cluster);

}  // namespace pomelohall::matrix

#endif  // POMELOHALL_TESTS_MATRIX_CONTROL_SCENARIO_H_
