#ifndef POMELOHALL_POLICY_RETRY_POLICY_H_
#define POMELOHALL_POLICY_RETRY_POLICY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/time.h"
#include "model/configuration.h"
#include "policy/latency_histogram.h"

namespace pomelohall {

/// Settings of a retry_policy.
struct retry_options {
  std::uint32_t max_retries = 2;  ///< Per call, hedges included.
  /// Ratio of retries and hedges to the calls of the last 10 s.
  double budget_share = 0.1;
  /// Retries allowed in 10 s regardless of the number of calls. Without it, a
  /// daemon with fewer than 10 calls in 10 s could never retry.
  std::uint32_t minimum_budget = 1;
  /// Calls of a class are hedged only after this many latency samples.
  std::uint32_t minimum_hedge_samples = 100;
};

/// Input of a retry decision: a failed attempt of a call.
struct retry_context {
  class_kind kind = class_kind::kLookup;
  error_kind error = error_kind::kInternal;
  run_state ran = run_state::kUnknown;  ///< Whether the failed attempt ran.
  std::uint32_t retries_done = 0;       ///< Retries and hedges of this call.
  std::uint32_t inbound_attempt = 0;    ///< Pomelohall-Attempt of the caller.
  instant deadline;
};

/// Input of a hedging decision: a call with one running attempt.
struct hedge_context {
  class_kind kind = class_kind::kLookup;
  std::uint32_t retries_done = 0;
  std::uint32_t inbound_attempt = 0;
  instant deadline;
};

/// Decides about the retries and hedges of one entry daemon, which share one
/// retry budget. Not thread-safe.
class retry_policy {
 public:
  explicit retry_policy(retry_options options = {});

  /// Counts a call that came with Pomelohall-Attempt 0 towards the budget.
  /// Retries and hedges, of this daemon or of its callers, must not be counted.
  void OnCall(instant now);

  /// Returns whether to retry. If so, the retry is charged to the budget.
  bool AllowRetry(const retry_context& context, instant now);

  /// Returns whether to hedge. If so, the hedge is charged to the budget.
  bool AllowHedge(const hedge_context& context, instant now);

  /// Returns the p95 latency of the class, or nothing while it has too few
  /// samples.
  std::optional<duration> HedgeDelay(std::string_view work_class) const;

  /// Records the latency of a successful call, measured from its first attempt.
  void OnLatency(std::string_view work_class, duration latency);

 private:
  struct budget_bucket {
    std::int64_t second = -1;
    std::uint32_t calls = 0;
    std::uint32_t retries = 0;
  };

  static constexpr std::size_t kWindowSeconds = 10;

  budget_bucket& BucketAt(instant now);
  bool TryConsumeBudget(instant now);

  retry_options options_;
  std::array<budget_bucket, kWindowSeconds> window_{};
  std::map<std::string, latency_histogram, std::less<>> latencies_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_POLICY_RETRY_POLICY_H_
