#include "mesh/work_queue.h"

#include <catch2/catch.hpp>
#include <map>
#include <queue>
#include <vector>

#include "base/random.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A backend server with two slots whose requests take 100 ms.
class work_queue_fixture {
 protected:
  static constexpr std::size_t kSlots = 2;
  static constexpr auto kRunTime = milliseconds(100);

  work_queue_fixture() : queue_({.slots = kSlots}) {
    for (const char* work_class : {"lookup", "order"}) {
      for (int i = 0; i < 50; ++i) {
        const auto id = Offer(work_class, 1, seconds(10), seconds(10));
        queue_.OnFinished(id, kRunTime);
      }
    }
    running_.clear();
    last_decision_ = queue_decision::kRefuse;
  }

  std::uint64_t Offer(const std::string& work_class, int priority,
                      duration target, duration give_up) {
    const std::uint64_t id = ++last_id_;
    last_decision_ = queue_.Offer({.id = id,
                                   .work_class = work_class,
                                   .priority = priority,
                                   .target_at = now_ + target,
                                   .deadline = now_ + give_up},
                                  now_);
    if (last_decision_ == queue_decision::kRun) running_.push_back(id);
    return id;
  }

  void FillSlots() {
    for (std::size_t i = 0; i < kSlots; ++i) {
      Offer("lookup", 2, seconds(1), seconds(2));
    }
  }

  void FinishOne() {
    queue_.OnFinished(running_.front(), kRunTime);
    running_.erase(running_.begin());
  }

  work_queue queue_;
  instant now_{seconds(100)};
  queue_decision last_decision_ = queue_decision::kRefuse;
  std::uint64_t last_id_ = 0;
  std::vector<std::uint64_t> running_;
};

// Guards against running more requests on a backend server than it has slots.
TEST_CASE_METHOD(work_queue_fixture, "WorkQueue_FreeSlots_RunsAtOnce",
                 "[mesh]") {
  FillSlots();
  CHECK(running_.size() == kSlots);
  Offer("lookup", 2, seconds(1), seconds(2));
  CHECK(last_decision_ == queue_decision::kWait);
  CHECK(queue_.Load().waiting == 1);
}

// Guards against a request that waits although its sender can try other
// backend servers, which may have a free slot.
TEST_CASE_METHOD(work_queue_fixture, "WorkQueue_WaitAboveItsMaximum_IsRefused",
                 "[mesh]") {
  FillSlots();
  const work_item item{.id = 1000,
                       .work_class = "lookup",
                       .target_at = now_ + seconds(1),
                       .deadline = now_ + seconds(2),
                       .max_wait = milliseconds(10)};
  CHECK(queue_.Offer(item, now_) == queue_decision::kRefuse);
  FinishOne();
  CHECK(queue_.Offer(item, now_) == queue_decision::kRun);
}

// Guards against urgent work that waits behind less urgent work.
TEST_CASE_METHOD(work_queue_fixture, "WorkQueue_UrgentWork_RunsFirst",
                 "[mesh]") {
  FillSlots();
  Offer("lookup", 2, seconds(1), seconds(2));
  const auto order = Offer("order", 1, seconds(1), seconds(2));
  FinishOne();
  CHECK(queue_.Next(now_) == order);
}

// Guards against queueing a request that is expected to miss its deadline.
TEST_CASE_METHOD(work_queue_fixture, "WorkQueue_NoTimeToRun_RefusesAtOnce",
                 "[mesh]") {
  Offer("lookup", 2, seconds(1), milliseconds(50));
  CHECK(last_decision_ == queue_decision::kRefuse);
  FillSlots();
  Offer("lookup", 2, milliseconds(120), milliseconds(140));
  CHECK(last_decision_ == queue_decision::kRefuse);
}

// Guards against a class that is refused forever: after one run that took
// longer than all later requests have, none would run, and so none would show
// that the backend server is quick again.
TEST_CASE_METHOD(work_queue_fixture,
                 "WorkQueue_OutdatedRunTime_IsMeasuredAgain", "[mesh]") {
  const auto slow = Offer("report", 1, seconds(1), seconds(10));
  now_ += seconds(9);
  queue_.OnFinished(slow, seconds(9));
  running_.clear();
  int refused = 0;
  for (int i = 0; i < 100; ++i) {
    now_ += seconds(1);
    Offer("report", 1, seconds(1), seconds(8));
    if (last_decision_ == queue_decision::kRefuse) ++refused;
    if (last_decision_ == queue_decision::kRun) FinishOne();
  }
  CHECK(refused <= 20);
}

