#ifndef POMELOHALL_POLICY_LATENCY_HISTOGRAM_H_
#define POMELOHALL_POLICY_LATENCY_HISTOGRAM_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace pomelohall {

/// A latency histogram with decay: all counts are halved after every 2,000
/// samples. Each power of two is split into 8 buckets, so that a percentile is
/// overestimated by at most 12.5%.
class latency_histogram {
 public:
  /// Adds a sample. Values are clamped to between 1 us and about 70 min.
  void Add(duration latency);

  /// Returns the number of samples after decay.
  std::uint32_t Count() const { return count_; }

  /// Returns the upper bound of the bucket that contains the percentile, or 0
  /// without samples.
  /// @param share Percentile as a fraction in (0, 1].
  duration Percentile(double share) const;

 private:
  static constexpr std::size_t kBucketsPerOctave = 8;
  static constexpr std::size_t kOctaves = 32;
  static constexpr std::uint32_t kHalvingThreshold = 2'000;

  static std::size_t BucketOf(std::uint64_t us);
  static std::uint64_t UpperBound(std::size_t bucket);
  void Halve();

  std::array<std::uint16_t, kBucketsPerOctave * kOctaves> buckets_{};
  std::uint32_t count_ = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_POLICY_LATENCY_HISTOGRAM_H_
