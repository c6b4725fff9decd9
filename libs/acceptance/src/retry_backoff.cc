#include "retry_backoff.h"

#include "base/backoff.h"

namespace pomelohall {

duration retry_backoff::Next() {
  return JitteredBackoff(base_, cap_, attempts_++, random_);
}

}  // namespace pomelohall
