#ifndef POMELOHALL_QUOTA_QUOTA_MESSAGE_H_
#define POMELOHALL_QUOTA_QUOTA_MESSAGE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace pomelohall {

/// Limit of a tenant over all daemons. The rate is positive.
struct quota_limit {
  double rate_per_s = 0;
  double burst = 0;

  bool operator==(const quota_limit&) const = default;
};

/// Limits by tenant; one that is not listed has none.
using quota_limits = std::map<std::string, quota_limit>;

/// Use of a tenant's quota at one daemon since its last report. All in
/// requests.
struct quota_use {
  double spent = 0;     ///< Admitted without a token, to be paid now.
  double returned = 0;  ///< Tokens that it does not need.
  double held = 0;      ///< Tokens that it keeps.
  double wanted = 0;    ///< Tokens that it asks for.
};

/// Report of a daemon to the coordinator.
struct quota_report {
  std::string member;
  /// Rises with each report of one process. An earlier one that arrives late
  /// counts only what it has spent.
  std::uint64_t sequence = 0;
  /// Differs for each process of the daemon.
  std::uint64_t incarnation = 0;
  std::map<std::string, quota_use> tenants;
};

/// Answer of the coordinator.
struct quota_answer {
  std::map<std::string, double> granted;  ///< Tokens by tenant.
  /// Tenants that are close to their limit: their requests need tokens.
  std::set<std::string> tight;
};

}  // namespace pomelohall

#endif  // POMELOHALL_QUOTA_QUOTA_MESSAGE_H_
