#ifndef POMELOHALL_OPERATORS_VALIDATE_COMMAND_H_
#define POMELOHALL_OPERATORS_VALIDATE_COMMAND_H_

#include <string_view>

#include "operators/command_output.h"

namespace pomelohall {

/// Validates a JSON document and the size of its sections without accessing the
/// platform. Fails with `kInvalidConfiguration`, listing every fault.
command_output RunValidate(std::string_view document, output_format format);

}  // namespace pomelohall

#endif  // POMELOHALL_OPERATORS_VALIDATE_COMMAND_H_
