#include "write_turns.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A connection whose caller takes bytes when the test says so.
class fake_writer final : public turn_writer {
 public:
  explicit fake_writer(std::uint64_t bytes) : unacknowledged_(bytes) {}

  bool BeginTurn() override {
    began_ = true;
    return true;
  }
  std::optional<std::uint64_t> UnacknowledgedBytes() const override {
    return unacknowledged_;
  }

  bool began_ = false;
  std::uint64_t unacknowledged_;
};

class write_turns_fixture {
 protected:
  static constexpr std::uint64_t kBytes = 300'000;

  write_turns_fixture() { turns_.Start(); }

  // Returns a writer that has asked for a turn.
  std::shared_ptr<fake_writer> Request(std::uint64_t bytes) {
    auto writer = std::make_shared<fake_writer>(bytes);
    writer->began_ = turns_.Request(writer, bytes, now_);
    return writer;
  }

  // Lets the time pass while a caller takes some bytes at each 100 ms.
  void Advance(milliseconds time, fake_writer& reader, std::uint64_t bytes) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(100)) {
      now_ += milliseconds(100);
      reader.unacknowledged_ -= std::min(reader.unacknowledged_, bytes);
      turns_.Poll(now_);
    }
  }

  write_turns turns_;
  instant now_{seconds(100)};
};

// Guards against large responses that wait until the end of a stop behind one
// whose caller reads slowly but steadily.
TEST_CASE_METHOD(write_turns_fixture,
                 "WriteTurns_CallerReadsSlowly_NextBeginsAfterASecond",
                 "[caller]") {
  const auto slow = Request(kBytes);
  const auto next = Request(kBytes);
  REQUIRE(slow->began_);
  Advance(milliseconds(900), *slow, 1000);
  CHECK_FALSE(next->began_);
  Advance(milliseconds(200), *slow, 1000);
  CHECK(next->began_);
}

// Guards against a link that stays idle because one caller has read slowly, and
// against responses that are begun although they would be cut.
TEST_CASE_METHOD(write_turns_fixture,
                 "WriteTurns_LowRateSeen_BoundsOnlyTheLastSecond", "[caller]") {
  const auto [time_left, begins] = GENERATE(
      std::pair{milliseconds(1500), true}, std::pair{milliseconds(800), false});
  const auto slow = Request(90'000);
  Advance(milliseconds(900), *slow, 10'000);  // 100 kB/s.
  turns_.SetEnd(now_ + time_left);
  CHECK(Request(kBytes)->began_ == begins);
}

// Guards against a large response that keeps several smaller ones waiting.
TEST_CASE_METHOD(write_turns_fixture,
                 "WriteTurns_SeveralWait_SmallestBeginsFirst", "[caller]") {
  const auto first = Request(kBytes);
  const auto large = Request(3 * kBytes);
  const auto small = Request(kBytes / 2);
  Advance(milliseconds(100), *first, kBytes);
  CHECK(small->began_);
  CHECK_FALSE(large->began_);
}

}  // namespace
}  // namespace pomelohall
