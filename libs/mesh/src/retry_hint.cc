#include "mesh/retry_hint.h"

#include <algorithm>

namespace pomelohall {
namespace {

struct hint_range {
  double shortest;  // Shares of the time left.
  double longest;
};

constexpr hint_range RangeOf(refusal_cause cause) {
  if (cause == refusal_cause::kOverload) {
    return {.shortest = 0.25, .longest = 0.33};
  }
  return {.shortest = 0.08, .longest = 0.2};
}

}  // namespace

duration RetryHint(refusal_cause cause, duration left, random_source& random) {
  const auto range = RangeOf(cause);
  const double share =
      range.shortest + random.Unit() * (range.longest - range.shortest);
  return std::chrono::duration_cast<duration>(std::max(left, duration(0)) *
                                              share);
}

}  // namespace pomelohall
