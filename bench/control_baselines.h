#ifndef POMELOHALL_BENCH_CONTROL_BASELINES_H_
#define POMELOHALL_BENCH_CONTROL_BASELINES_H_

#include <cstddef>
#include <cstdint>

#include "base/time.h"
#include "control_network.h"

namespace pomelohall::bench {

/// Cost of one configuration change.
struct change_cost {
  duration convergence{};  ///< Until every daemon has the version.
  double bytes = 0;        ///< Sent by daemons and the platform.
  double platform_calls = 0;

  /// Product of the three; lower is better.
  double Score() const {
    return ToMillis(convergence) * bytes * platform_calls;
  }
};

/// Sizes of the data transferred for a change.
struct change_sizes {
  double delta_bytes = 0;    ///< Delta encoded for the peer protocol.
  double head_bytes = 0;     ///< Head object at the platform.
  double section_bytes = 0;  ///< One section object.
};

/// Calculates the cost if every daemon watches the head and reads the changed
/// section from the platform.
change_cost WatchByEveryDaemon(std::size_t members, const change_sizes& sizes,
                               const network_conditions& conditions);

/// Simulates a star: one reader pushes the delta to every member. Members poll
/// the reader every 5 s to recover from lost messages.
change_cost StarFromReader(std::size_t members, const change_sizes& sizes,
                           const network_conditions& conditions,
                           std::uint64_t seed);

/// Simulates a tree in which each member pushes the delta to seven children.
/// Members poll their parent every 5 s to recover from lost messages.
change_cost TreeWithAntiEntropy(std::size_t members, const change_sizes& sizes,
                                const network_conditions& conditions,
                                std::uint64_t seed);

}  // namespace pomelohall::bench

#endif  // POMELOHALL_BENCH_CONTROL_BASELINES_H_
