#ifndef POMELOHALL_ROUTING_SERVER_HEALTH_H_
#define POMELOHALL_ROUTING_SERVER_HEALTH_H_

#include <array>
#include <cstdint>

#include "base/time.h"

namespace pomelohall {

/// Settings of server_health.
struct server_health_options {
  /// Estimate for a server without a sample while no other server of the
  /// service has one.
  duration initial_latency{1'000};
  /// Time constant with which an older, higher latency is forgotten.
  duration latency_decay{5'000'000};
  /// Time constant with which the estimate of an unused server returns to the
  /// initial one, so that a server that was slow is tried again.
  duration unused_decay{30'000'000};
  /// A failed attempt counts with at least this latency, so that a server that
  /// fails fast does not attract calls.
  duration failure_latency{100'000};
  duration slow_start{10'000'000};
  /// Slow-start factor of a new server; grows to 1 over `slow_start`.
  double slow_start_floor = 0.1;
  std::uint32_t consecutive_failures = 5;
  /// Ejects above this share of failures in 10 s.
  double failure_share = 0.5;
  /// Calls in 10 s below which the share is not judged.
  std::uint32_t minimum_calls = 10;
  duration first_ejection{5'000'000};
  duration longest_ejection{60'000'000};
  /// A server that refused with `draining` gets no calls for this long. The
  /// membership learns of it in the meantime.
  duration draining_pause{3'000'000};
};

/// What the entry side learnt about one backend server: latency, outstanding
/// attempts, failures and ejection. Not thread-safe.
class server_health {
 public:
  /// @param initial_latency Estimate until the first sample.
  server_health(const server_health_options& options, std::uint64_t incarnation,
                duration initial_latency, bool slow_start, instant now);

  std::uint64_t Incarnation() const { return incarnation_; }
  std::uint32_t Outstanding() const { return outstanding_; }

  /// Returns (latency estimate in us) x (outstanding + 1) / slow-start factor.
  double Score(instant now) const;

  /// Returns the latency estimate.
  duration Estimate(instant now) const;

  /// Returns whether a call may be sent: not ejected, not draining, and not
  /// waiting for the result of a probe.
  bool Usable(instant now) const;

  /// Returns whether the server is ejected at `now`.
  bool Ejected(instant now) const;

  void OnStart(instant now);

  /// Learns from a whole answer.
  void OnSuccess(duration latency, instant now);

  /// Learns from a failure that is the server's fault.
  /// @param may_eject False while half of the service is ejected already.
  void OnFailure(duration latency, bool may_eject, instant now);

  /// Learns from a refusal because of load: the estimate doubles.
  void OnOverloaded(instant now);

  /// Learns that the server drains.
  void OnDraining(instant now);

  /// Learns nothing, for example because the caller went away.
  void OnIgnored();

 private:
  struct window_second {
    std::int64_t second = -1;
    std::uint32_t calls = 0;
    std::uint32_t failures = 0;
  };

  static constexpr std::size_t kWindowSeconds = 10;

  void Count(bool failed, instant now);
  bool FailureShareExceeded(instant now) const;
  void Eject(instant now);
  void Finished();
  void AddSample(double latency_us, instant now);
  double LevelAt(instant now) const;
  double EstimateAt(instant now) const;
  double SlowStartFactor(instant now) const;

  const server_health_options* options_;
  std::uint64_t incarnation_;
  std::uint32_t outstanding_ = 0;
  double initial_us_;
  double estimate_us_;
  /// Lowest recent level, towards which the estimate decays.
  double level_us_;
  bool has_sample_ = false;
  instant sampled_at_;
  instant slow_start_from_;
  bool slow_start_;
  std::uint32_t failures_in_row_ = 0;
  std::array<window_second, kWindowSeconds> window_{};
  instant ejected_until_{};
  duration last_ejection_{0};
  /// True from the end of an ejection until a call succeeded.
  bool probing_ = false;
  instant draining_until_{};
};

}  // namespace pomelohall

#endif  // POMELOHALL_ROUTING_SERVER_HEALTH_H_
