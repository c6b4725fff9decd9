#ifndef POMELOHALL_MESH_MOVING_AVERAGE_H_
#define POMELOHALL_MESH_MOVING_AVERAGE_H_

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

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_MOVING_AVERAGE_H_
