#include "mesh/retry_hint.h"

#include <algorithm>

namespace pomelohall {

duration RetryHint(duration expected_wait, duration left,
                   random_source& random) {
  const auto shortest = std::max(left / 10, duration(1000));
  const auto longest = std::max(left / 3, shortest);
  const auto base = std::clamp(expected_wait, shortest, longest);
  const double spread = 0.75 + random.Unit() / 2;
  const auto hint = std::chrono::duration_cast<duration>(base * spread);
  return std::clamp(hint, shortest, longest);
}

}  // namespace pomelohall
