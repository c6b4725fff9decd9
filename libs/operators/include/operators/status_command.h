#ifndef POMELOHALL_OPERATORS_STATUS_COMMAND_H_
#define POMELOHALL_OPERATORS_STATUS_COMMAND_H_

#include <vector>

#include "base/error.h"
#include "operators/command_output.h"
#include "operators/data_centre_status.h"
#include "operators/environment.h"

namespace pomelohall {

struct status_options {
  /// Adds a table of the backend servers per service to `kTable` output.
  bool services = false;
  output_format format = output_format::kTable;
};

/// Reads the status of every data centre, sorted by name. Fails with
/// `kPlatformUnavailable` or `kProtocolError`.
result<std::vector<data_centre_status>> ReadStatuses(environment& env);

/// Returns the accepted version and, for each data centre, the versions in
/// force and the number of lagging daemons.
command_output RunStatus(environment& env, const status_options& options);

}  // namespace pomelohall

#endif  // POMELOHALL_OPERATORS_STATUS_COMMAND_H_
