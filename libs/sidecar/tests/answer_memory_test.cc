#include "answer_memory.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <vector>

namespace pomelohall {
namespace {

constexpr std::uint64_t kMiB = 1024UL * 1024;
constexpr std::uint64_t kMaxBytes = 32 * kMiB;
constexpr std::uint64_t kLarge = 4 * kMiB;
constexpr std::uint64_t kSmall = 300'000;

// Records which answers have memory.
class answer_memory_fixture {
 protected:
  // Returns whether the answer has memory at once.
  bool Reserve(std::uint64_t bytes) {
    const bool reserved = memory_.Reserve(bytes, [this, bytes] {
      if (needs_none_) return false;
      granted_.push_back(bytes);
      held_ += bytes;
      return true;
    });
    if (reserved) held_ += bytes;
    return reserved;
  }

  void Release(std::uint64_t bytes) {
    held_ -= bytes;
    memory_.Release(bytes);
  }

  // Returns how many answers of a size get memory at once. One more waits.
  int ReserveAll(std::uint64_t bytes) {
    int count = 0;
    while (Reserve(bytes)) ++count;
    return count;
  }

  answer_memory memory_;
  std::uint64_t held_ = 0;
  std::vector<std::uint64_t> granted_;  // Those that have waited, in order.
  bool needs_none_ = false;
};

// Guards against answers that wait until the end of a stop although they are
// ready, as larger ones on stalled links hold all the memory.
TEST_CASE_METHOD(answer_memory_fixture,
                 "AnswerMemory_LargeAnswersHoldTheirs_SmallOnesGetMemory",
                 "[sidecar]") {
  for (int i = 0; i < 8; ++i) Reserve(kLarge);
  int small = 0;
  for (int i = 0; i < 30; ++i) small += Reserve(kSmall) ? 1 : 0;
  CHECK(small == 30);
  // A size between them gets memory as well.
  CHECK(Reserve(kMiB / 2));
}

// Guards against memory without a bound, and against a rule that leaves most
// of it unused.
TEST_CASE_METHOD(answer_memory_fixture,
                 "AnswerMemory_AnswersOfOneSize_UseMostOfTheBound",
                 "[sidecar]") {
  const auto bytes = GENERATE(100'000UL, kSmall, kMiB, kLarge);
  CHECK(ReserveAll(bytes) >= 5);
  CHECK(held_ <= kMaxBytes);
  CHECK(held_ > kMaxBytes / 2);
  // Smaller ones never exceed it, either.
  ReserveAll(bytes / 2);
  ReserveAll(bytes / 8);
  CHECK(held_ <= kMaxBytes);
}

// Guards against a small answer that waits behind large ones.
TEST_CASE_METHOD(answer_memory_fixture,
                 "AnswerMemory_SeveralWait_SmallestGetsItFirst", "[sidecar]") {
  ReserveAll(kSmall);  // One more waits.
  REQUIRE_FALSE(Reserve(kLarge));
  REQUIRE_FALSE(Reserve(kMiB));
  REQUIRE_FALSE(Reserve(2 * kSmall));
  REQUIRE(granted_.empty());
  while (held_ > kMaxBytes / 4) Release(kSmall);
  CHECK(granted_ ==
        std::vector<std::uint64_t>{kSmall, 2 * kSmall, kMiB, kLarge});
}

// Guards against memory that is lost to requests which have ended while they
// waited for it.
TEST_CASE_METHOD(answer_memory_fixture,
                 "AnswerMemory_WaitingRequestHasEnded_TakesNone", "[sidecar]") {
  const int count = ReserveAll(kLarge);
  needs_none_ = true;
  for (int i = 0; i < count; ++i) Release(kLarge);
  needs_none_ = false;
  CHECK(held_ == 0);
  CHECK(ReserveAll(kLarge) == count);
}

}  // namespace
}  // namespace pomelohall
