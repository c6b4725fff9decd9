#ifndef POMELOHALL_METRICS_COUNTER_H_
#define POMELOHALL_METRICS_COUNTER_H_

#include <atomic>
#include <cstdint>

namespace pomelohall {

/// A monotonically increasing counter. Thread-safe.
class counter {
 public:
  void Add(std::uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }

  /// Sets the counter to a total that is maintained elsewhere. Do not combine
  /// with Add().
  void SetTotal(std::uint64_t total) {
    value_.store(total, std::memory_order_relaxed);
  }

  std::uint64_t Value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

}  // namespace pomelohall

#endif  // POMELOHALL_METRICS_COUNTER_H_
