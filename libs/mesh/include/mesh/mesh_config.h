#ifndef POMELOHALL_MESH_MESH_CONFIG_H_
#define POMELOHALL_MESH_MESH_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/name_table.h"
#include "base/time.h"
#include "tenancy/tenant.h"

namespace pomelohall {

/// How the requests of a route may be retried and transmitted.
enum class request_kind {
  kSafe,      ///< Idempotent, with small responses.
  kUnsafe,    ///< Runs at most once for each attempt of a caller.
  kDownload,  ///< Idempotent, with large responses.
};

inline constexpr name_table<request_kind, 3> kRequestKindNames{{{
    {request_kind::kSafe, "safe"},
    {request_kind::kUnsafe, "unsafe"},
    {request_kind::kDownload, "download"},
}}};

/// Returns whether a request may run more than once.
constexpr bool IsIdempotent(request_kind kind) {
  return kind != request_kind::kUnsafe;
}

/// Largest values that a configuration may state. Sums of weights remain finite
/// and priorities fit their type.
constexpr double kMaxWeight = 1e12;
constexpr int kMaxPriority = 1'000'000;

/// A service that receives a share of a route's requests.
struct destination {
  std::string service;
  double weight = 1;  ///< Positive; relative to the other destinations.
};

/// Rule for the requests to one host below one path prefix.
struct route_rule {
  std::string name;
  std::string host;         ///< Lower case, without a port.
  std::string path_prefix;  ///< Begins and ends with "/".
  request_kind kind = request_kind::kUnsafe;
  duration timeout{0};         ///< From receipt to the end of the response.
  duration latency_target{0};  ///< Desired time until the response.
  int priority = 0;            ///< 0 is the most urgent.
  std::vector<destination> destinations;  ///< At least one.
  /// Maximum number of backend servers that a request is sent to; at least 1.
  std::uint32_t max_servers = 1;
  /// Whether requests need no API key although the configuration has tenants.
  bool is_public = false;
};

/// Returns whether requests of the route can be served: it has time, servers to
/// try and destinations with a name and a weight in its range.
bool IsUsable(const route_rule& route);

/// Limits on the requests of callers.
struct request_limits {
  std::size_t max_header_bytes = 16'384;
  std::uint64_t max_body_bytes = 67'108'864;
  duration header_timeout = std::chrono::seconds(3);
  duration idle_timeout = std::chrono::seconds(15);
};

/// Returns whether a request can be within the limits.
bool IsUsable(const request_limits& limits);

/// One complete version of the configuration.
struct mesh_config {
  std::uint64_t version = 0;
  std::vector<route_rule> routes;
  std::vector<std::string> services;
  request_limits limits;
  std::vector<tenant> tenants = {};  ///< Empty if callers need no API keys.
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_MESH_CONFIG_H_
