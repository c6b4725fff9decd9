#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <string>

#include "base/error.h"

namespace pomelohall {

// Guards against an error kind whose row in the guide is missing or differs
// from the error table.
TEST_CASE("OperatorsGuide_EveryErrorKind_HasItsRow") {
  std::ifstream file(POMELOHALL_SOURCE_DIR "/docs/OPERATORS.md");
  const std::string guide(std::istreambuf_iterator<char>(file), {});
  for (const auto& answer : ErrorTable()) {
    const std::string row = "| `" + std::string(answer.name) + "` | " +
                            std::to_string(answer.http_status) + " | " +
                            std::string(RunStateName(answer.ran)) + " | " +
                            std::string(RetryAdviceName(answer.advice)) +
                            " | " + std::to_string(answer.exit_code) + " | ";
    CAPTURE(row);
    CHECK(guide.find(row) != std::string::npos);
  }
}

}  // namespace pomelohall
