#include "rollout/exposure_limiter.h"

#include <algorithm>

namespace pomelohall {

void exposure_limiter::OnOtherVersion(double share) {
  credit_ = std::min(credit_ + share, kMaxCredit);
}

bool exposure_limiter::TryTake() {
  if (credit_ < 1) return false;
  credit_ -= 1;
  return true;
}

void exposure_limiter::Return() { credit_ = std::min(credit_ + 1, kMaxCredit); }

}  // namespace pomelohall
