#include <catch2/catch.hpp>
#include <string>

#include "../../matrix.h"

namespace pomelohall::matrix {
namespace {

constexpr std::uint64_t kSeed = 1;

/// Whether a planted defect shows as a violation of the promise it breaks.
bool TurnsRed(const suite& all, const defect& planted) {
  for (const auto& item : all.cells) {
    for (const auto& found : item.run(kSeed, planted.name)) {
      if (found.which == planted.breaks) return true;
    }
  }
  return false;
}

}  // namespace

// Guards against a fault, or two, that break a promise of a call.
TEST_CASE("CallSuite_NoDefect_EveryCellPasses") {
  const auto all = CallSuite();
  // 5 steps x (no fault, 14 faults alone, 105 pairs and twice), 29 for poison.
  CHECK(all.cells.size() == 5 * (1 + 14 + 105) + 29);
  for (const auto& item : all.cells) {
    for (const auto& found : item.run(kSeed, "")) {
      UNSCOPED_INFO("step " << item.step << ", faults "
                            << static_cast<int>(item.faults.first) << " and "
                            << static_cast<int>(item.faults.second)
                            << ", promise " << static_cast<int>(found.which)
                            << ": " << found.detail);
      CHECK(found.detail.empty());
    }
  }
}

// Guards against checks that see nothing.
TEST_CASE("CallSuite_PlantedDefect_TurnsItsRowRed") {
  const auto all = CallSuite();
  for (const auto& planted : all.defects) {
    INFO("defect " << planted.name);
    CHECK(TurnsRed(all, planted));
  }
}

}  // namespace pomelohall::matrix
