#include "policy/admission_controller.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An admission controller whose backend server has completed its slow start.
class admission_fixture {
 protected:
  admission_fixture() {
    admission_.SetSlots(kSlots, now_);
    const auto warm = Submit("warm", class_kind::kDownload);
    now_ += seconds(10);
    Finish(warm, seconds(10));
    started_.clear();
  }

  request_id Submit(const std::string& work_class, class_kind kind,
                    duration within = seconds(60), bool exclusive = false) {
    const request_id id = ++last_;
    class_of_[id] = work_class;
    RecordDecisions(admission_.Submit(
        {id, kind, work_class, now_ + within, exclusive}, now_));
    return id;
  }

  request_id SubmitExclusive() {
    return Submit("alone", class_kind::kLookup, seconds(60), true);
  }

  void Finish(request_id id, duration latency) {
    running_.erase(id);
    RecordDecisions(admission_.Finish(id, latency, true, now_));
  }

  void RecordDecisions(const std::vector<admission_decision>& decisions) {
    for (const auto& decision : decisions) {
      CHECK(decided_.insert(decision.id).second);
      if (decision.refused) {
        CHECK(decision.refused->ran == run_state::kNotRun);
        refused_.emplace(decision.id, decision.refused->kind);
      } else {
        running_.insert(decision.id);
        ++started_[class_of_[decision.id]];
      }
    }
  }

  /// Completes all running requests after `latency`, `rounds` times.
  void CompleteRounds(int rounds, duration latency) {
    for (int i = 0; i < rounds; ++i) {
      now_ += latency;
      for (const auto id : std::set<request_id>(running_)) Finish(id, latency);
    }
  }

  void SubmitLookups(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      Submit("lookup", class_kind::kLookup);
    }
  }

  bool Refused(request_id id, error_kind kind) const {
    const auto found = refused_.find(id);
    return found != refused_.end() && found->second == kind;
  }

  std::size_t RefusedCount(const std::string& work_class) const {
    std::size_t count = 0;
    for (const auto& [id, kind] : refused_) {
      count += class_of_.at(id) == work_class ? 1U : 0U;
    }
    return count;
  }

  static constexpr std::uint32_t kSlots = 20;

  instant now_{seconds(100)};
  admission_controller admission_;
  request_id last_ = 0;
  std::map<request_id, std::string> class_of_;
  std::set<request_id> decided_;
  std::set<request_id> running_;
  std::map<request_id, error_kind> refused_;
  std::map<std::string, int> started_;
};

}  // namespace

// Guards against more requests on a backend server than it has slots.
TEST_CASE_METHOD(admission_fixture, "Submit_ManyRequests_StartsUpToSlots") {
  SubmitLookups(60);
  CHECK(admission_.InFlight() == kSlots);
  CHECK(admission_.Queued() == 40);
  CompleteRounds(3, milliseconds(10));
  CHECK(started_["lookup"] == 60);
  CHECK(refused_.empty());
}

// Guards against a request that is queued behind one with a later deadline.
TEST_CASE_METHOD(admission_fixture, "Submit_EarlierDeadline_StartsFirst") {
  SubmitLookups(kSlots);
  const auto late = Submit("lookup", class_kind::kLookup, seconds(50));
  const auto early = Submit("lookup", class_kind::kLookup, seconds(40));
  Finish(*running_.begin(), milliseconds(10));
  CHECK(running_.contains(early));
  CHECK_FALSE(running_.contains(late));
}

// Guards against running a request whose caller has stopped waiting.
TEST_CASE_METHOD(admission_fixture, "Tick_DeadlinePassed_RefusedNotRun") {
  SubmitLookups(kSlots);
  const auto id = Submit("lookup", class_kind::kLookup, milliseconds(5));
  now_ += milliseconds(5);
  RecordDecisions(admission_.Tick(now_));
  CHECK(Refused(id, error_kind::kDeadlineExceeded));
  CHECK(Refused(Submit("lookup", class_kind::kLookup, duration{0}),
                error_kind::kDeadlineExceeded));
}

