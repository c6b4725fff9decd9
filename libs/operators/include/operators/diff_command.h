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

/// Shows what applying a document would change. The document is checked first,
/// so an invalid one gives `kInvalidConfiguration`.
command_output RunDiff(environment& where, const diff_options& options);

}  // namespace pomelohall

#endif  // POMELOHALL_OPERATORS_DIFF_COMMAND_H_
