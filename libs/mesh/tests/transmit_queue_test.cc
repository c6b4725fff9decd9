#include "mesh/transmit_queue.h"

#include <catch2/catch.hpp>
#include <unordered_map>
#include <vector>

#include "mesh/work_queue.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A link that carries 1 MB a second and answers of 100 kB.
class transmit_queue_fixture {
 protected:
  static constexpr std::uint64_t kBytes = 100'000;
  static constexpr auto kTime = milliseconds(100);

  transmit_queue_fixture() : link_({.bytes_per_second = 1e6}) {
    link_.OnAnswer("proof", kBytes);
    link_.OnAnswer("lookup", 1000);
  }

  void Add(std::uint64_t id, duration target) {
    link_.Add({.id = id, .bytes = kBytes, .target_at = now_ + target});
  }

  transmit_queue link_;
  instant now_{seconds(100)};
};

// Guards against answers that share the link and are all late.
TEST_CASE_METHOD(transmit_queue_fixture,
                 "TransmitQueue_TwoAnswers_LeaveOneAfterTheOther", "[mesh]") {
  Add(1, seconds(1));
  Add(2, seconds(1));
  CHECK(link_.Next(now_) == 1U);
  CHECK_FALSE(link_.Next(now_).has_value());
  CHECK(link_.Next(link_.FreeAt()) == 2U);
  CHECK(link_.Empty());
}

// Guards against an answer that misses its target and makes the next one miss
// it as well.
TEST_CASE_METHOD(transmit_queue_fixture,
                 "TransmitQueue_LateAnswer_YieldsToOneInTime", "[mesh]") {
  Add(1, milliseconds(50));
  Add(2, seconds(1));
  Add(3, milliseconds(500));
  CHECK(link_.Next(now_) == 3U);
  CHECK(link_.Next(now_ + kTime) == 2U);
  CHECK(link_.Next(now_ + 2 * kTime) == 1U);
}

// Guards against a wait of the small answers that running requests need.
TEST_CASE_METHOD(transmit_queue_fixture, "TransmitQueue_SmallAnswer_IsNotPaced",
                 "[mesh]") {
  CHECK_FALSE(link_.IsPaced(1000));
  CHECK(link_.IsPaced(kBytes));
  CHECK(link_.ExpectedTime("lookup") == duration(0));
  CHECK(link_.ExpectedTime("proof") == kTime);
  CHECK(link_.ExpectedTime("unknown") == duration(0));
}

// Guards against waits on links whose rate is not known.
TEST_CASE("TransmitQueue_NoRate_PacesNothing", "[mesh]") {
  const transmit_queue link({});
  CHECK_FALSE(link.IsPaced(1'000'000'000));
}

// Guards against time on the link that is counted for requests that ended.
TEST_CASE_METHOD(transmit_queue_fixture,
                 "TransmitQueue_EndedRequest_FreesItsPromise", "[mesh]") {
  link_.Promise(1, "proof");
  link_.Promise(2, "proof");
  Add(3, seconds(1));
  CHECK(link_.DoneAt(now_) == now_ + 3 * kTime);
  link_.Withdraw(1);
  link_.Withdraw(1);
  link_.Remove(3);
  CHECK(link_.DoneAt(now_) == now_ + kTime);
}

// Guards against a link that is filled by large answers in turn and by others
// beside them: requests of the VM then waited for seconds behind them.
TEST_CASE_METHOD(transmit_queue_fixture,
                 "TransmitQueue_AnswersBesideTheQueue_TakeTheirTime",
                 "[mesh]") {
  Add(1, seconds(1));
  link_.OnSent(kBytes, now_);
  CHECK_FALSE(link_.Next(now_).has_value());
  CHECK(link_.Next(now_ + kTime) == 1U);
}

// Guards against late timers that leave the link unused between two answers.
TEST_CASE_METHOD(transmit_queue_fixture, "TransmitQueue_LateTurn_IsCaughtUp",
                 "[mesh]") {
  Add(1, seconds(1));
  Add(2, seconds(1));
  link_.Next(now_);
  link_.Next(link_.FreeAt() + milliseconds(5));
  CHECK(link_.FreeAt() <= now_ + 2 * kTime);
}

/// Replays callers that ask for twice what the link carries.
class link_overload {
 public:
  explicit link_overload(bool link_is_known)
      : link_is_known_(link_is_known), link_({.bytes_per_second = 1e6}) {
    link_.OnAnswer("proof", 100'000);
    for (int i = 0; i < 50; ++i) {
      queue_.Offer({.id = ++last_id_,
                    .work_class = "proof",
                    .target_at = now_ + seconds(9),
                    .give_up_at = now_ + seconds(9)},
                   now_);
      queue_.OnFinished(last_id_, kRunTime);
    }
  }

  /// Share of all requests whose answer left within its target.
  double Play() {
    const auto start = now_;
    while (now_ < start + seconds(20)) {
      if ((now_ - start) % milliseconds(50) == duration(0)) Arrive();
      FinishRuns();
      while (const auto id = link_.Next(now_)) {
        if (link_.FreeAt() <= targets_[*id]) ++in_time_;
      }
      now_ += milliseconds(1);
    }
    return static_cast<double>(in_time_) / static_cast<double>(arrived_);
  }

 private:
  static constexpr auto kRunTime = milliseconds(300);
  struct run {
    std::uint64_t id;
    instant ends_at;
  };

  void Arrive() {
    ++arrived_;
    const auto id = ++last_id_;
    work_item item{.id = id,
                   .work_class = "proof",
                   .target_at = now_ + milliseconds(1200),
                   .give_up_at = now_ + seconds(5)};
    if (link_is_known_) {
      item.link_free_at = link_.DoneAt(now_);
      item.link_time = link_.ExpectedTime("proof");
    }
    targets_[id] = item.target_at;
    if (queue_.Offer(item, now_) == work_verdict::kRefuse) return;
    link_.Promise(id, "proof");
    // The slots are enough for all, so nothing waits for a slot.
    runs_.push_back({id, now_ + kRunTime});
  }

  void FinishRuns() {
    while (!runs_.empty() && runs_.front().ends_at <= now_) {
      const auto id = runs_.front().id;
      runs_.erase(runs_.begin());
      queue_.OnFinished(id, kRunTime);
      link_.Withdraw(id);
      link_.Add({.id = id,
                 .bytes = 100'000,
                 .target_at = link_is_known_ ? targets_[id] : now_});
    }
  }

  const bool link_is_known_;
  transmit_queue link_;
  work_queue queue_{{.slots = 18}};
  instant now_{seconds(100)};
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, instant> targets_;
  std::vector<run> runs_;
  std::size_t arrived_ = 0;
  std::size_t in_time_ = 0;
};

// Guards against downloads that run although the link cannot carry them: with
// 20 requests a second and a link for 10, nearly all answers were late.
TEST_CASE("TransmitQueue_TwiceTheLink_ServesWhatItCarries", "[mesh]") {
  CHECK(link_overload(true).Play() > 0.45);
  CHECK(link_overload(false).Play() < 0.2);
}

}  // namespace
}  // namespace pomelohall
