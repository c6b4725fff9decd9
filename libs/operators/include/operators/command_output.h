#ifndef POMELOHALL_OPERATORS_COMMAND_OUTPUT_H_
#define POMELOHALL_OPERATORS_COMMAND_OUTPUT_H_

#include <optional>
#include <string>

#include "base/error.h"

namespace pomelohall {

/// How a command shows its result.
enum class output_format {
  kTable,  ///< For a person.
  kJson,   ///< One JSON value.
};

/// What a command shows. A command that failed part of the way has both.
struct command_output {
  std::string text;              ///< Ends with a line feed unless empty.
  std::optional<error> failure;  ///< Decides the exit code.
  /// Further fields of the error in JSON, as the text of an object, or "".
  std::string failure_details;
};

/// Returns an output that consists of an error.
inline command_output Failed(const error& failure) {
  return {.text = "", .failure = failure, .failure_details = ""};
}

/// Returns an output without an error.
inline command_output Shown(std::string text) {
  return {
      .text = std::move(text), .failure = std::nullopt, .failure_details = ""};
}

/// Returns the error of an output as text, or "" without one: for a person
/// "error: <kind>: <message>", or a JSON object `{error, message, ran, ...}`.
std::string ErrorText(const command_output& output, output_format format);

/// Returns 0, or the exit code of the error from the error table.
int ExitCode(const command_output& output);

}  // namespace pomelohall

#endif  // POMELOHALL_OPERATORS_COMMAND_OUTPUT_H_
