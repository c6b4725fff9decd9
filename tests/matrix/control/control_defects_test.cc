#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

#include "matrix/matrix.h"

namespace pomelohall::matrix {
namespace {

constexpr std::uint64_t kSeed = 1;

// Only a restart can return a daemon to an older version. Skips the cells that
// cannot detect such a defect, to save time.
bool CanDetectViolation(const cell& item, guarantee which) {
  return which != guarantee::kNoRegress ||
         ((item.step == "stage" || item.step == "put_into_force") &&
          (item.faults.first == fault::kRestart ||
           item.faults.second == fault::kRestart));
}

// Runs the cells until one reports a violation of the defect's guarantee.
bool IsDetected(const suite& control, const defect& injected) {
  return std::any_of(
      control.cells.begin(), control.cells.end(), [&](const cell& item) {
        if (!CanDetectViolation(item, injected.violates)) return false;
        const auto violations = item.run(kSeed, injected.name);
        return std::any_of(violations.begin(), violations.end(),
                           [&](const violation& found) {
                             return found.which == injected.violates;
                           });
      });
}

}  // namespace

// Guards against checks that detect nothing. The test fault_matrix verifies
// that all cells pass without a defect.
TEST_CASE("ControlSuite_EachInjectedDefect_IsDetected") {
  const suite control = ControlSuite();
  REQUIRE_FALSE(control.defects.empty());
  for (const auto& injected : control.defects) {
    INFO(injected.name);
    CHECK(IsDetected(control, injected));
  }
}

}  // namespace pomelohall::matrix
