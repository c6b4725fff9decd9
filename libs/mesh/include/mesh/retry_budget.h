#ifndef POMELOHALL_MESH_RETRY_BUDGET_H_
#define POMELOHALL_MESH_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/error.h"
#include "base/time.h"

namespace pomelohall {

/// Settings of a retry_budget.
struct retry_budget_options {
  /// Retries per request within the window, over all daemons. From the
  /// settings.
  double ratio = 0.2;
  /// Length of the sliding window. From the settings.
  duration window = std::chrono::seconds(10);
  /// Retries per window in addition to the ratio, over all daemons. From the
  /// settings.
  double allowance = 50;
  /// Fraction of the budget available to retries of requests that did not run.
  double not_run_share = 0.5;
  /// Fraction available to retries of requests that may have run. It is lower
  /// because such a retry also repeats the calls that the backend server makes,
  /// which count against the budgets of the called services.
  double ran_share = 0.25;
};

/// Limits the retries that reach the backend servers of a service.
///
/// All daemons share one limit per service. Each uses the ratio of its own
/// requests and an equal part of the allowance, so the total over all daemons
/// stays within the limit without coordination.
class retry_budget {
 public:
  explicit retry_budget(retry_budget_options options);

  /// Sets the number of daemons that share the allowance. Until it is known, no
  /// part of the allowance is used: after a loss of all daemons, each would
  /// spend the whole of it.
  /// @param count 0 if it is unknown.
  void SetDaemonCount(std::size_t count);

  /// Counts a caller's request to `service`.
  void OnRequest(const std::string& service, instant now);

  /// Spends one retry of the budget of `service`.
  /// @param ran Whether the failed attempt ran, as far as is known.
  /// @return False, without spending, if the budget is exhausted.
  bool TryRetry(const std::string& service, run_state ran, instant now);

 private:
  // Number of buckets that make up the sliding window.
  static constexpr std::size_t kBuckets = 10;

  struct bucket {
    std::int64_t index = -1;
    double requests = 0;
    double retries = 0;
  };
  using buckets = std::array<bucket, kBuckets + 1>;

  bucket& CurrentBucket(const std::string& service, instant now);
  double Allowance() const;
  bucket WindowTotal(const std::string& service, instant now) const;
  std::int64_t BucketIndex(instant now) const;

  retry_budget_options options_;
  std::size_t daemon_count_ = 0;  ///< 0 if unknown.
  std::map<std::string, buckets> services_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_RETRY_BUDGET_H_
