#include "mesh/retry_hint.h"

#include <algorithm>

namespace pomelohall {
namespace {

// Bounds of a hint, as fractions of the remaining time.
struct hint_range {
  double shortest;
  double longest;
};

constexpr hint_range HintRange(refusal_cause cause) {
  switch (cause) {
    case refusal_cause::kOverload:
      return {.shortest = 0.25, .longest = 0.33};
    case refusal_cause::kServerFault:
      return {.shortest = 0.045, .longest = 0.095};
    case refusal_cause::kNoServer:
      break;
  }
  return {.shortest = 0.08, .longest = 0.2};
}

}  // namespace

duration RetryHint(refusal_cause cause, duration remaining,
                   random_source& random) {
  const auto range = HintRange(cause);
  const double share =
      range.shortest + random.NextDouble() * (range.longest - range.shortest);
  return std::chrono::duration_cast<duration>(std::max(remaining, duration(0)) *
                                              share);
}

}  // namespace pomelohall
