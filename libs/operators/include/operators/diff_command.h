#ifndef POMELOHALL_OPERATORS_DIFF_COMMAND_H_
#define POMELOHALL_OPERATORS_DIFF_COMMAND_H_

#include <string>

#include "operators/command_output.h"
#include "operators/environment.h"

namespace pomelohall {

struct diff_options {
  std::string document{};  ///< JSON text.
  output_format format = output_format::kTable;
};

/// Returns the changes that applying a document would make. Fails with
/// `kInvalidConfiguration` if the document is invalid.
command_output RunDiff(environment& env, const diff_options& options);

}  // namespace pomelohall

#endif  // POMELOHALL_OPERATORS_DIFF_COMMAND_H_
