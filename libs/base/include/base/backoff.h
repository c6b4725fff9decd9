#ifndef POMELOHALL_BASE_BACKOFF_H_
#define POMELOHALL_BASE_BACKOFF_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "base/random.h"
#include "base/time.h"

namespace pomelohall {

/// Returns the delay before the next attempt: exponential backoff from `base`
/// up to `cap`, of which a random 50% to 100% is taken, so that processes that
/// failed at the same time do not retry at the same time.
/// @param failures Consecutive failures before this one.
inline duration JitteredBackoff(duration base, duration cap,
                                std::size_t failures, random_source& random) {
  constexpr std::size_t kMaxDoublings = 20;  // prevents overflow
  const auto factor = std::int64_t{1} << std::min(failures, kMaxDoublings);
  const duration full = std::min(base * factor, cap);
  const double fraction = 0.5 + random.NextDouble() / 2;
  return std::chrono::duration_cast<duration>(full * fraction);
}

}  // namespace pomelohall

#endif  // POMELOHALL_BASE_BACKOFF_H_
