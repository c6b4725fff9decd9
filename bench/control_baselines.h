#ifndef POMELOHALL_BENCH_CONTROL_BASELINES_H_
#define POMELOHALL_BENCH_CONTROL_BASELINES_H_

#include <cstddef>
#include <cstdint>

#include "base/time.h"
#include "control_network.h"

namespace pomelohall::bench {

/// Cost of one configuration change.
struct change_cost {
  duration convergence{};  ///< Until every daemon holds the version.
  double bytes = 0;        ///< Between daemons and from the platform.
  double platform_calls = 0;

  /// Product of the three; lower is better.
  double Score() const {
    return ToMillis(convergence) * bytes * platform_calls;
  }
};

/// Sizes of what a change moves.
struct change_sizes {
  double delta_bytes = 0;    ///< Encoded delta between daemons.
  double head_bytes = 0;     ///< Head object of the platform.
  double section_bytes = 0;  ///< One section object.
};

/// Every daemon watches the head and reads the changed section itself.
change_cost WatchByEveryDaemon(std::size_t members, const change_sizes& sizes,
                               const network_conditions& conditions);

/// One reader pushes the delta to every member; members poll the reader every
/// 5 s, which repairs losses.
change_cost StarFromReader(std::size_t members, const change_sizes& sizes,
                           const network_conditions& conditions,
                           std::uint64_t seed);

/// The delta is pushed down a tree with seven children for each member; members
/// poll their parent every 5 s.
change_cost TreeWithAntiEntropy(std::size_t members, const change_sizes& sizes,
                                const network_conditions& conditions,
                                std::uint64_t seed);

}  // namespace pomelohall::bench

#endif  // POMELOHALL_BENCH_CONTROL_BASELINES_H_
