#ifndef POMELOHALL_OPERATORS_APPLY_COMMAND_H_
#define POMELOHALL_OPERATORS_APPLY_COMMAND_H_

#include <string>

#include "base/time.h"
#include "operators/command_output.h"
#include "operators/environment.h"

namespace pomelohall {

struct apply_options {
  std::string document{};  ///< JSON text; not used with `resume`.
  std::string resume{};    ///< Change id to resolve instead of a new change.
  bool wait = false;       ///< Wait until the version is in force everywhere.
  /// Limits the platform calls. With `wait`, the same limit starts again after
  /// acceptance.
  duration timeout = std::chrono::seconds(30);
  output_format format = output_format::kTable;
};

/// Accepts a document as the next version, or resolves the outcome of an
/// earlier change, and returns the version and change id.
///
/// Errors: see acceptance_done. With `wait`, also `kDeadlineExceeded` with run
/// state `kRan` if the change was accepted but is not in force in every data
/// centre at the timeout; the message and the details name the lagging data
/// centres.
command_output RunApply(environment& env, const apply_options& options);

}  // namespace pomelohall

#endif  // POMELOHALL_OPERATORS_APPLY_COMMAND_H_
