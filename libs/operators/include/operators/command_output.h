#ifndef POMELOHALL_OPERATORS_COMMAND_OUTPUT_H_
#define POMELOHALL_OPERATORS_COMMAND_OUTPUT_H_

#include <optional>
#include <string>

#include "base/error.h"

namespace pomelohall {

/// Output format of a command.
enum class output_format {
  kTable,  ///< Human-readable.
  kJson,   ///< One JSON value.
};

/// Result of a command. A command that fails after partial success has both a
/// text and a failure.
struct command_output {
  std::string text;              ///< Ends with a line feed unless empty.
  std::optional<error> failure;  ///< Determines the exit code.
  /// Additional fields of the JSON error, as a serialized object, or "".
  std::string failure_details;
};

/// Returns an output with an error and no text.
inline command_output Failed(const error& failure) {
  return {.text = "", .failure = failure, .failure_details = ""};
}

/// Returns an output without an error.
inline command_output Succeeded(std::string text) {
  return {
      .text = std::move(text), .failure = std::nullopt, .failure_details = ""};
}

/// Formats the error of an output as "error: <kind>: <message>" or as a JSON
/// object `{error, message, ran, ...}`. Returns "" without an error.
std::string ErrorText(const command_output& output, output_format format);

/// Returns the exit code of the error as listed in the error table, or 0
/// without an error.
int ExitCode(const command_output& output);

}  // namespace pomelohall

#endif  // POMELOHALL_OPERATORS_COMMAND_OUTPUT_H_
