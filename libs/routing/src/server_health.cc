#include "routing/server_health.h"

#include <algorithm>
#include <cmath>

namespace pomelohall {
namespace {

/// Highest latency estimate, so that a server is never given up for good.
constexpr double kMaxEstimateUs = 10e6;

/// Weight of a sample in the recent level of a server.
constexpr double kLevelWeight = 0.1;

std::int64_t SecondOf(instant now) {
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
      level_us_(initial_us_),
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
  Finished();
  failures_in_row_ = 0;
  Count(false, now);
  AddSample(static_cast<double>(latency.count()), now);
  if (probing_ && now >= ejected_until_) probing_ = false;
}

void server_health::OnFailure(duration latency, bool may_eject, instant now) {
  Finished();
  ++failures_in_row_;
  Count(true, now);
  const auto counted = std::max(latency, options_->failure_latency);
  AddSample(static_cast<double>(counted.count()), now);
  if (now < ejected_until_) return;
  const bool failing = probing_ ||
                       failures_in_row_ >= options_->consecutive_failures ||
                       FailureShareExceeded(now);
  if (failing && may_eject) Eject(now);
}

void server_health::OnOverloaded(instant now) {
  Finished();
  AddSample(EstimateAt(now) * 2, now);
}

void server_health::OnDraining(instant now) {
  Finished();
  draining_until_ = now + options_->draining_pause;
}

void server_health::OnIgnored() { Finished(); }

void server_health::Finished() {
  if (outstanding_ > 0) --outstanding_;
}

void server_health::Count(bool failed, instant now) {
  const auto second = SecondOf(now);
  auto& slot = window_[static_cast<std::size_t>(second) % kWindowSeconds];
  if (slot.second != second) slot = {.second = second};
  ++slot.calls;
  if (failed) ++slot.failures;
}

bool server_health::FailureShareExceeded(instant now) const {
  const auto oldest =
      SecondOf(now) - static_cast<std::int64_t>(kWindowSeconds) + 1;
  std::uint32_t calls = 0;
  std::uint32_t failures = 0;
  for (const auto& slot : window_) {
    if (slot.second < oldest) continue;
    calls += slot.calls;
    failures += slot.failures;
  }
  return calls >= options_->minimum_calls &&
         failures > options_->failure_share * calls;
}

void server_health::Eject(instant now) {
  // A server that stayed good for the longest ejection starts anew.
  const bool forgotten =
      now - ejected_until_ > options_->longest_ejection && !probing_;
  last_ejection_ =
      last_ejection_.count() == 0 || forgotten
          ? options_->first_ejection
          : std::min(last_ejection_ * 2, options_->longest_ejection);
  ejected_until_ = now + last_ejection_;
  probing_ = true;
  failures_in_row_ = 0;
  window_ = {};
}

void server_health::AddSample(double latency_us, instant now) {
  const double decayed = EstimateAt(now);
  const double level = LevelAt(now);
  level_us_ =
      has_sample_ ? level + kLevelWeight * (latency_us - level) : latency_us;
  has_sample_ = true;
  estimate_us_ = std::min(std::max(decayed, latency_us), kMaxEstimateUs);
  sampled_at_ = now;
}

double server_health::LevelAt(instant now) const {
  const auto age = static_cast<double>((now - sampled_at_).count());
  const double keep =
      std::exp(-age / static_cast<double>(options_->unused_decay.count()));
  return initial_us_ + (level_us_ - initial_us_) * keep;
}

double server_health::EstimateAt(instant now) const {
  const double level = LevelAt(now);
  if (estimate_us_ <= level) return level;
  const auto age = static_cast<double>((now - sampled_at_).count());
  const double keep =
      std::exp(-age / static_cast<double>(options_->latency_decay.count()));
  return level + (estimate_us_ - level) * keep;
}

double server_health::SlowStartFactor(instant now) const {
  const auto age = now - slow_start_from_;
  if (!slow_start_ || age >= options_->slow_start) return 1;
  const double share = static_cast<double>(age.count()) /
                       static_cast<double>(options_->slow_start.count());
  return std::max(share, options_->slow_start_floor);
}

}  // namespace pomelohall
