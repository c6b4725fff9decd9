#include "mesh/config_difference.h"

#include <algorithm>

#include "base/digest.h"

namespace pomelohall {
namespace {

std::size_t BucketOf(const route_rule& route) {
  return FastHash(route.name) % config_digest::kBuckets;
}

void Append(std::string& text, const std::string& field) {
  // The length prefix makes the concatenation of fields unambiguous.
  text.append(std::to_string(field.size())).append(":").append(field);
}

std::uint64_t Fingerprint(const route_rule& route) {
  std::string text;
  for (const auto* field : {&route.name, &route.host, &route.path_prefix}) {
    Append(text, *field);
  }
  Append(text, std::to_string(static_cast<int>(route.kind)));
  Append(text, std::to_string(route.timeout.count()));
  Append(text, std::to_string(route.latency_target.count()));
  Append(text, std::to_string(route.priority));
  Append(text, std::to_string(route.max_servers));
  for (const auto& entry : route.destinations) {
    Append(text, entry.service);
    Append(text, std::to_string(entry.weight));
  }
  // Routes of configurations without tenants keep their fingerprints.
  if (route.is_public) Append(text, "public");
  return FastHash(text);
}

std::uint64_t Fingerprint(const std::vector<tenant>& tenants) {
  if (tenants.empty()) return 0;
  std::string text;
  for (const auto& entry : tenants) {
    Append(text, entry.name);
    Append(text, std::to_string(entry.key_digests.size()));
    for (const auto& digest : entry.key_digests)
      Append(text, EncodeApiKeyDigest(digest));
    Append(text, entry.priority ? std::to_string(*entry.priority) : "");
    Append(text, std::to_string(entry.rate_per_s));
    Append(text, std::to_string(entry.burst));
  }
  return FastHash(text);
}

}  // namespace

config_digest ComputeDigest(const mesh_config& config) {
  config_digest digest;
  // A sum makes the digest independent of the order of the routes.
  for (const auto& route : config.routes) {
    digest.buckets[BucketOf(route)] += Fingerprint(route);
  }
  digest.tenants = Fingerprint(config.tenants);
  return digest;
}

std::uint64_t Checksum(const config_digest& digest) {
  std::string text;
  for (const auto bucket : digest.buckets) Append(text, std::to_string(bucket));
  if (digest.tenants != 0) Append(text, std::to_string(digest.tenants));
  return FastHash(text);
}

config_difference ComputeDifference(const mesh_config& config,
                                    const config_digest& digest,
                                    const config_digest& other) {
  config_difference difference{.version = config.version,
                               .services = config.services,
                               .limits = config.limits,
                               .buckets = {},
                               .routes = {},
                               .tenants = {},
                               .checksum = Checksum(digest)};
  if (digest.tenants != other.tenants) difference.tenants = config.tenants;
  std::array<bool, config_digest::kBuckets> differs{};
  for (std::size_t i = 0; i < config_digest::kBuckets; ++i) {
    differs[i] = digest.buckets[i] != other.buckets[i];
    if (differs[i]) difference.buckets.push_back(i);
  }
  for (const auto& route : config.routes) {
    if (differs[BucketOf(route)]) difference.routes.push_back(route);
  }
  return difference;
}

std::optional<mesh_config> ApplyDifference(
    const mesh_config& base, const config_difference& difference) {
  std::array<bool, config_digest::kBuckets> differs{};
  for (const auto bucket : difference.buckets) {
    if (bucket >= config_digest::kBuckets) return std::nullopt;
    differs[bucket] = true;
  }
  mesh_config config{.version = difference.version,
                     .routes = difference.routes,
                     .services = difference.services,
                     .limits = difference.limits,
                     .tenants = difference.tenants.value_or(base.tenants)};
  for (const auto& route : base.routes) {
    if (!differs[BucketOf(route)]) config.routes.push_back(route);
  }
  if (Checksum(ComputeDigest(config)) != difference.checksum)
    return std::nullopt;
  return config;
}

}  // namespace pomelohall
