#include "mesh/deadline_history.h"

#include <algorithm>

namespace pomelohall {
namespace {

// Fewer samples give no reliable quantile.
constexpr std::size_t kMinSamples = 16;
// First requests have the longest remaining times. The top tenth is skipped as
// outliers.
constexpr double kTypicalQuantile = 0.9;
// A caller that is refused because of an overload waits for at least a quarter
// of its remaining time before its retry; see RetryHint(). The deadlines of
// first requests of different callers differ by less.
constexpr double kMaxRetryFraction = 0.8;

}  // namespace

bool deadline_history::IsLikelyRetry(duration remaining) {
  samples_[count_++ % kSamples] = remaining;
  const auto known = std::min(count_, kSamples);
  if (known < kMinSamples) return false;
  auto sorted = samples_;
  const auto rank = static_cast<std::ptrdiff_t>(kTypicalQuantile *
                                                static_cast<double>(known - 1));
  std::nth_element(sorted.begin(), sorted.begin() + rank,
                   sorted.begin() + static_cast<std::ptrdiff_t>(known));
  const auto typical = sorted[static_cast<std::size_t>(rank)];
  return ToMillis(remaining) < kMaxRetryFraction * ToMillis(typical);
}

}  // namespace pomelohall
