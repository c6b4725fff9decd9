#ifndef POMELOHALL_SIDECAR_SRC_CONFIG_CONFIRMATION_H_
#define POMELOHALL_SIDECAR_SRC_CONFIG_CONFIRMATION_H_

#include "base/time.h"
#include "sidecar/store_revision.h"

namespace pomelohall {

// Evidence that a configuration was the latest one in the store.
struct config_confirmation {
  // Store revision at which no newer one existed; not known if it was never
  // confirmed.
  store_revision revision = {};
  // When it was the latest at the latest known time.
  instant at;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_CONFIG_CONFIRMATION_H_