// Guards against a run for that reason whose response the link cannot send
// before the deadline.
TEST_CASE_METHOD(work_queue_fixture,
                 "WorkQueue_OutdatedRunTimeAndFullLink_IsRefused", "[mesh]") {
  now_ += seconds(60);
  const work_item item{.id = 1000,
                       .work_class = "lookup",
                       .target_at = now_ + seconds(1),
                       .deadline = now_ + seconds(2),
                       .link_free_at = now_ + milliseconds(1900),
                       .link_time = milliseconds(200)};
  CHECK(queue_.Offer(item, now_) == queue_decision::kRefuse);
}

// Guards against a slot for work that can no longer meet its deadline.
TEST_CASE_METHOD(work_queue_fixture, "WorkQueue_WaitedTooLong_IsRemoved",
                 "[mesh]") {
  FillSlots();
  const auto id = Offer("lookup", 2, milliseconds(300), milliseconds(400));
  CHECK(queue_.TakeExpired(now_).empty());
  now_ += milliseconds(310);
  CHECK(queue_.TakeExpired(now_) == std::vector<std::uint64_t>{id});
  FinishOne();
  CHECK_FALSE(queue_.Next(now_));
}

// Guards against a slot for work whose deadline became earlier while it waits,
// as its caller's daemon stops.
TEST_CASE_METHOD(work_queue_fixture, "WorkQueue_LimitedDeadline_IsKept",
                 "[mesh]") {
  FillSlots();
  const auto limited = Offer("lookup", 2, seconds(2), seconds(3));
  const auto other = Offer("lookup", 2, seconds(2), seconds(3));
  queue_.LimitDeadline(limited, now_ + milliseconds(400));
  queue_.LimitDeadline(other, now_ + seconds(4));
  CHECK(queue_.TakeExpired(now_).empty());
  now_ += milliseconds(310);
  CHECK(queue_.TakeExpired(now_) == std::vector<std::uint64_t>{limited});
  FinishOne();
  CHECK(queue_.Next(now_) == other);
}

// Guards against a slot or queue entry that stays occupied by work whose caller
// has disconnected.
TEST_CASE_METHOD(work_queue_fixture,
                 "WorkQueue_CallerDisconnected_FreesItsPlace", "[mesh]") {
  FillSlots();
  const auto id = Offer("lookup", 2, seconds(1), seconds(2));
  queue_.Remove(id);
  FinishOne();
  CHECK_FALSE(queue_.Next(now_));
  queue_.OnFinished(running_.front(), std::nullopt);
  CHECK(queue_.Load().running == 0);
}

// Guards against refusing a call of a running request because of waiting
// requests that would run after it. The running request would then fail, and
// the work already done would be lost.
TEST_CASE_METHOD(work_queue_fixture, "WorkQueue_ShortCall_GoesBeforeNewWork",
                 "[mesh][load]") {
  FillSlots();
  for (int i = 0; i < 12; ++i) Offer("lookup", 1, seconds(2), seconds(3));
  const auto call = Offer("order", 1, milliseconds(250), milliseconds(600));
  CHECK(last_decision_ == queue_decision::kWait);
  FinishOne();
  CHECK(queue_.Next(now_) == call);
}

// Guards against admitting late work because its past target seems to put it
// first in the queue. It would then wait until its deadline.
TEST_CASE_METHOD(work_queue_fixture, "WorkQueue_LateWorkUnderLoad_IsRefused",
                 "[mesh][load]") {
  FillSlots();
  for (int i = 0; i < 12; ++i) Offer("lookup", 1, seconds(2), seconds(3));
  Offer("lookup", 1, milliseconds(0), seconds(2));
  CHECK(last_decision_ == queue_decision::kRefuse);
}

/// Simulates a burst: for five seconds callers send twice what the backend
/// server can run. Counts the responses within the target of 600 ms.
class burst_simulation {
 public:
  struct outcome {
    int in_time = 0;
    int late = 0;
    int refused = 0;
  };

  /// @param bounded False to let work wait in order of arrival without a limit,
  ///   as without admission control.
  explicit burst_simulation(bool bounded) : bounded_(bounded) {}

  std::map<int, outcome> Run() {
    random_source random(17);
    instant now{seconds(10)};
    const auto end = now + seconds(5);
    while (now < end) {
      now += milliseconds(5);  // 200 arrivals a second; 100 can be run.
      EndUntil(now);
      Arrive(now, random.Below(4) == 0 ? 1 : 2);
    }
    EndUntil(now + seconds(30));
    return outcomes_;
  }

