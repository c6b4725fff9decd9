#ifndef POMELOHALL_ROUTING_SERVER_HEALTH_H_
#define POMELOHALL_ROUTING_SERVER_HEALTH_H_

#include <array>
#include <cstdint>

#include "base/time.h"

namespace pomelohall {

/// Settings of server_health.
struct server_health_options {
  /// Latency estimate of a server without a sample while no other server of the
  /// service has one.
  duration initial_latency{1'000};
  /// Time constant with which the estimate decays to the baseline after a
  /// latency peak.
  duration latency_decay{5'000'000};
  /// Time constant with which the estimate of an idle server returns to the
  /// initial one, so that a server that was slow is tried again.
  duration idle_decay{30'000'000};
  /// A failed attempt is recorded with at least this latency, so that a server
  /// that fails fast does not attract calls.
  duration failure_latency{100'000};
  /// Length of the slow start of a new server.
  duration slow_start{10'000'000};
  /// Slow-start factor of a new server; increases to 1 over `slow_start`.
  double slow_start_min_factor = 0.1;
  /// Ejects a server after this many failures in a row.
  std::uint32_t consecutive_failures = 5;
  /// Ejects a server if more than this share of its calls in 10 s failed.
  double failure_share = 0.5;
  /// Minimum number of calls in 10 s for evaluating the share.
  std::uint32_t minimum_calls = 10;
  /// Length of the first ejection. Doubles with each further one.
  duration initial_ejection_time{5'000'000};
  duration max_ejection_time{60'000'000};
  /// A server that refused with `draining` gets no calls for this long. In the
  /// meantime its new state reaches this daemon through the membership.
  duration draining_backoff{3'000'000};
};

/// Health of one backend server as observed by an entry daemon: latency,
/// outstanding attempts, failures and ejection (outlier detection). Not
/// thread-safe.
class server_health {
 public:
  /// @param initial_latency Estimate until the first sample.
  server_health(const server_health_options& options, std::uint64_t incarnation,
                duration initial_latency, bool slow_start, instant now);

  std::uint64_t Incarnation() const { return incarnation_; }
  std::uint32_t Outstanding() const { return outstanding_; }

  /// Returns (latency estimate in us) x (outstanding + 1) / slow-start factor.
  /// Lower is better.
  double Score(instant now) const;

  /// Returns the latency estimate.
  duration Estimate(instant now) const;

  /// Returns whether a call may be sent: the server is not ejected, not
  /// draining, and has no probe outstanding.
  bool Usable(instant now) const;

  /// Returns whether the server is ejected at `now`.
  bool Ejected(instant now) const;

  /// Counts an attempt as outstanding.
  void OnStart(instant now);

  /// Records a complete response.
  void OnSuccess(duration latency, instant now);

  /// Records a failure that is the server's fault.
  /// @param may_eject False while half of the service is already ejected.
  void OnFailure(duration latency, bool may_eject, instant now);

  /// Records a refusal because of load: the estimate doubles.
  void OnOverloaded(instant now);

  /// Records that the server is draining.
  void OnDraining(instant now);

  /// Ends an attempt without recording a result, for example because the caller
  /// disconnected.
  void OnDiscarded();

 private:
  struct window_bucket {
    std::int64_t second = -1;
    std::uint32_t calls = 0;
    std::uint32_t failures = 0;
  };

  static constexpr std::size_t kWindowSeconds = 10;

  void RecordResult(bool failed, instant now);
  bool FailureShareExceeded(instant now) const;
  void Eject(instant now);
  void DecrementOutstanding();
  void AddSample(double latency_us, instant now);
  double BaselineAt(instant now) const;
  double EstimateAt(instant now) const;
  double SlowStartFactor(instant now) const;

  const server_health_options* options_;
  std::uint64_t incarnation_;
  std::uint32_t outstanding_ = 0;
  double initial_us_;
  double estimate_us_;
  /// Moving average of the latency, to which the estimate decays.
  double baseline_us_;
  bool has_sample_ = false;
  instant sampled_at_;
  instant slow_start_from_;
  bool slow_start_;
  std::uint32_t consecutive_failures_ = 0;
  std::array<window_bucket, kWindowSeconds> window_{};
  instant ejected_until_{};
  duration ejection_time_{0};
  /// True from an ejection until a call after it succeeded. Limits the server
  /// to one probe at a time.
  bool probing_ = false;
  instant draining_until_{};
};

}  // namespace pomelohall

#endif  // POMELOHALL_ROUTING_SERVER_HEALTH_H_
