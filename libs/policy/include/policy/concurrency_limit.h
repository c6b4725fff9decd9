#ifndef POMELOHALL_POLICY_CONCURRENCY_LIMIT_H_
#define POMELOHALL_POLICY_CONCURRENCY_LIMIT_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace pomelohall {

/// Latency of one class on one backend server, as a short-term and a long-term
/// moving average.
class class_latency {
 public:
  void Add(duration latency);

  /// Returns the short-term average, or nothing without a sample.
  std::optional<duration> ShortTermAverage() const;

  /// Returns long-term average / short-term average; below 1 while latency
  /// rises.
  double Gradient() const;

 private:
  double short_term_average_us_ = 0;
  double long_term_average_us_ = 0;
  bool has_sample_ = false;
};

/// Settings of a concurrency_limit.
struct concurrency_limit_options {
  std::uint32_t minimum = 2;
  /// Factor by which the latency may exceed its long-term average before it
  /// counts as overload.
  double tolerance = 1.5;
  duration slow_start{10'000'000};
  std::uint32_t slow_start_slots = 2;
};

/// Adaptive concurrency limit of a backend server: its slots, reduced while
/// latency rises with the load, and increased gradually after a start.
class concurrency_limit {
 public:
  explicit concurrency_limit(concurrency_limit_options options);

  /// A change from 0 begins a slow start. 0 means that there is no backend
  /// server.
  void SetSlots(std::uint32_t slots);
  std::uint32_t Slots() const { return slots_; }

  /// Advances the clock. Only time in which the server is busy counts towards
  /// the end of the slow start.
  void Advance(bool busy, instant now);

  /// Adjusts the limit after a complete response.
  /// @param gradient Latency gradient of the class, see class_latency.
  /// @param in_flight Number of requests in flight, including the completed
  ///     one.
  void OnResponse(double gradient, std::size_t in_flight);

  /// Lowers the limit after a failure.
  void OnFailure();

  /// Returns the number of requests that may run concurrently, 0 to Slots().
  std::uint32_t Limit() const;

 private:
  concurrency_limit_options options_;
  std::uint32_t slots_ = 0;
  double adaptive_limit_ = 0;
  duration busy_time_{0};
  std::optional<instant> last_advance_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_POLICY_CONCURRENCY_LIMIT_H_
