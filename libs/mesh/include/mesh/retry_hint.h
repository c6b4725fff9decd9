#ifndef POMELOHALL_MESH_RETRY_HINT_H_
#define POMELOHALL_MESH_RETRY_HINT_H_

#include "base/random.h"
#include "base/time.h"

namespace pomelohall {

/// Returns after which time a refused caller should come back.
///
/// Answers the load in which many callers are refused at once: told the same
/// time, they come back together and are refused together. The time is that in
/// which the work ahead ends, at least a tenth of what the caller has left so
/// that it does not spin, and at most a third of it so that its next attempt
/// still has time to run; a random part spreads the callers.
/// @param expected_wait Time until work offered now would start.
/// @param left Time until the caller's deadline.
duration RetryHint(duration expected_wait, duration left,
                   random_source& random);

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_RETRY_HINT_H_
