#include "base/backoff.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace pomelohall {

// Guards against delays that exceed the cap, overflow after many failures or
// are the same for every process.
TEST_CASE("JitteredBackoff_ManyFailures_StaysBetweenHalfAndWholeCap") {
  random_source random(1);
  const duration base = std::chrono::milliseconds(200);
  const duration cap = std::chrono::seconds(5);
  for (std::size_t failures = 0; failures < 100; ++failures) {
    const duration delay = JitteredBackoff(base, cap, failures, random);
    CHECK(delay >= base / 2);
    CHECK(delay <= cap);
    if (failures >= 5) CHECK(delay >= cap / 2);
  }
  CHECK(JitteredBackoff(base, cap, 9, random) !=
        JitteredBackoff(base, cap, 9, random));
}

}  // namespace pomelohall
