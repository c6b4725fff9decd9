#include "operators/command_output.h"

#include <nlohmann/json.hpp>

namespace pomelohall {

using nlohmann::json;

std::string ErrorText(const command_output& output, output_format format) {
  if (!output.failure) return "";
  const auto& answer = GetErrorInfo(output.failure->kind);
  if (format == output_format::kTable) {
    return "error: " + std::string(answer.name) + ": " +
           output.failure->message + "\n";
  }
  json shown = json::parse(output.failure_details, nullptr, false);
  if (!shown.is_object()) shown = json::object();
  shown["error"] = answer.name;
  shown["message"] = output.failure->message;
  shown["ran"] = RunStateName(output.failure->ran);
  return shown.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

int ExitCode(const command_output& output) {
  return output.failure ? GetErrorInfo(output.failure->kind).exit_code : 0;
}

}  // namespace pomelohall
