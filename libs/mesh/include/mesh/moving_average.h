#ifndef POMELOHALL_MESH_MOVING_AVERAGE_H_
#define POMELOHALL_MESH_MOVING_AVERAGE_H_

#include <algorithm>
#include <chrono>
#include <cmath>

#include "base/time.h"

namespace pomelohall {

/// Exponentially weighted moving average. With a weight of 0.1 it covers about
/// the last ten samples, a few hundred milliseconds of work on one backend
/// server.
class moving_average {
 public:
  void Add(double sample) {
    value_ = empty_ ? sample : value_ + kWeight * (sample - value_);
    empty_ = false;
  }

  /// Returns the average, or 0 before the first sample.
  double Value() const { return value_; }

 private:
  static constexpr double kWeight = 0.1;

  double value_ = 0;
  bool empty_ = true;
};

/// Moving average of samples that may be rare. A sample that follows the
/// previous one after a longer gap has a higher weight, so that an outdated
/// average is replaced by a few samples however rare they are.
class timed_average {
 public:
  /// @param at Time of the sample. One that is earlier than that of the
  ///     previous sample counts as the same.
  void Add(double sample, instant at) {
    const double gap = empty_ ? 0 : ToMillis(at - last_at_);
    const double weight =
        std::max(kMinWeight, 1 - std::exp(-gap / ToMillis(kMemory)));
    value_ = empty_ ? sample : value_ + weight * (sample - value_);
    last_at_ = empty_ ? at : std::max(at, last_at_);
    empty_ = false;
  }

  /// Returns the average, or 0 before the first sample.
  double Value() const { return value_; }

 private:
  static constexpr double kMinWeight = 0.1;
  static constexpr duration kMemory = std::chrono::seconds(4);

  double value_ = 0;
  bool empty_ = true;
  instant last_at_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_MOVING_AVERAGE_H_
