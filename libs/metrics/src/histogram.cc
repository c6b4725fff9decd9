#include "metrics/histogram.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cassert>
#include <cmath>
#include <mutex>

namespace pomelohall {
namespace {

namespace bh = boost::histogram;
using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using counts =
    decltype(bh::make_histogram_with(std::vector<std::uint64_t>(), log_axis()));

}  // namespace

struct histogram::state {
  explicit state(const histogram_range& range)
      : values(bh::make_histogram_with(
            std::vector<std::uint64_t>(),
            log_axis(range.buckets, range.lowest, range.highest))) {}

  std::mutex mutex;
  counts values;
  double sum = 0;
};

histogram::histogram(const histogram_range& range) {
  assert(range.lowest > 0 && range.highest > range.lowest);
  assert(range.buckets >= 1 && range.buckets <= 200);
  state_ = std::make_unique<state>(range);
}

histogram::~histogram() = default;

void histogram::Record(double value) {
  if (std::isnan(value)) return;
  const std::lock_guard lock(state_->mutex);
  // The logarithm of values up to 0 is not finite and would count as overflow.
  if (value > 0) {
    state_->values(value);
  } else {
    state_->values.at(-1) += 1;
  }
  state_->sum += value;
}

histogram_snapshot histogram::Snapshot() const {
  const std::lock_guard lock(state_->mutex);
  const auto& axis = state_->values.axis(0);
  histogram_snapshot snapshot;
  snapshot.sum = state_->sum;
  std::uint64_t below = state_->values.at(-1);
  for (int i = 0; i < axis.size(); ++i) {
    below += state_->values.at(i);
    snapshot.upper_bounds.push_back(axis.bin(i).upper());
    snapshot.cumulative_counts.push_back(below);
  }
  snapshot.count = below + state_->values.at(axis.size());
  return snapshot;
}

}  // namespace pomelohall
