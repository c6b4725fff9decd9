#ifndef POMELOHALL_TESTS_MATRIX_CONTROL_SCENARIO_H_
#define POMELOHALL_TESTS_MATRIX_CONTROL_SCENARIO_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "matrix/control/control_network.h"
#include "matrix/matrix.h"

namespace pomelohall::matrix {

/// Bound of P9: in force on every live daemon, after the last fault ended.
inline constexpr duration kInForceBound = std::chrono::seconds(19);
/// Bound of P7.
inline constexpr duration kDrainBound = std::chrono::seconds(3);

/// Steps of a version, a member or a backend server.
const std::vector<std::string>& ControlSteps();

/// Runs one step under its faults and returns the violations, each with seed
/// and step.
std::vector<violation> RunScenario(const std::string& step, fault_pair faults,
                                   std::uint64_t seed, std::string_view defect);

/// Starts a network with version 1 in force. Reports in_force if that fails.
void WarmUp(control_network& network);

/// Runs until the bound of in_force is over and reports if it is broken.
void CheckInForce(control_network& network);

}  // namespace pomelohall::matrix

#endif  // POMELOHALL_TESTS_MATRIX_CONTROL_SCENARIO_H_
