#ifndef POMELOHALL_METRICS_HISTOGRAM_H_
#define POMELOHALL_METRICS_HISTOGRAM_H_

#include <cstdint>
#include <memory>
#include <vector>

namespace pomelohall {

/// Buckets of a histogram: `buckets` of equal width on a logarithmic scale.
struct histogram_range {
  double lowest = 0.0001;  ///< Lower edge of the first bucket; above 0.
  double highest = 100;    ///< Upper edge of the last bucket; above `lowest`.
  unsigned buckets = 24;   ///< 1 to 200.
};

/// What a histogram holds at one moment.
struct histogram_totals {
  std::vector<double> upper_edges;  ///< Ascending.
  /// Number of values at most as large as the edge with the same index.
  std::vector<std::uint64_t> cumulative;
  std::uint64_t count = 0;  ///< All values, also those above the last edge.
  double sum = 0;
};

/// Distribution of a quantity. Thread-safe. Seconds or bytes by convention.
class histogram {
 public:
  explicit histogram(const histogram_range& range);
  ~histogram();
  histogram(const histogram&) = delete;
  histogram& operator=(const histogram&) = delete;

  /// Counts one value. Values outside the range are counted too; a value that
  /// is not a number is ignored.
  void Record(double value);

  histogram_totals Totals() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_METRICS_HISTOGRAM_H_
