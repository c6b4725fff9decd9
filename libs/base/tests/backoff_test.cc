#include "base/backoff.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace pomelohall {

// Guards against pauses that grow past the cap, overflow after many failures
// or are the same for every process.
TEST_CASE("JitteredBackoff_ManyFailures_StaysBetweenHalfAndWholeCap") {
  random_source random(1);
  const duration base = std::chrono::milliseconds(200);
  const duration cap = std::chrono::seconds(5);
  for (std::size_t failures = 0; failures < 100; ++failures) {
    const duration pause = JitteredBackoff(base, cap, failures, random);
    CHECK(pause >= base / 2);
    CHECK(pause <= cap);
    if (failures >= 5) CHECK(pause >= cap / 2);
  }
  CHECK(JitteredBackoff(base, cap, 9, random) !=
        JitteredBackoff(base, cap, 9, random));
}

}  // namespace pomelohall
