#include "retry_backoff.h"

#include <algorithm>

namespace pomelohall {

duration retry_backoff::Next() {
  const duration full = next_;
  next_ = std::min(next_ * 2, cap_);
  const auto half = static_cast<std::uint64_t>(full.count()) / 2;
  const auto reduction = half > 0 ? random_.Below(half) : 0;
  return full - duration(static_cast<duration::rep>(reduction));
}

}  // namespace pomelohall
