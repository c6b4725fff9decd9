#ifndef POMELOHALL_METRICS_HISTOGRAM_H_
#define POMELOHALL_METRICS_HISTOGRAM_H_

#include <cstdint>
#include <memory>
#include <vector>

namespace pomelohall {

/// Bucket layout of a histogram: `buckets` of equal width on a logarithmic
/// scale.
struct histogram_range {
  double lowest = 0.0001;  ///< Lower bound of the first bucket; above 0.
  double highest = 100;    ///< Upper bound of the last bucket; above `lowest`.
  unsigned buckets = 24;   ///< 1 to 200.
};

/// A consistent copy of a histogram's state.
struct histogram_snapshot {
  std::vector<double> upper_bounds;  ///< Ascending.
  /// Number of values less than or equal to the bound with the same index.
  std::vector<std::uint64_t> cumulative_counts;
  /// Number of all values, including those above the last bound.
  std::uint64_t count = 0;
  double sum = 0;
};

/// Distribution of a quantity, by convention in seconds or bytes. Thread-safe.
class histogram {
 public:
  explicit histogram(const histogram_range& range);
  ~histogram();
  histogram(const histogram&) = delete;
  histogram& operator=(const histogram&) = delete;

  /// Records one value. Values outside the range are counted too; NaN is
  /// ignored.
  void Record(double value);

  histogram_snapshot Snapshot() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_METRICS_HISTOGRAM_H_
