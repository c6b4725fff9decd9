#ifndef POMELOHALL_SLO_SLO_HISTOGRAM_H_
#define POMELOHALL_SLO_SLO_HISTOGRAM_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include "base/time.h"

namespace pomelohall {

/// Latency histogram with 8 buckets per decade from 0.1 ms to 100 s, an
/// underflow and an overflow bucket. All histograms have the same buckets, so
/// those of different daemons can be merged. Not thread-safe.
class slo_histogram {
 public:
  /// Number of buckets, including underflow and overflow.
  static constexpr std::size_t kBuckets = 50;

  slo_histogram();
  ~slo_histogram();
  slo_histogram(const slo_histogram& other);
  slo_histogram(slo_histogram&& other) noexcept;
  slo_histogram& operator=(slo_histogram other) noexcept;

  void Record(duration latency);
  void Add(const slo_histogram& other);

  /// Adds `count` latencies to a bucket. Returns false if the index
  /// is out of range.
  bool AddToBucket(std::size_t bucket, std::uint64_t count);

  /// Returns the index and count of each non-empty bucket.
  std::vector<std::pair<std::size_t, std::uint64_t>> Buckets() const;

  std::uint64_t Count() const;

  /// Returns the upper edge of the bucket that contains the quantile, in ms; 0
  /// if the histogram is empty, 100,000 if the quantile is in the overflow
  /// bucket.
  /// @param quantile In (0, 1].
  double QuantileMillis(double quantile) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SLO_SLO_HISTOGRAM_H_
