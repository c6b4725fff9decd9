#ifndef POMELOHALL_MESH_RETRY_HINT_H_
#define POMELOHALL_MESH_RETRY_HINT_H_

#include "base/random.h"
#include "base/time.h"

namespace pomelohall {

/// Why a request was refused.
enum class refusal_cause {
  kOverload,  ///< The backend servers have no room.
  kNoServer,  ///< None can be reached, or no configuration is known.
};

/// Returns after which time a refused caller should come back: at most a third
/// of the time that it has left, so that its next attempt can still run.
///
/// Answers the load in which many callers are refused at once: told the same
/// time, they come back together and are refused together, so a random part
/// spreads them. An overload lasts for seconds and its callers come back late
/// in their time; a missing backend server is replaced within moments.
/// @param left Time until the caller's deadline.
duration RetryHint(refusal_cause cause, duration left, random_source& random);

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_RETRY_HINT_H_
