#include "control_baselines.h"

#include <algorithm>
#include <vector>

namespace pomelohall::bench {
namespace {

// As many links as the overlay has, so that the fan-out is equal.
constexpr std::size_t kTreeChildren = 7;
constexpr double kRepairIntervalS = 5;
constexpr double kPollBytes = 60;
// Watch, head and section of the one reader; two readers as in the design.
constexpr double kReaderCalls = 2 * 2;

double Seconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

// Pushes from each member to its children in turn; the root has the version at
// 0. A lost push is repaired by the child's next poll.
change_cost Push(std::size_t members, std::size_t children,
                 const change_sizes& sizes,
                 const network_conditions& conditions, std::uint64_t seed) {
  random_source random(seed);
  const double send_s = sizes.delta_bytes / conditions.egress_bytes_per_s;
  const double hop_s = Seconds(conditions.hop);
  std::vector<double> has_at(members, 0);
  change_cost cost{.convergence = {},
                   .bytes = 2 * (sizes.head_bytes + sizes.section_bytes),
                   .platform_calls = kReaderCalls};
  double last = 0;
  for (std::size_t i = 1; i < members; ++i) {
    const std::size_t parent = (i - 1) / children;
    const auto turn = static_cast<double>((i - 1) % children + 1);
    has_at[i] = has_at[parent] + turn * send_s + hop_s;
    cost.bytes += sizes.delta_bytes;
    while (random.NextDouble() < conditions.loss) {
      has_at[i] += random.NextDouble() * kRepairIntervalS + 2 * hop_s + send_s;
      cost.bytes += sizes.delta_bytes;
    }
    last = std::max(last, has_at[i]);
  }
  cost.bytes +=
      static_cast<double>(members) * kPollBytes * last / kRepairIntervalS;
  cost.convergence = FromSeconds(last);
  return cost;
}

}  // namespace

change_cost WatchByEveryDaemon(std::size_t members, const change_sizes& sizes,
                               const network_conditions& conditions) {
  const auto count = static_cast<double>(members);
  const double calls = 2 * count;
  return {.convergence = FromSeconds(calls / conditions.platform_calls_per_s),
          .bytes = count * (sizes.head_bytes + sizes.section_bytes),
          .platform_calls = calls};
}

change_cost StarFromReader(std::size_t members, const change_sizes& sizes,
                           const network_conditions& conditions,
                           std::uint64_t seed) {
  return Push(members, members, sizes, conditions, seed);
}

change_cost TreeWithAntiEntropy(std::size_t members, const change_sizes& sizes,
                                const network_conditions& conditions,
                                std::uint64_t seed) {
  return Push(members, kTreeChildren, sizes, conditions, seed);
}

}  // namespace pomelohall::bench
