#include "routing/server_health.h"

#include <algorithm>
#include <cmath>

namespace pomelohall {
namespace {

/// Upper bound of the latency estimate, so that no server is excluded
/// permanently.
constexpr double kMaxEstimateUs = 10e6;

/// Weight of a sample in the latency baseline.
constexpr double kBaselineWeight = 0.1;

std::int64_t ToSeconds(instant now) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             now.time_since_epoch())
      .count();
}

}  // namespace

server_health::server_health(const server_health_options& options,
                             std::uint64_t incarnation,
                             duration initial_latency, bool slow_start,
                             instant now)
    : options_(&options),
      incarnation_(incarnation),
      initial_us_(static_cast<double>(initial_latency.count())),
      estimate_us_(initial_us_),
      baseline_us_(initial_us_),
      sampled_at_(now),
      slow_start_from_(now),
      slow_start_(slow_start) {}

double server_health::Score(instant now) const {
  return EstimateAt(now) * (outstanding_ + 1) / SlowStartFactor(now);
}

duration server_health::Estimate(instant now) const {
  return duration(static_cast<std::int64_t>(EstimateAt(now)));
}

bool server_health::Usable(instant now) const {
  if (now < ejected_until_ || now < draining_until_) return false;
  return !probing_ || outstanding_ == 0;
}

bool server_health::Ejected(instant now) const { return now < ejected_until_; }

void server_health::OnStart(instant /*now*/) { ++outstanding_; }

void server_health::OnSuccess(duration latency, instant now) {
  DecrementOutstanding();
  consecutive_failures_ = 0;
  RecordResult(false, now);
  AddSample(static_cast<double>(latency.count()), now);
  if (probing_ && now >= ejected_until_) probing_ = false;
}

void server_health::OnFailure(duration latency, bool may_eject, instant now) {
  DecrementOutstanding();
  ++consecutive_failures_;
  RecordResult(true, now);
  const auto recorded = std::max(latency, options_->failure_latency);
  AddSample(static_cast<double>(recorded.count()), now);
  if (now < ejected_until_) return;
  const bool failing =
      probing_ || consecutive_failures_ >= options_->consecutive_failures ||
      FailureShareExceeded(now);
  if (failing && may_eject) Eject(now);
}

void server_health::OnOverloaded(instant now) {
  DecrementOutstanding();
  AddSample(EstimateAt(now) * 2, now);
}

void server_health::OnDraining(instant now) {
  DecrementOutstanding();
  draining_until_ = now + options_->draining_backoff;
}

void server_health::OnDiscarded() { DecrementOutstanding(); }

void server_health::DecrementOutstanding() {
  if (outstanding_ > 0) --outstanding_;
}

void server_health::RecordResult(bool failed, instant now) {
  const auto second = ToSeconds(now);
  auto& bucket = window_[static_cast<std::size_t>(second) % kWindowSeconds];
  if (bucket.second != second) bucket = {.second = second};
  ++bucket.calls;
  if (failed) ++bucket.failures;
}

bool server_health::FailureShareExceeded(instant now) const {
  const auto oldest =
      ToSeconds(now) - static_cast<std::int64_t>(kWindowSeconds) + 1;
  std::uint32_t calls = 0;
  std::uint32_t failures = 0;
  for (const auto& bucket : window_) {
    if (bucket.second < oldest) continue;
    calls += bucket.calls;
    failures += bucket.failures;
  }
  return calls >= options_->minimum_calls &&
         failures > options_->failure_share * calls;
}

void server_health::Eject(instant now) {
  // The backoff restarts for a server that stayed healthy for the longest
  // ejection time.
  const bool recovered =
      now - ejected_until_ > options_->max_ejection_time && !probing_;
  ejection_time_ =
      ejection_time_.count() == 0 || recovered
          ? options_->initial_ejection_time
          : std::min(ejection_time_ * 2, options_->max_ejection_time);
  ejected_until_ = now + ejection_time_;
  probing_ = true;
  consecutive_failures_ = 0;
  window_ = {};
}

void server_health::AddSample(double latency_us, instant now) {
  const double decayed = EstimateAt(now);
  const double baseline = BaselineAt(now);
  baseline_us_ = has_sample_
                     ? baseline + kBaselineWeight * (latency_us - baseline)
                     : latency_us;
  has_sample_ = true;
  estimate_us_ = std::min(std::max(decayed, latency_us), kMaxEstimateUs);
  sampled_at_ = now;
}

double server_health::BaselineAt(instant now) const {
  const auto age = static_cast<double>((now - sampled_at_).count());
  const double remaining =
      std::exp(-age / static_cast<double>(options_->idle_decay.count()));
  return initial_us_ + (baseline_us_ - initial_us_) * remaining;
}

double server_health::EstimateAt(instant now) const {
  const double baseline = BaselineAt(now);
  if (estimate_us_ <= baseline) return baseline;
  const auto age = static_cast<double>((now - sampled_at_).count());
  const double remaining =
      std::exp(-age / static_cast<double>(options_->latency_decay.count()));
  return baseline + (estimate_us_ - baseline) * remaining;
}

double server_health::SlowStartFactor(instant now) const {
  const auto age = now - slow_start_from_;
  if (!slow_start_ || age >= options_->slow_start) return 1;
  const double share = static_cast<double>(age.count()) /
                       static_cast<double>(options_->slow_start.count());
  return std::max(share, options_->slow_start_min_factor);
}

}  // namespace pomelohall
