#include "policy/latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace pomelohall {
namespace {

constexpr unsigned kSubBucketBits = 3;  // log2 of kBucketsPerOctave.

}  // namespace

void latency_histogram::Add(duration latency) {
  const auto us = std::max<std::int64_t>(latency.count(), 1);
  ++buckets_[BucketOf(static_cast<std::uint64_t>(us))];
  if (++count_ >= kHalvingThreshold) Halve();
}

duration latency_histogram::Percentile(double share) const {
  if (count_ == 0) return duration{0};
  const auto rank = static_cast<std::uint32_t>(std::ceil(share * count_));
  std::uint32_t seen = 0;
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    seen += buckets_[i];
    if (seen >= rank) return duration(UpperBound(i));
  }
  return duration(UpperBound(buckets_.size() - 1));
}

std::size_t latency_histogram::BucketOf(std::uint64_t us) {
  // Each value below 8 us has its own bucket.
  if (us < kBucketsPerOctave) return us;
  const auto octave =
      static_cast<unsigned>(std::bit_width(us)) - 1U - kSubBucketBits;
  const auto sub_bucket = (us >> octave) & (kBucketsPerOctave - 1);
  const auto bucket = (octave + 1) * kBucketsPerOctave + sub_bucket;
  return std::min(bucket, kBucketsPerOctave * kOctaves - 1);
}

std::uint64_t latency_histogram::UpperBound(std::size_t bucket) {
  if (bucket < kBucketsPerOctave) return bucket;
  const auto octave = bucket / kBucketsPerOctave - 1;
  const auto sub_bucket = bucket % kBucketsPerOctave + kBucketsPerOctave;
  return ((sub_bucket + 1) << octave) - 1;
}

void latency_histogram::Halve() {
  count_ = 0;
  for (auto& bucket : buckets_) {
    bucket /= 2;
    count_ += bucket;
  }
}

}  // namespace pomelohall
