#ifndef POMELOHALL_CALLER_SRC_MEMORY_BUDGET_H_
#define POMELOHALL_CALLER_SRC_MEMORY_BUDGET_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace pomelohall {

// Memory that the connections of a server share, in bytes.
class memory_budget {
 public:
  explicit memory_budget(std::size_t total) : total_(total), free_(total) {}

  std::size_t Total() const { return total_; }
  bool Take(std::size_t bytes) {
    if (bytes > free_) return false;
    free_ -= bytes;
    return true;
  }
  void Return(std::size_t bytes) { free_ += bytes; }

 private:
  const std::size_t total_;
  std::size_t free_;
};

// What one connection has taken from a budget.
class memory_share {
 public:
  explicit memory_share(std::shared_ptr<memory_budget> budget)
      : budget_(std::move(budget)) {}
  ~memory_share() { budget_->Return(bytes_); }
  memory_share(const memory_share&) = delete;
  memory_share& operator=(const memory_share&) = delete;

  // Takes or returns the difference. Returns false, and changes nothing, if the
  // budget has less.
  bool Resize(std::size_t bytes) {
    if (bytes > bytes_ && !budget_->Take(bytes - bytes_)) return false;
    if (bytes < bytes_) budget_->Return(bytes_ - bytes);
    bytes_ = bytes;
    return true;
  }
  // Returns whether a share of this size can ever be taken.
  bool CanHold(std::size_t bytes) const { return bytes <= budget_->Total(); }

 private:
  std::shared_ptr<memory_budget> budget_;
  std::size_t bytes_ = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_SRC_MEMORY_BUDGET_H_
