#ifndef POMELOHALL_ROLLOUT_VERSION_REPORT_H_
#define POMELOHALL_ROLLOUT_VERSION_REPORT_H_

#include <cstdint>
#include <map>
#include <string>

namespace pomelohall {

/// Counts of the responses of a backend server to the requests of one route.
struct response_counts {
  std::uint64_t responses = 0;  ///< Failures included.
  /// Responses with a status of 500 or more, refusals of the server, and
  /// responses that were broken or missing.
  std::uint64_t failures = 0;
  std::uint64_t timed = 0;  ///< Responses that count in `time_ms`.
  double time_ms = 0;       ///< Sum of their run times.

  response_counts& operator+=(const response_counts& other) {
    responses += other.responses;
    failures += other.failures;
    timed += other.timed;
    time_ms += other.time_ms;
    return *this;
  }
  bool operator==(const response_counts&) const = default;

  double FailureShare() const {
    return responses == 0
               ? 0
               : static_cast<double>(failures) / static_cast<double>(responses);
  }
  double MeanTimeMs() const {
    return timed == 0 ? 0 : time_ms / static_cast<double>(timed);
  }
};

/// What the daemon beside a backend server reports about it during a roll-out.
struct version_report {
  std::string instance;
  std::string version;
  std::map<std::string, response_counts> by_route;

  bool operator==(const version_report&) const = default;
};

}  // namespace pomelohall

#endif  // POMELOHALL_ROLLOUT_VERSION_REPORT_H_
