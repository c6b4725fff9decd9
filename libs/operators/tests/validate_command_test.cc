#include "operators/validate_command.h"

#include <catch2/catch.hpp>

#include "fake_environment.h"

namespace pomelohall {

TEST_CASE("Validate_ValidDocument_ShowsCounts") {
  const auto output = RunValidate(DocumentText(3), output_format::kTable);
  CHECK(output.text == "valid: 3 services, 3 classes, 3 routes\n");
}

// Guards against reporting only the first fault.
TEST_CASE("Validate_TwoFaults_ShowsBothWithTheirPaths") {
  const auto output = RunValidate(
      R"({"services":[{"name":"A"}],"classes":[],
          "routes":[{"path_prefix":"/","class":"none"}]})",
      output_format::kTable);
  CHECK(ExitCode(output) == 3);
  CHECK(output.failure->message.find("/services/0/name") != std::string::npos);
  CHECK(output.failure->message.find("/routes/0/class") != std::string::npos);
}

// Guards against a document that passes validation but that apply refuses.
TEST_CASE("Validate_SectionAboveTheLimit_IsInvalid") {
  auto document = *ParseConfiguration(DocumentText(1));
  for (int i = 0; i < 1100; ++i) {
    document.routes.push_back(
        {.path_prefix = "/" + std::to_string(i) + std::string(1000, 'x'),
         .method = "",
         .work_class = "s0-read"});
  }
  CHECK(ExitCode(RunValidate(FormatConfiguration(document),
                             output_format::kTable)) == 3);
}

}  // namespace pomelohall
