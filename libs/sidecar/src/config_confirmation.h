#ifndef POMELOHALL_SIDECAR_SRC_CONFIG_CONFIRMATION_H_
#define POMELOHALL_SIDECAR_SRC_CONFIG_CONFIRMATION_H_

#include <cstdint>

#include "base/time.h"

namespace pomelohall {

// Evidence that a configuration was the latest one in the store.
struct config_confirmation {
  // Store revision at which it was the latest; 0 if it was never confirmed.
  std::uint64_t revision = 0;
  // When it was the latest at the latest known time.
  instant at;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_CONFIG_CONFIRMATION_H_
