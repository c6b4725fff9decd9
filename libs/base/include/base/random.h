#ifndef POMELOHALL_BASE_RANDOM_H_
#define POMELOHALL_BASE_RANDOM_H_

#include <cassert>
#include <cstdint>
#include <random>

namespace pomelohall {

/// A seeded pseudo-random number generator with the same sequence on every
/// platform, so that a seed reproduces a test run. Not thread-safe.
class random_source {
 public:
  explicit random_source(std::uint64_t seed) : engine_(seed) {}

  /// Returns the next 64 random bits.
  std::uint64_t Next() { return engine_(); }

  /// Returns a number in [0, bound). `bound` must be positive.
  std::uint64_t Below(std::uint64_t bound) {
    assert(bound > 0);
    return engine_() % bound;
  }

  /// Returns a number in [0, 1).
  double NextDouble() {
    // 53 bits fill the mantissa of a double.
    return static_cast<double>(engine_() >> 11U) * 0x1.0p-53;
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_BASE_RANDOM_H_
