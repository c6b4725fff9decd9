#include "websocket/reconnect_backoff.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <set>

namespace pomelohall {

using std::chrono::milliseconds;

// Guards against pauses that stay short while a peer is down, or grow without
// a limit.
TEST_CASE("ReconnectBackoff_RepeatedFailures_PausesDoubleUpToTheCap") {
  reconnect_backoff backoff(7);
  milliseconds span = reconnect_backoff::kBase;
  for (int failure = 0; failure < 12; ++failure) {
    const auto pause = backoff.NextPause();
    CHECK(pause >= span / 2);
    CHECK(pause <= span);
    span = std::min(span * 2, reconnect_backoff::kCap);
  }
  backoff.Reset();
  CHECK(backoff.NextPause() <= reconnect_backoff::kBase);
}

// Guards against daemons that lost a peer together and dial it together.
TEST_CASE("ReconnectBackoff_ManySeeds_PausesDiffer") {
  std::set<milliseconds> pauses;
  for (std::uint32_t seed = 1; seed <= 100; ++seed) {
    reconnect_backoff backoff(seed * 2'654'435'761U);
    pauses.insert(backoff.NextPause());
  }
  CHECK(pauses.size() > 30);
}

}  // namespace pomelohall
