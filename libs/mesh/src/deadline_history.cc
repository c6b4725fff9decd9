#include "mesh/deadline_history.h"

#include <algorithm>

namespace pomelohall {
namespace {

// Fewer samples say little about what is usual.
constexpr std::size_t kMinSamples = 16;
// First requests are among the longest times left; one in ten is an outlier.
constexpr double kUsualRank = 0.9;
// A caller that was refused waits for a quarter of its time; first requests of
// different callers differ by less.
constexpr double kReturningShare = 0.8;

}  // namespace

bool deadline_history::IsReturning(duration left) {
  samples_[count_++ % kSamples] = left;
  const auto known = std::min(count_, kSamples);
  if (known < kMinSamples) return false;
  auto sorted = samples_;
  const auto rank =
      static_cast<std::ptrdiff_t>(kUsualRank * static_cast<double>(known - 1));
  std::nth_element(sorted.begin(), sorted.begin() + rank,
                   sorted.begin() + static_cast<std::ptrdiff_t>(known));
  const auto usual = sorted[static_cast<std::size_t>(rank)];
  return ToMillis(left) < kReturningShare * ToMillis(usual);
}

}  // namespace pomelohall
