#include <catch2/catch.hpp>
#include <string>

#include "../../matrix.h"

namespace pomelohall::matrix {
namespace {

constexpr std::uint64_t kSeed = 1;

/// Returns whether a violation of the defect's guarantee is reported.
bool IsDetected(const suite& all, const defect& injected) {
  for (const auto& item : all.cells) {
    for (const auto& found : item.run(kSeed, injected.name)) {
      if (found.which == injected.violates) return true;
    }
  }
  return false;
}

}  // namespace

// Guards against calls that violate a guarantee under one or two faults.
TEST_CASE("CallSuite_NoDefect_EveryCellPasses") {
  const auto all = CallSuite();
  // 5 steps x (no fault, 14 single faults, 105 pairs including equal ones), and
  // 29 cells with a poison request.
  CHECK(all.cells.size() == 5 * (1 + 14 + 105) + 29);
  for (const auto& item : all.cells) {
    for (const auto& found : item.run(kSeed, "")) {
      UNSCOPED_INFO("step " << item.step << ", faults "
                            << static_cast<int>(item.faults.first) << " and "
                            << static_cast<int>(item.faults.second)
                            << ", guarantee " << static_cast<int>(found.which)
                            << ": " << found.detail);
      CHECK(found.detail.empty());
    }
  }
}

// Guards against checks that detect nothing.
TEST_CASE("CallSuite_EachInjectedDefect_IsDetected") {
  const auto all = CallSuite();
  for (const auto& injected : all.defects) {
    INFO("defect " << injected.name);
    CHECK(IsDetected(all, injected));
  }
}

}  // namespace pomelohall::matrix
