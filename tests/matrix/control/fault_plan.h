#ifndef POMELOHALL_TESTS_MATRIX_CONTROL_FAULT_PLAN_H_
#define POMELOHALL_TESTS_MATRIX_CONTROL_FAULT_PLAN_H_

#include <string>

#include "base/random.h"
#include "matrix/control/simulated_cluster.h"
#include "matrix/matrix.h"

namespace pomelohall::matrix {

/// Starts a fault in a cluster at its current time.
/// @param target_member Target of the step. Process faults hit it or another
///     member, chosen at random.
void Inject(fault which, simulated_cluster& cluster,
            const std::string& target_member, random_source& random);

/// Returns the faults that apply to the steps of the control plane.
const std::vector<fault>& ControlFaults();

}  // namespace pomelohall::matrix

#endif  // POMELOHALL_TESTS_MATRIX_CONTROL_FAULT_PLAN_H_
