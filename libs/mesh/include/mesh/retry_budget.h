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
  /// Repeats for each request of the window, over all daemons. From the
  /// settings.
  double ratio = 0.2;
  /// Length of the window. From the settings.
  duration window = std::chrono::seconds(10);
  /// Repeats beyond the ratio in a window, over all daemons. From the settings.
  double allowance = 50;
  /// Part of both for repeats of requests that did not run.
  double not_run_share = 0.5;
  /// The same for requests that may have run: a repeated run also repeats the
  /// calls that its backend server makes, and these count for the services
  /// called.
  double ran_share = 0.25;
};

/// Bounds the repeats that reach the backend servers of a service.
///
/// All daemons share one bound per service. Each takes its own requests times
/// the ratio, and an equal part of the allowance: the sum over all daemons then
/// keeps the bound without any message between them.
class retry_budget {
 public:
  explicit retry_budget(retry_budget_options options);

  /// Sets the number of daemons that share the allowance; at least 1.
  void SetDaemons(std::size_t daemons);

  /// Counts a request of a caller for `service`.
  void OnRequest(const std::string& service, instant now);

  /// Takes one repeat out of the budget of `service`.
  /// @param ran Whether the request ran, as far as is known.
  /// @return False if the budget is spent; nothing is taken then.
  bool TryRepeat(const std::string& service, run_state ran, instant now);

 private:
  // Resolution of the sliding window.
  static constexpr std::size_t kBuckets = 10;

  struct bucket {
    std::int64_t number = -1;
    double requests = 0;
    double repeats = 0;
  };
  using buckets = std::array<bucket, kBuckets + 1>;

  bucket& Current(const std::string& service, instant now);
  bucket Sum(const std::string& service, instant now) const;
  std::int64_t NumberOf(instant now) const;

  const retry_budget_options options_;
  std::size_t daemons_ = 1;
  std::map<std::string, buckets> services_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_RETRY_BUDGET_H_
