#include "mesh/transmit_queue.h"

#include <catch2/catch.hpp>
#include <unordered_map>
#include <vector>

#include "mesh/work_queue.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A link that carries 1 MB/s, and responses of 100 kB.
class transmit_queue_fixture {
 protected:
  static constexpr std::uint64_t kBytes = 100'000;
  static constexpr auto kLinkTime = milliseconds(100);

  transmit_queue_fixture() : link_({.bytes_per_second = 1e6}) {
    link_.OnResponseSize("proof", kBytes);
    link_.OnResponseSize("lookup", 1000);
  }

  void Add(std::uint64_t id, duration target) {
    link_.Add({.id = id, .bytes = kBytes, .target_at = now_ + target});
  }

  transmit_queue link_;
  instant now_{seconds(100)};
};

// Guards against concurrent transmissions that make all responses late.
TEST_CASE_METHOD(transmit_queue_fixture,
                 "TransmitQueue_TwoAnswers_LeaveOneAfterTheOther", "[mesh]") {
  Add(1, seconds(1));
  Add(2, seconds(1));
  CHECK(link_.Next(now_) == 1U);
  CHECK_FALSE(link_.Next(now_).has_value());
  CHECK(link_.Next(link_.LinkFreeAt()) == 2U);
  CHECK(link_.Empty());
}

// Guards against a late response that makes the following ones late as well.
TEST_CASE_METHOD(transmit_queue_fixture,
                 "TransmitQueue_LateAnswer_YieldsToOneInTime", "[mesh]") {
  Add(1, milliseconds(50));
  Add(2, seconds(1));
  Add(3, milliseconds(500));
  CHECK(link_.Next(now_) == 3U);
  CHECK(link_.Next(now_ + kLinkTime) == 2U);
  CHECK(link_.Next(now_ + 2 * kLinkTime) == 1U);
}

// Guards against pacing the small responses that running requests wait for.
TEST_CASE_METHOD(transmit_queue_fixture, "TransmitQueue_SmallAnswer_IsNotPaced",
                 "[mesh]") {
  CHECK_FALSE(link_.IsPaced(1000));
  CHECK(link_.IsPaced(kBytes));
  CHECK(link_.ExpectedLinkTime("lookup") == duration(0));
  CHECK(link_.ExpectedLinkTime("proof") == kLinkTime);
  CHECK(link_.ExpectedLinkTime("unknown") == duration(0));
}

// Guards against pacing on links of unknown rate.
TEST_CASE("TransmitQueue_NoRate_PacesNothing", "[mesh]") {
  const transmit_queue link({});
  CHECK_FALSE(link.IsPaced(1'000'000'000));
}

// Guards against link time that stays reserved after its request has ended.
TEST_CASE_METHOD(transmit_queue_fixture,
                 "TransmitQueue_EndedRequest_FreesItsReservation", "[mesh]") {
  link_.Reserve(1, "proof");
  link_.Reserve(2, "proof");
  Add(3, seconds(1));
  CHECK(link_.DrainedAt(now_) == now_ + 3 * kLinkTime);
  link_.Release(1);
  link_.Release(1);
  link_.Remove(3);
  CHECK(link_.DrainedAt(now_) == now_ + kLinkTime);
}

// Guards against a link that is overloaded because the queue ignores responses
// sent outside of it. Requests of the VM then waited for seconds.
TEST_CASE_METHOD(transmit_queue_fixture,
                 "TransmitQueue_UnqueuedResponses_OccupyTheLink", "[mesh]") {
  Add(1, seconds(1));
  link_.OnSent(kBytes, now_);
  CHECK_FALSE(link_.Next(now_).has_value());
  CHECK(link_.Next(now_ + kLinkTime) == 1U);
}

// Guards against late timers that leave the link idle between two responses.
TEST_CASE_METHOD(transmit_queue_fixture,
                 "TransmitQueue_LateTimer_IsCompensated", "[mesh]") {
  Add(1, seconds(1));
  Add(2, seconds(1));
  link_.Next(now_);
  link_.Next(link_.LinkFreeAt() + milliseconds(5));
  CHECK(link_.LinkFreeAt() <= now_ + 2 * kLinkTime);
}

/// Simulates callers whose responses need twice the capacity of the link.
class link_overload_simulation {
 public:
  explicit link_overload_simulation(bool link_is_known)
      : link_is_known_(link_is_known), link_({.bytes_per_second = 1e6}) {
    link_.OnResponseSize("proof", 100'000);
    for (int i = 0; i < 50; ++i) {
      queue_.Offer({.id = ++last_id_,
                    .work_class = "proof",
                    .target_at = now_ + seconds(9),
                    .deadline = now_ + seconds(9)},
                   now_);
      queue_.OnFinished(last_id_, kRunTime);
    }
  }

  /// Returns the share of requests whose response was sent within its target.
  double Simulate() {
    const auto start = now_;
    while (now_ < start + seconds(20)) {
      if ((now_ - start) % milliseconds(50) == duration(0)) Arrive();
      FinishRuns();
      while (const auto id = link_.Next(now_)) {
        if (link_.LinkFreeAt() <= targets_[*id]) ++in_time_;
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
                   .deadline = now_ + seconds(5)};
    if (link_is_known_) {
      item.link_free_at = link_.DrainedAt(now_);
      item.link_time = link_.ExpectedLinkTime("proof");
    }
    targets_[id] = item.target_at;
    if (queue_.Offer(item, now_) == queue_decision::kRefuse) return;
    link_.Reserve(id, "proof");
    // There are enough slots for all requests, so none waits for one.
    runs_.push_back({id, now_ + kRunTime});
  }

  void FinishRuns() {
    while (!runs_.empty() && runs_.front().ends_at <= now_) {
      const auto id = runs_.front().id;
      runs_.erase(runs_.begin());
      queue_.OnFinished(id, kRunTime);
      link_.Release(id);
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

// Guards against running downloads that the link cannot carry: with 20 requests
// per second on a link for 10, nearly all responses were late.
TEST_CASE("TransmitQueue_TwiceTheLink_ServesWhatItCarries", "[mesh]") {
  CHECK(link_overload_simulation(true).Simulate() > 0.45);
  CHECK(link_overload_simulation(false).Simulate() < 0.2);
}

}  // namespace
}  // namespace pomelohall
