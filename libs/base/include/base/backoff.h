#ifndef POMELOHALL_BASE_BACKOFF_H_
#define POMELOHALL_BASE_BACKOFF_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "base/random.h"
#include "base/time.h"

namespace pomelohall {

/// Returns the pause before the next try: `base` doubled with each failure, at
/// most `cap`, of which a random 50% to 100% is taken, so that many processes
/// that failed at once come back at different times.
/// @param failures Failures in a row before this one.
inline duration JitteredBackoff(duration base, duration cap,
                                std::size_t failures, random_source& random) {
  constexpr std::size_t kMaxDoublings = 20;  // keeps the product in range
  const auto factor = std::int64_t{1} << std::min(failures, kMaxDoublings);
  const duration full = std::min(base * factor, cap);
  const double share = 0.5 + random.Unit() / 2;
  return std::chrono::duration_cast<duration>(full * share);
}

}  // namespace pomelohall

#endif  // POMELOHALL_BASE_BACKOFF_H_
