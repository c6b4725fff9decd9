#ifndef POMELOHALL_MESH_CONFIG_DIFFERENCE_H_
#define POMELOHALL_MESH_CONFIG_DIFFERENCE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "mesh/mesh_config.h"

namespace pomelohall {

/// Fingerprints of the routes of a configuration, in buckets by route name. Two
/// daemons that compare digests find the routes that differ without sending
/// the others, whatever versions each of them has skipped.
struct config_digest {
  /// With a thousand routes, a changed one costs about as many bytes as the
  /// digest itself.
  static constexpr std::size_t kBuckets = 64;

  std::array<std::uint64_t, kBuckets> buckets{};

  bool operator==(const config_digest&) const = default;
};

config_digest DigestOf(const mesh_config& config);

/// One fingerprint of a whole digest.
std::uint64_t Checksum(const config_digest& digest);

/// What a daemon lacks to a configuration.
struct config_difference {
  std::uint64_t version = 0;
  std::vector<std::string> services;
  request_limits limits;
  std::vector<std::size_t> buckets;  ///< Those that differ.
  std::vector<route_rule> routes;    ///< All routes of these buckets.
  std::uint64_t checksum = 0;        ///< Of the whole configuration.
};

/// Returns what the owner of a configuration with digest `other` lacks.
/// @param digest Of `config`.
config_difference DifferenceTo(const mesh_config& config,
                               const config_digest& digest,
                               const config_digest& other);

/// Returns the configuration that results; nothing if it is not the one that
/// the difference was made from, as when `base` has changed meanwhile.
std::optional<mesh_config> ApplyDifference(const mesh_config& base,
                                           const config_difference& difference);

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_CONFIG_DIFFERENCE_H_