// Guards against a slot spent on a request that cannot complete in time, and
// against a latency estimate that refuses a class permanently.
TEST_CASE_METHOD(admission_fixture,
                 "Tick_CannotCompleteInTime_RefusedWhileClassRuns") {
  for (int i = 0; i < 20; ++i) {
    Submit("slow", class_kind::kLookup);
    CompleteRounds(1, seconds(1));
  }
  const auto last = Submit("slow", class_kind::kLookup);
  SubmitLookups(kSlots - 1);
  const auto late = Submit("slow", class_kind::kLookup, milliseconds(900));
  const auto timely = Submit("slow", class_kind::kLookup, milliseconds(1'100));
  CHECK(Refused(late, error_kind::kDeadlineExceeded));
  CHECK_FALSE(decided_.contains(timely));
  Finish(last, seconds(1));
  CHECK(running_.contains(timely));
  Finish(timely, seconds(1));
  SubmitLookups(1);
  const auto tried = Submit("slow", class_kind::kLookup, milliseconds(900));
  CompleteRounds(1, milliseconds(1));
  CHECK(started_["slow"] == 23);
  CHECK_FALSE(refused_.contains(tried));
}

// Guards against an unbounded queue.
TEST_CASE_METHOD(admission_fixture, "Submit_QueueOfClassFull_Overloaded") {
  SubmitLookups(kSlots + 100);
  CHECK(refused_.empty());
  CHECK(
      Refused(Submit("lookup", class_kind::kLookup), error_kind::kOverloaded));
  CHECK(admission_.Queued() == 100);
}

// Guards against refusing transactions while lookups or downloads are queued.
TEST_CASE_METHOD(admission_fixture, "Submit_QueuesFull_ShedsInOrder") {
  SubmitLookups(kSlots + 100);
  for (int i = 0; i < 100; ++i) Submit("scan", class_kind::kDownload);
  CHECK(refused_.empty());
  for (int i = 0; i < 100; ++i) Submit("order", class_kind::kTransaction);
  CHECK(refused_.size() == 100);
  for (const auto& [id, kind] : refused_) {
    CHECK(class_of_[id] == "scan");
    CHECK(kind == error_kind::kOverloaded);
  }
  Submit("invoice", class_kind::kTransaction);
  CHECK(RefusedCount("lookup") == 1);
  CHECK(
      Refused(Submit("scan", class_kind::kDownload), error_kind::kOverloaded));
}

// Guards against starvation of a class, and against downloads that delay
// transactions.
TEST_CASE_METHOD(admission_fixture, "Finish_AllClassesQueued_SharesByWeight") {
  for (int i = 0; i < 5; ++i) {
    for (int j = 0; j < 60; ++j) {
      Submit("scan", class_kind::kDownload);
      Submit("order", class_kind::kTransaction);
      Submit("lookup", class_kind::kLookup);
    }
    CompleteRounds(4, milliseconds(10));
  }
  CHECK(started_["scan"] > 10);
  CHECK(started_["lookup"] > 2 * started_["scan"]);
  CHECK(started_["order"] > started_["lookup"]);
}

// Guards against a class that waits because it used free slots earlier, while
// no other class had requests: its requests then waited until the other class
// had used as much, here 250 lookups for 1000 orders.
TEST_CASE_METHOD(admission_fixture,
                 "Submit_AfterUseOfFreeSlots_SharesByWeight") {
  for (int i = 0; i < 1000; ++i) {
    const auto id = Submit("order", class_kind::kTransaction);
    now_ += milliseconds(10);
    Finish(id, milliseconds(10));
  }
  SubmitLookups(kSlots + 80);
  started_.clear();
  for (int i = 0; i < 20; ++i) Submit("order", class_kind::kTransaction);
  CompleteRounds(3, milliseconds(10));
  CHECK(started_["order"] == 20);
  CHECK(started_["lookup"] > 0);
}

// Guards against a transaction that has to wait for a download to finish.
TEST_CASE_METHOD(admission_fixture, "Submit_Downloads_LeaveSlotsFree") {
  for (int i = 0; i < 40; ++i) Submit("scan", class_kind::kDownload);
  CHECK(admission_.InFlight() == 15);
  const auto id = Submit("order", class_kind::kTransaction);
  CHECK(running_.contains(id));
}

// Guards against new work on a draining server, and against refusing queued
// requests that still have time to run.
TEST_CASE_METHOD(admission_fixture, "SetDraining_Queued_RunsThenRefuses") {
  SubmitLookups(kSlots + 40);
  admission_.SetDraining(true);
  CHECK(Refused(Submit("lookup", class_kind::kLookup), error_kind::kDraining));
  CompleteRounds(1, milliseconds(10));
  CHECK(started_["lookup"] == 40);
  now_ += seconds(2);
  RecordDecisions(admission_.Tick(now_));
  CHECK(admission_.Queued() == 0);
  CHECK(admission_.InFlight() == kSlots);
  CHECK(refused_.size() == 21);
}

// Guards against an exclusive request (a quarantine suspect) that shares the
// backend server, and against exclusive requests that block all other work.
TEST_CASE_METHOD(admission_fixture, "Submit_Exclusive_RunsAloneAndAlternates") {
  SubmitLookups(2);
  const auto first = SubmitExclusive();
  const auto second = SubmitExclusive();
  SubmitLookups(5);
  CHECK(running_.size() == 2);
  CompleteRounds(1, milliseconds(10));
  CHECK(running_ == std::set<request_id>{first});
  SubmitLookups(5);
  CompleteRounds(1, milliseconds(10));
  CHECK(running_.size() == 10);
  CompleteRounds(1, milliseconds(10));
  CHECK(running_ == std::set<request_id>{second});
  CompleteRounds(1, milliseconds(10));
  CHECK(admission_.InFlight() == 0);
  CHECK(refused_.empty());
}

// Guards against an exclusive request that starves under continuous load.
TEST_CASE_METHOD(admission_fixture, "Submit_ExclusiveUnderLoad_RunsSoon") {
  const auto exclusive = SubmitExclusive();
  Finish(exclusive, milliseconds(1));
  SubmitLookups(80);
  const auto id = SubmitExclusive();
  int rounds = 0;
  while (!decided_.contains(id) && ++rounds < 10) {
    SubmitLookups(kSlots);
    CompleteRounds(1, milliseconds(10));
  }
  CHECK(rounds <= 3);
}

// Guards against one long download, or a request that never ends, that blocks
// all other work while an exclusive request waits for it.
TEST_CASE_METHOD(admission_fixture,
                 "Tick_ExclusiveWaitTimesOut_OthersContinue") {
  Submit("scan", class_kind::kDownload);
  const auto exclusive = SubmitExclusive();
  const auto order = Submit("order", class_kind::kTransaction);
  now_ += milliseconds(999);
  RecordDecisions(admission_.Tick(now_));
  CHECK_FALSE(decided_.contains(exclusive));
  CHECK_FALSE(decided_.contains(order));
  now_ += milliseconds(1);
  RecordDecisions(admission_.Tick(now_));
  CHECK(Refused(exclusive, error_kind::kOverloaded));
  CHECK(running_.contains(order));
  CHECK(Refused(SubmitExclusive(), error_kind::kOverloaded));
  now_ += seconds(10);
  CHECK_FALSE(decided_.contains(SubmitExclusive()));
}

// Guards against leaking a slot or a place in the queue.
TEST_CASE_METHOD(admission_fixture, "Cancel_QueuedOrRunning_FreesSlot") {
  SubmitLookups(kSlots);
  const auto queued = Submit("lookup", class_kind::kLookup);
  RecordDecisions(admission_.Cancel(queued, now_));
  CHECK(admission_.Queued() == 0);
  const auto next = Submit("lookup", class_kind::kLookup);
  const auto running = *running_.begin();
  RecordDecisions(admission_.Cancel(running, now_));
  CHECK(running_.contains(next));
  RecordDecisions(admission_.Cancel(running, now_));
  CHECK(admission_.InFlight() == kSlots);
}

// Guards against a concurrency limit that does not fall when latency rises
// under load, and against one that does not recover.
TEST_CASE_METHOD(admission_fixture, "Finish_LatencyRises_LowersTheLimit") {
  for (int i = 0; i < 50; ++i) {
    SubmitLookups(kSlots);
    CompleteRounds(1, milliseconds(10));
  }
  CHECK(admission_.Limit() == kSlots);
  for (int i = 0; i < 10; ++i) {
    SubmitLookups(kSlots);
    CompleteRounds(1, milliseconds(100));
  }
  CHECK(admission_.Limit() <= kSlots / 2);
  for (int i = 0; i < 100; ++i) {
    SubmitLookups(kSlots);
    CompleteRounds(1, milliseconds(10));
  }
  CHECK(admission_.Limit() >= kSlots - 2);
}

// Guards against a cold backend server that gets all its slots at once.
TEST_CASE_METHOD(admission_fixture, "SetSlots_NewServer_StartsSlowly") {
  admission_.SetSlots(0, now_);
  CHECK(Refused(Submit("lookup", class_kind::kLookup),
                error_kind::kNoBackendServer));
  admission_.SetSlots(kSlots, now_);
  CHECK(admission_.Limit() == 2);
  now_ += seconds(30);
  CHECK(admission_.Limit() == 2);
  const auto id = Submit("lookup", class_kind::kLookup);
  now_ += seconds(5);
  Finish(id, seconds(5));
  CHECK(admission_.Limit() == 11);
}

// Guards against requests queued for a server that no longer exists.
TEST_CASE_METHOD(admission_fixture, "Tick_NoServer_RefusesTheQueue") {
  SubmitLookups(kSlots + 5);
  admission_.SetSlots(0, now_);
  RecordDecisions(admission_.Tick(now_));
  CHECK(refused_.size() == 5);
  CHECK(admission_.InFlight() == kSlots);
}

}  // namespace pomelohall
