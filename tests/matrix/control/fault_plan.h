#ifndef POMELOHALL_TESTS_MATRIX_CONTROL_FAULT_PLAN_H_
#define POMELOHALL_TESTS_MATRIX_CONTROL_FAULT_PLAN_H_

#include <string>

#include "base/random.h"
#include "matrix/control/control_network.h"
#include "matrix/matrix.h"

namespace pomelohall::matrix {

/// Starts a fault in a network now.
/// @param focus Member that the step is about; faults of processes hit it or
///     another member, as the random source decides.
void Inject(fault which, control_network& network, const std::string& focus,
            random_source& random);

/// Faults that apply to the steps of the control plane.
const std::vector<fault>& ControlFaults();

}  // namespace pomelohall::matrix

#endif  // POMELOHALL_TESTS_MATRIX_CONTROL_FAULT_PLAN_H_
