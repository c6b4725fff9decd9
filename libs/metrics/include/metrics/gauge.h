#ifndef POMELOHALL_METRICS_GAUGE_H_
#define POMELOHALL_METRICS_GAUGE_H_

#include <atomic>
#include <cstdint>

namespace pomelohall {

/// An integer value that can go up and down. Thread-safe.
class gauge {
 public:
  void Set(std::int64_t value) {
    value_.store(value, std::memory_order_relaxed);
  }
  void Add(std::int64_t amount) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::int64_t Value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

}  // namespace pomelohall

#endif  // POMELOHALL_METRICS_GAUGE_H_
