#include "caller/write_turns.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

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

  // @param link_bytes_per_second Rate of the link; 0 if unknown.
  explicit write_turns_fixture(double link_bytes_per_second = 0)
      : turns_(link_bytes_per_second) {}

  // Returns a writer that has asked for a turn.
  std::shared_ptr<fake_writer> Request(std::uint64_t bytes) {
    auto writer = std::make_shared<fake_writer>(bytes);
    writer->began_ = turns_.Request(writer, bytes, now_);
    return writer;
  }

  // Lets the time pass while a caller takes some bytes at each 100 ms.
  void Advance(milliseconds time, fake_writer& reader, std::uint64_t bytes) {
    Advance(time, {&reader}, bytes);
  }
  void Advance(milliseconds time, const std::vector<fake_writer*>& readers,
               std::uint64_t bytes) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(100)) {
      now_ += milliseconds(100);
      for (auto* const reader : readers) {
        reader->unacknowledged_ -= std::min(reader->unacknowledged_, bytes);
      }
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

class known_link_fixture : public write_turns_fixture {
 protected:
  known_link_fixture() : write_turns_fixture(1'000'000) {}
};

// Guards against callers that read slowly and get their responses one after the
// other although the link could carry all at once.
TEST_CASE_METHOD(known_link_fixture,
                 "WriteTurns_CallersReadSlowly_OthersBeginBeside", "[caller]") {
  std::vector<std::shared_ptr<fake_writer>> writers;
  std::vector<fake_writer*> begun;
  writers.reserve(5);
  for (int i = 0; i < 5; ++i) writers.push_back(Request(kBytes));
  const std::vector<std::size_t> expected{1, 2, 4, 5};
  for (const auto count : expected) {
    begun.clear();
    for (const auto& writer : writers) {
      if (writer->began_) begun.push_back(writer.get());
    }
    CHECK(begun.size() == count);
    Advance(milliseconds(200), begun, 8000);  // 80 kB/s each.
  }
}

// Guards against a response that begins although the link is too slow for it:
// buffers on the way had taken an earlier one faster than the link.
TEST_CASE_METHOD(known_link_fixture,
                 "WriteTurns_RateAboveThatOfTheLink_DoesNotCount", "[caller]") {
  const auto [time_left, begins] = GENERATE(
      std::pair{milliseconds(400), true}, std::pair{milliseconds(200), false});
  const auto first = Request(kBytes);
  Advance(milliseconds(100), *first, kBytes);  // 3 MB/s.
  turns_.SetEnd(now_ + time_left);
  CHECK(Request(kBytes)->began_ == begins);
}

class fast_link_fixture : public write_turns_fixture {
 protected:
  static constexpr std::uint64_t kLinkRate = 17'500'000;

  fast_link_fixture() : write_turns_fixture(kLinkRate) {}
};

// Guards against a fast link that stands idle between responses, as the next
// one begins only when the last byte of the one before is known to have left.
TEST_CASE_METHOD(fast_link_fixture,
                 "WriteTurns_ManyResponsesOnAFastLink_LinkStaysBusy",
                 "[caller]") {
  std::vector<std::shared_ptr<fake_writer>> writers;
  writers.reserve(40);
  for (int i = 0; i < 40; ++i) writers.push_back(Request(100'000));
  std::size_t most_at_once = 0;
  // The link carries all of them in 230 ms.
  for (int step = 0; step < 25; ++step) {
    now_ += milliseconds(10);
    auto carried = kLinkRate / 100;
    std::size_t at_once = 0;
    for (const auto& writer : writers) {
      if (!writer->began_ || writer->unacknowledged_ == 0) continue;
      ++at_once;
      const auto bytes = std::min(carried, writer->unacknowledged_);
      writer->unacknowledged_ -= bytes;
      carried -= bytes;
    }
    most_at_once = std::max(most_at_once, at_once);
    turns_.Poll(now_);
  }
  const auto done = std::count_if(
      writers.begin(), writers.end(),
      [](const auto& writer) { return writer->unacknowledged_ == 0; });
  CHECK(done == 40);
  CHECK(most_at_once <= 5);
}

// Guards against responses that share a link which the first one fills.
TEST_CASE_METHOD(known_link_fixture, "WriteTurns_LinkIsFull_NextWaits",
                 "[caller]") {
  const auto first = Request(3 * kBytes);
  const auto next = Request(3 * kBytes);
  Advance(milliseconds(800), *first, 90'000);  // 900 kB/s.
  CHECK_FALSE(next->began_);
}

// Guards against responses that all begin at once when something else fills the
// link: they take it from each other, and all are late.
TEST_CASE_METHOD(known_link_fixture,
                 "WriteTurns_RateDropsWhenOthersBegin_NoMoreBegin",
                 "[caller]") {
  const auto first = Request(kBytes);
  const auto second = Request(kBytes);
  const auto third = Request(kBytes);
  Advance(milliseconds(200), *first, 20'000);  // 200 kB/s.
  CHECK(second->began_);
  Advance(milliseconds(500), {first.get(), second.get()}, 10'000);
  CHECK_FALSE(third->began_);
}

}  // namespace
}  // namespace pomelohall
