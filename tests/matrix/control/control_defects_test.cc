#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

#include "matrix/matrix.h"

namespace pomelohall::matrix {
namespace {

constexpr std::uint64_t kSeed = 1;

// Only a restart can bring an older version back, so that the other cells
// would cost time without a chance to find it.
bool CanBreak(const cell& item, promise which) {
  return which != promise::kNoRegress ||
         ((item.step == "stage" || item.step == "put_into_force") &&
          (item.faults.first == fault::kRestart ||
           item.faults.second == fault::kRestart));
}

// Runs the cells until one reports the promise that the defect breaks.
bool TurnsRed(const suite& control, const defect& planted) {
  return std::any_of(
      control.cells.begin(), control.cells.end(), [&](const cell& item) {
        if (!CanBreak(item, planted.breaks)) return false;
        const auto violations = item.run(kSeed, planted.name);
        return std::any_of(violations.begin(), violations.end(),
                           [&](const violation& found) {
                             return found.which == planted.breaks;
                           });
      });
}

}  // namespace

// Guards against a matrix whose checks find nothing. That all cells pass
// without a defect is the test fault_matrix.
TEST_CASE("ControlSuite_EachPlantedDefect_TurnsItsRowRed") {
  const suite control = ControlSuite();
  REQUIRE_FALSE(control.defects.empty());
  for (const auto& planted : control.defects) {
    INFO(planted.name);
    CHECK(TurnsRed(control, planted));
  }
}

}  // namespace pomelohall::matrix
