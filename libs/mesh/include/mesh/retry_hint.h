#ifndef POMELOHALL_MESH_RETRY_HINT_H_
#define POMELOHALL_MESH_RETRY_HINT_H_

#include "base/random.h"
#include "base/time.h"

namespace pomelohall {

/// Why a request was refused.
enum class refusal_cause {
  kOverload,  ///< The backend servers have no free capacity.
  kNoServer,  ///< None is reachable, or there is no configuration yet.
  /// Backend servers refuse a part of the requests at once although they have
  /// free slots.
  kServerFault,
};

/// Returns the delay after which a refused caller should retry. It is at most a
/// third of the remaining time, so that the retry can still run.
///
/// The delay has a random part: callers that are refused at the same time and
/// retry after the same delay would be refused together again. The delay is
/// longer after an overload, which lasts for seconds, than without a backend
/// server, which is replaced sooner. It is shortest if backend servers refuse
/// requests at random: the retry has the same chance at any time, and soon it
/// can still meet its latency target.
/// @param remaining Time until the caller's deadline.
duration RetryHint(refusal_cause cause, duration remaining,
                   random_source& random);

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_RETRY_HINT_H_
