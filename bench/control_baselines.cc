#include "control_baselines.h"

#include <algorithm>
#include <vector>

namespace pomelohall::bench {
namespace {

// As many as the links of a daemon in the overlay, so that the fan-out is
// equal.
constexpr std::size_t kTreeChildren = 7;
constexpr double kPollIntervalS = 5;
constexpr double kPollBytes = 60;
// Two readers, each with a watch, which returns the head, and the read of one
// section.
constexpr double kReaderCalls = 2 * 2;

double ToSeconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

// Simulates a push along a tree. The root has the version at time 0, and each
// member sends it to its children one after the other. A child that missed a
// push gets the version with its next poll.
change_cost SimulatePush(std::size_t members, std::size_t children,
                         const change_sizes& sizes,
                         const network_conditions& conditions,
                         std::uint64_t seed) {
  random_source random(seed);
  const double send_s = sizes.delta_bytes / conditions.egress_bytes_per_s;
  const double hop_s = ToSeconds(conditions.hop);
  std::vector<double> received_at(members, 0);
  change_cost cost{.convergence = {},
                   .bytes = 2 * (sizes.head_bytes + sizes.section_bytes),
                   .platform_calls = kReaderCalls};
  double last_received_at = 0;
  for (std::size_t i = 1; i < members; ++i) {
    const std::size_t parent = (i - 1) / children;
    const auto send_position = static_cast<double>((i - 1) % children + 1);
    received_at[i] = received_at[parent] + send_position * send_s + hop_s;
    cost.bytes += sizes.delta_bytes;
    while (random.NextDouble() < conditions.loss) {
      received_at[i] +=
          random.NextDouble() * kPollIntervalS + 2 * hop_s + send_s;
      cost.bytes += sizes.delta_bytes;
    }
    last_received_at = std::max(last_received_at, received_at[i]);
  }
  cost.bytes += static_cast<double>(members) * kPollBytes * last_received_at /
                kPollIntervalS;
  cost.convergence = FromSeconds(last_received_at);
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
  return SimulatePush(members, members, sizes, conditions, seed);
}

change_cost TreeWithAntiEntropy(std::size_t members, const change_sizes& sizes,
                                const network_conditions& conditions,
                                std::uint64_t seed) {
  return SimulatePush(members, kTreeChildren, sizes, conditions, seed);
}

}  // namespace pomelohall::bench
