#include "policy/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace pomelohall {
namespace {

constexpr double kShortAverageWeight = 0.1;
constexpr double kLongAverageWeight = 0.005;

/// Share by which each sample lowers the long-term average while it is more
/// than twice the short-term one, so that an overload does not become the
/// baseline.
constexpr double kLongAverageDecay = 0.05;

constexpr double kLimitSmoothing = 0.1;
constexpr double kMinGradient = 0.5;
constexpr double kFailureBackoff = 0.95;

}  // namespace

void class_latency::Add(duration latency) {
  const auto us = std::max(static_cast<double>(latency.count()), 1.0);
  if (!has_sample_) {
    has_sample_ = true;
    short_term_average_us_ = us;
    long_term_average_us_ = us;
    return;
  }
  short_term_average_us_ += kShortAverageWeight * (us - short_term_average_us_);
  long_term_average_us_ += kLongAverageWeight * (us - long_term_average_us_);
  if (long_term_average_us_ > 2 * short_term_average_us_)
    long_term_average_us_ -= kLongAverageDecay * long_term_average_us_;
}

std::optional<duration> class_latency::ShortTermAverage() const {
  if (!has_sample_) return std::nullopt;
  return duration(static_cast<std::int64_t>(short_term_average_us_));
}

double class_latency::Gradient() const {
  return has_sample_ ? long_term_average_us_ / short_term_average_us_ : 1;
}

concurrency_limit::concurrency_limit(concurrency_limit_options options)
    : options_(options) {}

void concurrency_limit::SetSlots(std::uint32_t slots) {
  if (slots_ == 0) {
    busy_time_ = duration{0};
    adaptive_limit_ = slots;
  } else if (adaptive_limit_ >= slots_) {
    adaptive_limit_ = slots;
  }
  slots_ = slots;
  adaptive_limit_ = std::min(adaptive_limit_, static_cast<double>(slots));
}

void concurrency_limit::Advance(bool busy, instant now) {
  if (busy && last_advance_ && now > *last_advance_) {
    busy_time_ =
        std::min(busy_time_ + (now - *last_advance_), options_.slow_start);
  }
  last_advance_ = now;
}

void concurrency_limit::OnResponse(double gradient, std::size_t in_flight) {
  // While less than half of the limit is in use, the latency does not depend on
  // it.
  if (static_cast<double>(in_flight) * 2 < adaptive_limit_) return;
  const double clamped_gradient =
      std::clamp(gradient * options_.tolerance, kMinGradient, 1.0);
  const double headroom = std::max(1.0, std::sqrt(adaptive_limit_));
  const double next = adaptive_limit_ * clamped_gradient + headroom;
  adaptive_limit_ += kLimitSmoothing * (next - adaptive_limit_);
  adaptive_limit_ =
      std::clamp(adaptive_limit_, static_cast<double>(options_.minimum),
                 std::max<double>(slots_, options_.minimum));
}

void concurrency_limit::OnFailure() {
  adaptive_limit_ = std::max(adaptive_limit_ * kFailureBackoff,
                             static_cast<double>(options_.minimum));
}

std::uint32_t concurrency_limit::Limit() const {
  const double share = static_cast<double>(busy_time_.count()) /
                       static_cast<double>(options_.slow_start.count());
  const double first = options_.slow_start_slots;
  const double slow_start_limit = first + (slots_ - first) * share;
  const auto limit =
      static_cast<std::uint32_t>(std::min(adaptive_limit_, slow_start_limit));
  return std::min(slots_, std::max(limit, std::min(slots_, 1U)));
}

}  // namespace pomelohall
