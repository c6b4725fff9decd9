#include "policy/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace pomelohall {
namespace {

constexpr double kShortWeight = 0.1;
constexpr double kLongWeight = 0.005;

/// Share by which the long average falls with a sample while it is more than
/// twice the short one, so that an overload does not become the normal level.
constexpr double kLongRecovery = 0.05;

constexpr double kSmoothing = 0.1;
constexpr double kLowestGradient = 0.5;
constexpr double kFailureFactor = 0.95;

}  // namespace

void class_latency::Add(duration latency) {
  const auto us = std::max(static_cast<double>(latency.count()), 1.0);
  if (!has_sample_) {
    has_sample_ = true;
    short_us_ = us;
    long_us_ = us;
    return;
  }
  short_us_ += kShortWeight * (us - short_us_);
  long_us_ += kLongWeight * (us - long_us_);
  if (long_us_ > 2 * short_us_) long_us_ -= kLongRecovery * long_us_;
}

std::optional<duration> class_latency::Typical() const {
  if (!has_sample_) return std::nullopt;
  return duration(static_cast<std::int64_t>(short_us_));
}

double class_latency::Gradient() const {
  return has_sample_ ? long_us_ / short_us_ : 1;
}

concurrency_limit::concurrency_limit(concurrency_limit_options options)
    : options_(options) {}

void concurrency_limit::SetSlots(std::uint32_t slots) {
  if (slots_ == 0) {
    worked_ = duration{0};
    adaptive_ = slots;
  } else if (adaptive_ >= slots_) {
    adaptive_ = slots;
  }
  slots_ = slots;
  adaptive_ = std::min(adaptive_, static_cast<double>(slots));
}

void concurrency_limit::Advance(bool working, instant now) {
  if (working && advanced_at_ && now > *advanced_at_) {
    worked_ = std::min(worked_ + (now - *advanced_at_), options_.slow_start);
  }
  advanced_at_ = now;
}

void concurrency_limit::OnAnswer(double gradient, std::size_t in_flight) {
  // A limit that is not in use says nothing about the latency.
  if (static_cast<double>(in_flight) * 2 < adaptive_) return;
  const double bounded =
      std::clamp(gradient * options_.tolerance, kLowestGradient, 1.0);
  const double room = std::max(1.0, std::sqrt(adaptive_));
  const double next = adaptive_ * bounded + room;
  adaptive_ += kSmoothing * (next - adaptive_);
  adaptive_ = std::clamp(adaptive_, static_cast<double>(options_.minimum),
                         std::max<double>(slots_, options_.minimum));
}

void concurrency_limit::OnFailure() {
  adaptive_ = std::max(adaptive_ * kFailureFactor,
                       static_cast<double>(options_.minimum));
}

std::uint32_t concurrency_limit::Limit() const {
  const double share = static_cast<double>(worked_.count()) /
                       static_cast<double>(options_.slow_start.count());
  const double first = options_.slow_start_slots;
  const double warm = first + (slots_ - first) * share;
  const auto limit = static_cast<std::uint32_t>(std::min(adaptive_, warm));
  return std::min(slots_, std::max(limit, std::min(slots_, 1U)));
}

}  // namespace pomelohall
