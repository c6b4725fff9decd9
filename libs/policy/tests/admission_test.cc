#include "policy/admission.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An owner whose backend server has passed its slow start.
class admission_fixture {
 protected:
  admission_fixture() {
    admission_.SetSlots(kSlots, now_);
    const auto warm = Submit("warm", class_kind::kDownload);
    now_ += seconds(10);
    Finish(warm, seconds(10));
    started_.clear();
  }

  ticket Submit(const std::string& work_class, class_kind kind,
                duration within = seconds(60), bool alone = false) {
    const ticket id = ++last_;
    class_of_[id] = work_class;
    Note(admission_.Submit({id, kind, work_class, now_ + within, alone}, now_));
    return id;
  }

  ticket SubmitAlone() {
    return Submit("alone", class_kind::kLookup, seconds(60), true);
  }

  void Finish(ticket id, duration latency) {
    running_.erase(id);
    Note(admission_.Finish(id, latency, true, now_));
  }

  void Note(const std::vector<admission_decision>& decisions) {
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

  /// Lets each running request end after `latency`, `rounds` times.
  void Serve(int rounds, duration latency) {
    for (int i = 0; i < rounds; ++i) {
      now_ += latency;
      for (const auto id : std::set<ticket>(running_)) Finish(id, latency);
    }
  }

  void Fill(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      Submit("lookup", class_kind::kLookup);
    }
  }

  bool Refused(ticket id, error_kind kind) const {
    const auto found = refused_.find(id);
    return found != refused_.end() && found->second == kind;
  }

  std::size_t RefusedOf(const std::string& work_class) const {
    std::size_t count = 0;
    for (const auto& [id, kind] : refused_) {
      count += class_of_.at(id) == work_class ? 1U : 0U;
    }
    return count;
  }

  static constexpr std::uint32_t kSlots = 20;

  instant now_{seconds(100)};
  admission admission_;
  ticket last_ = 0;
  std::map<ticket, std::string> class_of_;
  std::set<ticket> decided_;
  std::set<ticket> running_;
  std::map<ticket, error_kind> refused_;
  std::map<std::string, int> started_;
};

}  // namespace

// Guards against more requests on a backend server than it has slots.
TEST_CASE_METHOD(admission_fixture, "Submit_ManyRequests_StartsUpToSlots") {
  Fill(60);
  CHECK(admission_.InFlight() == kSlots);
  CHECK(admission_.Queued() == 40);
  Serve(3, milliseconds(10));
  CHECK(started_["lookup"] == 60);
  CHECK(refused_.empty());
}

// Guards against a request that waits behind one with more time left.
TEST_CASE_METHOD(admission_fixture, "Submit_EarlierDeadline_StartsFirst") {
  Fill(kSlots);
  const auto late = Submit("lookup", class_kind::kLookup, seconds(50));
  const auto early = Submit("lookup", class_kind::kLookup, seconds(40));
  Finish(*running_.begin(), milliseconds(10));
  CHECK(running_.contains(early));
  CHECK_FALSE(running_.contains(late));
}

// Guards against work for a caller that has stopped waiting.
TEST_CASE_METHOD(admission_fixture, "Tick_DeadlinePassed_AnsweredNotRun") {
  Fill(kSlots);
  const auto id = Submit("lookup", class_kind::kLookup, milliseconds(5));
  now_ += milliseconds(5);
  Note(admission_.Tick(now_));
  CHECK(Refused(id, error_kind::kDeadlineExceeded));
  CHECK(Refused(Submit("lookup", class_kind::kLookup, duration{0}),
                error_kind::kDeadlineExceeded));
}

