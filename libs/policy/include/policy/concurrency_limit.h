#ifndef POMELOHALL_POLICY_CONCURRENCY_LIMIT_H_
#define POMELOHALL_POLICY_CONCURRENCY_LIMIT_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace pomelohall {

/// Latency of one class on one backend server, as short and long average.
class class_latency {
 public:
  void Add(duration latency);

  /// Returns the short average, or nothing without a sample.
  std::optional<duration> Typical() const;

  /// Returns long average / short average; below 1 while latency rises.
  double Gradient() const;

 private:
  double short_us_ = 0;
  double long_us_ = 0;
  bool has_sample_ = false;
};

/// Settings of a concurrency_limit.
struct concurrency_limit_options {
  std::uint32_t minimum = 2;
  /// Rise of the latency over its long average that is not taken for overload.
  double tolerance = 1.5;
  duration slow_start{10'000'000};
  std::uint32_t slow_start_slots = 2;
};

/// How many requests a backend server may run at once: its slots, lowered while
/// latency rises with the load, and grown from a few after its start.
class concurrency_limit {
 public:
  explicit concurrency_limit(concurrency_limit_options options);

  /// A change from 0 begins a slow start. 0: no backend server.
  void SetSlots(std::uint32_t slots);
  std::uint32_t Slots() const { return slots_; }

  /// Counts time in which the server worked towards the slow start.
  void Advance(bool working, instant now);

  /// Learns from an answer.
  /// @param gradient Of the class, see class_latency.
  /// @param in_flight Requests that ran when it ended, itself included.
  void OnAnswer(double gradient, std::size_t in_flight);

  /// Learns from a failure.
  void OnFailure();

  /// Returns the number of requests that may run at once, 0 to Slots().
  std::uint32_t Limit() const;

 private:
  concurrency_limit_options options_;
  std::uint32_t slots_ = 0;
  double adaptive_ = 0;
  duration worked_{0};
  std::optional<instant> advanced_at_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_POLICY_CONCURRENCY_LIMIT_H_
