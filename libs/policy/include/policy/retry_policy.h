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
  /// Retries and hedges per calls of the last 10 s.
  double budget_share = 0.1;
  /// Retries in 10 s that are allowed whatever the number of calls. Without it
  /// a daemon with less than 10 calls in 10 s could never retry.
  std::uint32_t minimum_budget = 1;
  /// Samples of a class below which it is not hedged.
  std::uint32_t minimum_hedge_samples = 100;
};

/// A failed attempt that might be sent again.
struct retry_question {
  class_kind kind = class_kind::kLookup;
  error_kind error = error_kind::kInternal;
  run_state ran = run_state::kUnknown;  ///< Of the failed attempt.
  std::uint32_t retries_done = 0;       ///< Retries and hedges of this call.
  std::uint32_t inbound_attempt = 0;    ///< Pomelohall-Attempt of the caller.
  instant deadline;
};

/// A running attempt that might be sent a second time.
struct hedge_question {
  class_kind kind = class_kind::kLookup;
  std::uint32_t retries_done = 0;
  std::uint32_t inbound_attempt = 0;
  instant deadline;
};

/// Decides about retries and hedges of one entry daemon inside one budget. Not
/// thread-safe.
class retry_policy {
 public:
  explicit retry_policy(retry_options options = {});

  /// Counts a call from a caller with Pomelohall-Attempt 0. Retries and hedges,
  /// our own or those from above, are not calls.
  void OnCall(instant now);

  /// Returns whether to retry, and takes the retry out of the budget if so.
  bool AllowRetry(const retry_question& question, instant now);

  /// Returns whether to hedge, and takes the hedge out of the budget if so.
  bool AllowHedge(const hedge_question& question, instant now);

  /// Returns the p95 of the class, or nothing while too few calls were seen.
  std::optional<duration> HedgeDelay(std::string_view work_class) const;

  /// Learns the latency of a successful call from its first attempt on.
  void OnLatency(std::string_view work_class, duration latency);

 private:
  struct budget_second {
    std::int64_t second = -1;
    std::uint32_t calls = 0;
    std::uint32_t retries = 0;
  };

  static constexpr std::size_t kWindowSeconds = 10;

  budget_second& SecondAt(instant now);
  bool TakeFromBudget(instant now);

  retry_options options_;
  std::array<budget_second, kWindowSeconds> window_{};
  std::map<std::string, latency_histogram, std::less<>> latencies_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_POLICY_RETRY_POLICY_H_
