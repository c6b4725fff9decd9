#ifndef POMELOHALL_OPERATORS_VALIDATE_COMMAND_H_
#define POMELOHALL_OPERATORS_VALIDATE_COMMAND_H_

#include <string_view>

#include "operators/command_output.h"

namespace pomelohall {

/// Checks a document (JSON text) without the platform, with the size of its
/// sections. An invalid one gives `kInvalidConfiguration` with every fault.
command_output RunValidate(std::string_view document, output_format format);

}  // namespace pomelohall

#endif  // POMELOHALL_OPERATORS_VALIDATE_COMMAND_H_