 private:
  static constexpr auto kRunTime = milliseconds(100);
  static constexpr auto kTarget = milliseconds(600);

  struct arrival {
    instant at;
    int priority;
  };

  void Arrive(instant now, int priority) {
    const std::uint64_t id = ++last_id_;
    arrivals_[id] = {now, priority};
    const auto deadline = bounded_ ? milliseconds(1200) : seconds(1000);
    const auto target = bounded_ ? duration(kTarget) : seconds(1000);
    const auto decision = queue_.Offer({.id = id,
                                        .work_class = "all",
                                        .priority = bounded_ ? priority : 0,
                                        .target_at = now + target,
                                        .deadline = now + deadline},
                                       now);
    if (decision == queue_decision::kRun) ends_.push({now + kRunTime, id});
    if (decision == queue_decision::kRefuse) ++outcomes_[priority].refused;
  }

  void EndUntil(instant now) {
    while (!ends_.empty() && ends_.top().first <= now) {
      const auto [at, id] = ends_.top();
      ends_.pop();
      queue_.OnFinished(id, kRunTime);
      Count(id, at);
      if (bounded_) {
        for (const auto expired : queue_.TakeExpired(at)) {
          ++outcomes_[arrivals_[expired].priority].refused;
        }
      }
      while (const auto next = queue_.Next(at))
        ends_.push({at + kRunTime, *next});
    }
  }

  void Count(std::uint64_t id, instant at) {
    const auto& arrival = arrivals_[id];
    auto& outcome = outcomes_[arrival.priority];
    ++(at - arrival.at <= kTarget ? outcome.in_time : outcome.late);
  }

  using end = std::pair<instant, std::uint64_t>;
  const bool bounded_;
  work_queue queue_{{.slots = 10}};
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, arrival> arrivals_;
  std::priority_queue<end, std::vector<end>, std::greater<>> ends_;
  std::map<int, outcome> outcomes_;
};

// Guards against congestion collapse at twice the capacity. In order of arrival
// nearly every response is late; with admission control the whole capacity of
// the backend server (100 of 200 requests per second) goes into responses
// within their target.
TEST_CASE("WorkQueue_TwiceTheLoad_SpendsItsCapacityInTime", "[mesh][load]") {
  auto unbounded = burst_simulation(false).Run();
  auto bounded = burst_simulation(true).Run();
  const int unbounded_in_time = unbounded[1].in_time + unbounded[2].in_time;
  const int bounded_in_time = bounded[1].in_time + bounded[2].in_time;
  CAPTURE(unbounded_in_time, bounded_in_time);
  CHECK(bounded_in_time > 450);  // Of the 500 that can be run.
  CHECK(bounded_in_time > 2 * unbounded_in_time);
}

// Guards against urgent work that is refused or late while less urgent work
// runs. Urgent work is a quarter of the arrivals and half of the capacity.
TEST_CASE("WorkQueue_TwiceTheLoad_ServesUrgentWorkInTime", "[mesh][load]") {
  auto outcomes = burst_simulation(true).Run();
  const auto& urgent = outcomes[1];
  CAPTURE(urgent.in_time, urgent.late, urgent.refused);
  CHECK(urgent.refused == 0);
  CHECK(urgent.late == 0);
}

// Guards against a mean run time that stays long after a backend server has
// recovered: the others avoid it, so it gets only a request now and then.
TEST_CASE_METHOD(work_queue_fixture,
                 "WorkQueue_RareRequests_UpdateTheMeanRunTime", "[mesh]") {
  for (int i = 0; i < 50; ++i) {
    queue_.OnFinished(Offer("lookup", 1, seconds(10), seconds(10)),
                      16 * kRunTime);
    now_ += milliseconds(100);
  }
  CHECK(queue_.Load().mean_time > 15 * kRunTime);
  // Among frequent requests, a short one is no recovery.
  now_ += milliseconds(100);
  queue_.OnFinished(Offer("lookup", 1, seconds(10), seconds(10)), kRunTime);
  CHECK(queue_.Load().mean_time > 5 * kRunTime);
  for (int i = 0; i < 5; ++i) {
    now_ += seconds(4);
    queue_.OnFinished(Offer("lookup", 1, seconds(10), seconds(10)), kRunTime);
  }
  CHECK(queue_.Load().mean_time < 2 * kRunTime);
  CHECK(queue_.MeanRunTime("lookup") < 2 * kRunTime);
}

}  // namespace
}  // namespace pomelohall
