#ifndef POMELOHALL_TENANCY_TENANT_H_
#define POMELOHALL_TENANCY_TENANT_H_

#include <optional>
#include <string>
#include <vector>

#include "tenancy/api_key.h"

namespace pomelohall {

/// Largest rate and burst that a configuration may state. Sums of tokens remain
/// exact.
constexpr double kMaxTenantRate = 1e9;

/// An organization whose callers identify themselves by API keys.
struct tenant {
  std::string name;
  std::vector<api_key_digest> key_digests;
  /// Priority of its requests, 0 is the most urgent; that of the route if there
  /// is none.
  std::optional<int> priority;
  /// Requests per second over all daemons; 0 for no limit.
  double rate_per_s = 0;
  /// Requests that it may send at once in addition, over all daemons.
  double burst = 0;

  bool operator==(const tenant&) const = default;
};

}  // namespace pomelohall

#endif  // POMELOHALL_TENANCY_TENANT_H_
