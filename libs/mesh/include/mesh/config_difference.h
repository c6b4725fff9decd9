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

/// Fingerprints of the routes of a configuration, in buckets by the hash of the
/// route name. Two daemons compare digests to transfer only the buckets that
/// differ, whichever versions each of them has skipped.
struct config_digest {
  /// With a thousand routes, the routes of one bucket take about as many bytes
  /// as the digest itself.
  static constexpr std::size_t kBuckets = 64;

  std::array<std::uint64_t, kBuckets> buckets{};
  std::uint64_t tenants = 0;  ///< Fingerprint of all tenants; 0 without any.

  bool operator==(const config_digest&) const = default;
};

config_digest ComputeDigest(const mesh_config& config);

/// Returns one fingerprint for the whole digest.
std::uint64_t Checksum(const config_digest& digest);

/// The data that turns one configuration into another.
struct config_difference {
  std::uint64_t version = 0;
  std::vector<std::string> services;
  request_limits limits;
  std::vector<std::size_t> buckets;  ///< Indices of the buckets that differ.
  std::vector<route_rule> routes;    ///< All routes of these buckets.
  /// All tenants; nothing if they do not differ.
  std::optional<std::vector<tenant>> tenants = {};
  std::uint64_t checksum = 0;  ///< Checksum of the resulting digest.
};

/// Returns the difference from a configuration with digest `other` to `config`.
/// @param digest Digest of `config`.
config_difference ComputeDifference(const mesh_config& config,
                                    const config_digest& digest,
                                    const config_digest& other);

/// Returns the resulting configuration, or nothing if its checksum differs from
/// the expected one, for example because `base` has changed since its digest
/// was computed.
std::optional<mesh_config> ApplyDifference(const mesh_config& base,
                                           const config_difference& difference);

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_CONFIG_DIFFERENCE_H_
