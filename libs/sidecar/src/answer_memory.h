#ifndef POMELOHALL_SIDECAR_SRC_ANSWER_MEMORY_H_
#define POMELOHALL_SIDECAR_SRC_ANSWER_MEMORY_H_

#include <cstdint>
#include <functional>
#include <map>

namespace pomelohall {

// Memory for answers that are read completely while the daemon stops.
//
// An answer holds its memory until it has been written, and one on a stalled
// link until the end of the stop. An answer therefore gets memory only if a
// multiple of its size is free, so that large answers leave memory for smaller
// ones. The smallest waiting answer goes first.
class answer_memory {
 public:
  // Hands memory to an answer that has waited for it. Returns false if the
  // answer needs none any more.
  using grant_handler = std::function<bool()>;

  // Reserves memory for an answer. Release() has to follow if it returns true.
  // Otherwise `on_granted` is called when there is memory, and Release() has to
  // follow if that returns true.
  // @param bytes At most kMaxAnswerBytes.
  bool Reserve(std::uint64_t bytes, grant_handler on_granted);

  // Releases memory, which may call handlers of waiting answers. These may
  // reserve and release memory themselves.
  void Release(std::uint64_t bytes);

  // Larger answers are forwarded while they arrive, also while the daemon
  // stops. Bounds the share of one answer in the memory.
  static constexpr std::uint64_t kMaxAnswerBytes = 4UL * 1024 * 1024;

 private:
  // Memory of all answers, in bytes.
  static constexpr std::uint64_t kMaxBytes = 32UL * 1024 * 1024;
  // Multiple of an answer's size that must be free. With 4, five answers of
  // 4 MiB leave 12 MiB to smaller ones, enough for 38 of 300 kB.
  static constexpr std::uint64_t kMinFreeMultiple = 4;

  bool HasMemoryFor(std::uint64_t bytes) const;

  std::uint64_t reserved_ = 0;
  // By size, then by arrival. There is no memory for any of them.
  std::multimap<std::uint64_t, grant_handler> waiting_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_ANSWER_MEMORY_H_
