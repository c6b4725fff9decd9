#ifndef POMELOHALL_ROLLOUT_VERSION_COMPARISON_H_
#define POMELOHALL_ROLLOUT_VERSION_COMPARISON_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "rollout/version_report.h"

namespace pomelohall {

/// Settings of a version_comparison.
struct version_comparison_options {
  /// Responses from which on a server of the target version is judged.
  std::uint64_t min_responses = 5;
  /// Failures from which on a server may be judged bad.
  std::uint64_t min_failures = 5;
  /// A server is bad if its share of failures is above that of the other
  /// version times the factor, plus the margin. Callers notice every tenth
  /// failed request.
  double failure_factor = 3;
  double failure_margin = 0.1;
  /// Timed responses from which on run times are compared: of the server, and
  /// of the other version together.
  std::uint64_t min_timed = 8;
  std::uint64_t min_timed_others = 20;
  /// A server is bad if its mean run time is above that of the other version by
  /// this factor. Servers of one version differ by up to 1.7 from their mean.
  double time_factor = 2.5;
  /// It must also be above that by this many milliseconds: other processes of a
  /// busy VM delay a run by a time slice of some milliseconds, which is a
  /// multiple of a short run.
  double time_margin_ms = 5;
  /// Failures of the whole target version from which on its servers are judged
  /// together, so that one whose few servers are judged slowly does not get
  /// much further. Below the 50 bad responses that start the time in which it
  /// must get no more requests.
  std::uint64_t max_failures = 25;
};

/// Result of a comparison, with the figures behind it.
struct version_verdict {
  bool is_bad = false;
  std::size_t judged_servers = 0;  ///< Servers with enough responses.
  std::size_t bad_servers = 0;
  response_counts target;  ///< Sum over all servers of the target version.
  response_counts others;  ///< Sum over all others.
  std::string reason;      ///< Empty unless it is bad.
};

/// Compares the responses of the target version of a roll-out with those of the
/// other servers of its service, by route and in total.
///
/// The servers are compared with each other and not with a constant: a fault
/// that slows or fails all servers says nothing about the version. One server
/// decides nothing, as single servers turn slow or fail for reasons of their
/// VM; the majority of those that have enough responses does.
class version_comparison {
 public:
  explicit version_comparison(version_comparison_options options = {})
      : options_(options) {}

  /// Adds or replaces the report of a server.
  void OnReport(const version_report& report);

  /// @param target_servers Servers of the target version that get requests.
  version_verdict Judge(const std::string& target_version,
                        std::size_t target_servers) const;

  /// Forgets all reports.
  void Clear() { reports_.clear(); }

 private:
  // Returns the reason why counts are bad beside those of the other version,
  // empty if they are not.
  std::string FindFault(const response_counts& counts,
                        const response_counts& others) const;
  // The same by route.
  std::string FindFault(
      const version_report& report,
      const std::map<std::string, response_counts>& others) const;

  const version_comparison_options options_;
  std::map<std::string, version_report> reports_;  ///< By instance.
};

}  // namespace pomelohall

#endif  // POMELOHALL_ROLLOUT_VERSION_COMPARISON_H_
