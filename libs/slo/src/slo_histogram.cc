#include "slo/slo_histogram.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cmath>

namespace pomelohall {
namespace {

namespace bh = boost::histogram;
using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using histogram_type =
    decltype(bh::make_histogram_with(std::vector<std::uint64_t>(), log_axis()));

constexpr double kLowestMs = 0.1;
constexpr double kHighestMs = 100'000;
constexpr int kInnerBuckets = static_cast<int>(slo_histogram::kBuckets) - 2;

}  // namespace

struct slo_histogram::state {
  // Bucket 0 is the underflow bin, which has index -1 on the axis.
  static int AxisIndex(std::size_t bucket) {
    return static_cast<int>(bucket) - 1;
  }

  histogram_type values =
      bh::make_histogram_with(std::vector<std::uint64_t>(),
                              log_axis(kInnerBuckets, kLowestMs, kHighestMs));
};

slo_histogram::slo_histogram() : state_(std::make_unique<state>()) {}
slo_histogram::~slo_histogram() = default;
slo_histogram::slo_histogram(const slo_histogram& other)
    : state_(std::make_unique<state>(*other.state_)) {}
slo_histogram::slo_histogram(slo_histogram&& other) noexcept = default;

slo_histogram& slo_histogram::operator=(slo_histogram other) noexcept {
  state_ = std::move(other.state_);
  return *this;
}

void slo_histogram::Record(duration latency) {
  // The logarithm of a value <= 0 is not finite and would count as overflow.
  const double millis = ToMillis(latency);
  if (millis > 0) {
    state_->values(millis);
  } else {
    state_->values.at(-1) += 1;
  }
}

void slo_histogram::Add(const slo_histogram& other) {
  state_->values += other.state_->values;
}

bool slo_histogram::AddToBucket(std::size_t bucket, std::uint64_t count) {
  if (bucket >= kBuckets) return false;
  state_->values.at(state::AxisIndex(bucket)) += count;
  return true;
}

std::vector<std::pair<std::size_t, std::uint64_t>> slo_histogram::Buckets()
    const {
  std::vector<std::pair<std::size_t, std::uint64_t>> filled;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    const std::uint64_t count = state_->values.at(state::AxisIndex(i));
    if (count > 0) filled.emplace_back(i, count);
  }
  return filled;
}

std::uint64_t slo_histogram::Count() const {
  std::uint64_t total = 0;
  for (const auto& [bucket, count] : Buckets()) total += count;
  return total;
}

double slo_histogram::QuantileMillis(double quantile) const {
  const std::uint64_t total = Count();
  if (total == 0) return 0;
  const auto rank = static_cast<std::uint64_t>(
      std::ceil(quantile * static_cast<double>(total)));
  std::uint64_t cumulative = 0;
  for (const auto& [bucket, count] : Buckets()) {
    cumulative += count;
    if (cumulative < rank) continue;
    const int index = state::AxisIndex(bucket);
    if (index >= kInnerBuckets) return kHighestMs;
    return state_->values.axis(0).value(index + 1);
  }
  return kHighestMs;
}

}  // namespace pomelohall
