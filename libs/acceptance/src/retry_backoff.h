#ifndef POMELOHALL_ACCEPTANCE_RETRY_BACKOFF_H_
#define POMELOHALL_ACCEPTANCE_RETRY_BACKOFF_H_

#include <cstddef>
#include <cstdint>

#include "base/random.h"
#include "base/time.h"

namespace pomelohall {

/// Pauses between attempts: doubled from `base` up to `cap`, each reduced by a
/// random part of up to one half, so that writers do not retry at the same
/// time.
class retry_backoff {
 public:
  retry_backoff(duration base, duration cap, std::uint64_t seed)
      : base_(base), cap_(cap), random_(seed) {}

  /// Returns the pause before the next attempt.
  duration Next();

 private:
  duration base_;
  duration cap_;
  std::size_t attempts_ = 0;
  random_source random_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_ACCEPTANCE_RETRY_BACKOFF_H_
