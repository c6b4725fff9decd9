#include "operators/validate_command.h"

#include <nlohmann/json.hpp>
#include <string>

#include "model/configuration.h"
#include "model/image.h"

namespace pomelohall {

command_output RunValidate(std::string_view document, output_format format) {
  const auto parsed = ParseConfiguration(document);
  if (!parsed) return Failed(parsed.error());
  const auto image = BuildImage(*parsed, nullptr, "validate");
  if (!image) return Failed(image.error());
  if (format == output_format::kJson) {
    return Succeeded(nlohmann::json{{"services", parsed->services.size()},
                                    {"classes", parsed->classes.size()},
                                    {"routes", parsed->routes.size()}}
                         .dump() +
                     "\n");
  }
  return Succeeded("valid: " + std::to_string(parsed->services.size()) +
                   " services, " + std::to_string(parsed->classes.size()) +
                   " classes, " + std::to_string(parsed->routes.size()) +
                   " routes\n");
}

}  // namespace pomelohall