// Guards against a slot that is spent on a request that ends too late, and
// against an estimate that refuses a class for ever.
TEST_CASE_METHOD(admission_fixture, "Tick_TooLateToEnd_RefusedWhileClassRuns") {
  for (int i = 0; i < 20; ++i) {
    Submit("slow", class_kind::kLookup);
    Serve(1, seconds(1));
  }
  const auto last = Submit("slow", class_kind::kLookup);
  Fill(kSlots - 1);
  const auto late = Submit("slow", class_kind::kLookup, milliseconds(900));
  const auto timely = Submit("slow", class_kind::kLookup, milliseconds(1'100));
  CHECK(Refused(late, error_kind::kDeadlineExceeded));
  CHECK_FALSE(decided_.contains(timely));
  Finish(last, seconds(1));
  CHECK(running_.contains(timely));
  Finish(timely, seconds(1));
  Fill(1);
  const auto tried = Submit("slow", class_kind::kLookup, milliseconds(900));
  Serve(1, milliseconds(1));
  CHECK(started_["slow"] == 23);
  CHECK_FALSE(refused_.contains(tried));
}

// Guards against a queue without a bound.
TEST_CASE_METHOD(admission_fixture, "Submit_QueueOfClassFull_Overloaded") {
  Fill(kSlots + 100);
  CHECK(refused_.empty());
  CHECK(
      Refused(Submit("lookup", class_kind::kLookup), error_kind::kOverloaded));
  CHECK(admission_.Queued() == 100);
}

// Guards against transactions that are refused while lookups or downloads wait.
TEST_CASE_METHOD(admission_fixture, "Submit_QueuesFull_ShedsInOrder") {
  Fill(kSlots + 100);
  for (int i = 0; i < 100; ++i) Submit("scan", class_kind::kDownload);
  CHECK(refused_.empty());
  for (int i = 0; i < 100; ++i) Submit("order", class_kind::kTransaction);
  CHECK(refused_.size() == 100);
  for (const auto& [id, kind] : refused_) {
    CHECK(class_of_[id] == "scan");
    CHECK(kind == error_kind::kOverloaded);
  }
  Submit("invoice", class_kind::kTransaction);
  CHECK(RefusedOf("lookup") == 1);
  CHECK(
      Refused(Submit("scan", class_kind::kDownload), error_kind::kOverloaded));
}

// Guards against a class that gets nothing, and against downloads that hold up
// transactions.
TEST_CASE_METHOD(admission_fixture, "Finish_AllClassesWait_SharesByWeight") {
  for (int i = 0; i < 5; ++i) {
    for (int j = 0; j < 60; ++j) {
      Submit("scan", class_kind::kDownload);
      Submit("order", class_kind::kTransaction);
      Submit("lookup", class_kind::kLookup);
    }
    Serve(4, milliseconds(10));
  }
  CHECK(started_["scan"] > 10);
  CHECK(started_["lookup"] > 2 * started_["scan"]);
  CHECK(started_["order"] > started_["lookup"]);
}

// Guards against a transaction that waits for a whole download.
TEST_CASE_METHOD(admission_fixture, "Submit_Downloads_LeaveSlotsFree") {
  for (int i = 0; i < 40; ++i) Submit("scan", class_kind::kDownload);
  CHECK(admission_.InFlight() == 15);
  const auto id = Submit("order", class_kind::kTransaction);
  CHECK(running_.contains(id));
}

// Guards against new work on a leaving server, and against queued requests that
// are cut off although there is time to run them.
TEST_CASE_METHOD(admission_fixture, "SetDraining_Queued_RunsThenRefuses") {
  Fill(kSlots + 40);
  admission_.SetDraining(true);
  CHECK(Refused(Submit("lookup", class_kind::kLookup), error_kind::kDraining));
  Serve(1, milliseconds(10));
  CHECK(started_["lookup"] == 40);
  now_ += seconds(2);
  Note(admission_.Tick(now_));
  CHECK(admission_.Queued() == 0);
  CHECK(admission_.InFlight() == kSlots);
  CHECK(refused_.size() == 21);
}

// Guards against a suspect that shares a backend server with other requests,
// and against a server that waits for suspects only.
TEST_CASE_METHOD(admission_fixture, "Submit_Alone_RunsAloneAndAlternates") {
  Fill(2);
  const auto first = SubmitAlone();
  const auto second = SubmitAlone();
  Fill(5);
  CHECK(running_.size() == 2);
  Serve(1, milliseconds(10));
  CHECK(running_ == std::set<ticket>{first});
  Fill(5);
  Serve(1, milliseconds(10));
  CHECK(running_.size() == 10);
  Serve(1, milliseconds(10));
  CHECK(running_ == std::set<ticket>{second});
  Serve(1, milliseconds(10));
  CHECK(admission_.InFlight() == 0);
  CHECK(refused_.empty());
}

// Guards against a suspect that never runs because other work never stops.
TEST_CASE_METHOD(admission_fixture, "Submit_AloneUnderLoad_RunsSoon") {
  const auto suspect = SubmitAlone();
  Finish(suspect, milliseconds(1));
  Fill(80);
  const auto id = SubmitAlone();
  int rounds = 0;
  while (!decided_.contains(id) && ++rounds < 10) {
    Fill(kSlots);
    Serve(1, milliseconds(10));
  }
  CHECK(rounds <= 3);
}

// Guards against one long download, or a request that never ends, that holds up
// all other work while a suspect waits to run alone.
TEST_CASE_METHOD(admission_fixture, "Tick_AloneWaitsLong_OthersGoOn") {
  Submit("scan", class_kind::kDownload);
  const auto suspect = SubmitAlone();
  const auto order = Submit("order", class_kind::kTransaction);
  now_ += milliseconds(999);
  Note(admission_.Tick(now_));
  CHECK_FALSE(decided_.contains(suspect));
  CHECK_FALSE(decided_.contains(order));
  now_ += milliseconds(1);
  Note(admission_.Tick(now_));
  CHECK(Refused(suspect, error_kind::kOverloaded));
  CHECK(running_.contains(order));
  CHECK(Refused(SubmitAlone(), error_kind::kOverloaded));
  now_ += seconds(10);
  CHECK_FALSE(decided_.contains(SubmitAlone()));
}

// Guards against a slot or a place in the queue that is never freed.
TEST_CASE_METHOD(admission_fixture, "Cancel_QueuedOrRunning_FreesPlace") {
  Fill(kSlots);
  const auto queued = Submit("lookup", class_kind::kLookup);
  Note(admission_.Cancel(queued, now_));
  CHECK(admission_.Queued() == 0);
  const auto next = Submit("lookup", class_kind::kLookup);
  const auto running = *running_.begin();
  Note(admission_.Cancel(running, now_));
  CHECK(running_.contains(next));
  Note(admission_.Cancel(running, now_));
  CHECK(admission_.InFlight() == kSlots);
}

// Guards against a backend server that slows down under its load and gets no
// relief, and against a limit that does not recover.
TEST_CASE_METHOD(admission_fixture, "Finish_LatencyRises_LowersTheLimit") {
  for (int i = 0; i < 50; ++i) {
    Fill(kSlots);
    Serve(1, milliseconds(10));
  }
  CHECK(admission_.Limit() == kSlots);
  for (int i = 0; i < 10; ++i) {
    Fill(kSlots);
    Serve(1, milliseconds(100));
  }
  CHECK(admission_.Limit() <= kSlots / 2);
  for (int i = 0; i < 100; ++i) {
    Fill(kSlots);
    Serve(1, milliseconds(10));
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

// Guards against requests that wait for a server that has gone.
TEST_CASE_METHOD(admission_fixture, "Tick_ServerGone_RefusesTheQueue") {
  Fill(kSlots + 5);
  admission_.SetSlots(0, now_);
  Note(admission_.Tick(now_));
  CHECK(refused_.size() == 5);
  CHECK(admission_.InFlight() == kSlots);
}

}  // namespace pomelohall
