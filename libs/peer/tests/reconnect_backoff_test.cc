#include "websocket/reconnect_backoff.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <set>

namespace pomelohall {

using std::chrono::milliseconds;

// Guards against delays that stay short while a peer is down, or grow without
// limit.
TEST_CASE("ReconnectBackoff_RepeatedFailures_PausesDoubleUpToTheCap") {
  reconnect_backoff backoff(7);
  milliseconds max_delay = reconnect_backoff::kBase;
  for (int failure = 0; failure < 12; ++failure) {
    const auto delay = backoff.NextDelay();
    CHECK(delay >= max_delay / 2);
    CHECK(delay <= max_delay);
    max_delay = std::min(max_delay * 2, reconnect_backoff::kCap);
  }
  backoff.Reset();
  CHECK(backoff.NextDelay() <= reconnect_backoff::kBase);
}

// Guards against daemons that lose a peer at the same time and all reconnect at
// the same time.
TEST_CASE("ReconnectBackoff_ManySeeds_PausesDiffer") {
  std::set<milliseconds> delays;
  for (std::uint32_t seed = 1; seed <= 100; ++seed) {
    reconnect_backoff backoff(seed * 2'654'435'761U);
    delays.insert(backoff.NextDelay());
  }
  CHECK(delays.size() > 30);
}

}  // namespace pomelohall
