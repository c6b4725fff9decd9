#include "quarantine/quarantine.h"

#include <catch2/catch.hpp>
#include <numeric>

#include "quarantine/in_flight_tracker.h"

namespace pomelohall {
namespace {

class quarantine_fixture {
 protected:
  std::vector<suspect_event> Crash(std::vector<std::uint64_t> in_flight) {
    return quarantine_.OnCrash("orders", std::span(in_flight), now_);
  }

  quarantine_verdict Check(std::uint64_t fingerprint) {
    return quarantine_.Check("orders", fingerprint, now_);
  }

  instant now_{std::chrono::seconds(100)};
  quarantine quarantine_;
};

}  // namespace

// Guards against refusing unrelated requests that were in flight during the
// same crash.
TEST_CASE_METHOD(quarantine_fixture,
                 "OnCrash_SeveralInFlight_SuspectsRunExclusively") {
  CHECK(Crash({1, 2}).size() == 2);
  CHECK(Check(1) == quarantine_verdict::kExclusive);
  CHECK(Check(3) == quarantine_verdict::kAllow);
  CHECK(quarantine_.Check("other", 1, now_) == quarantine_verdict::kAllow);
  CHECK(quarantine_.OnSuccess("orders", 2, now_) ==
        std::vector<suspect_event>{{"orders", 2, suspect_state::kCleared}});
  CHECK(Check(2) == quarantine_verdict::kAllow);
}

// Guards against a request that crashes a third backend server.
TEST_CASE_METHOD(quarantine_fixture, "OnCrash_ExclusiveSuspect_IsRefused") {
  Crash({1, 2});
  CHECK(Crash({1}) ==
        std::vector<suspect_event>{{"orders", 1, suspect_state::kCulprit}});
  CHECK(Check(1) == quarantine_verdict::kRefuse);
}

// Guards against refusing an unrelated request for 10 min because its server
// was killed for another reason while it ran nothing else.
TEST_CASE_METHOD(quarantine_fixture,
                 "OnCrash_FirstExclusiveCrash_IsOnlySuspect") {
  Crash({1});
  CHECK(Check(1) == quarantine_verdict::kExclusive);
}

// Guards against concurrent events: a success at another daemon must not clear
// a culprit.
TEST_CASE_METHOD(quarantine_fixture, "Apply_ClearedCulprit_StaysRefused") {
  quarantine_.Apply({"orders", 1, suspect_state::kCulprit}, now_);
  quarantine_.Apply({"orders", 1, suspect_state::kCleared}, now_);
  quarantine_.Apply({"orders", 1, suspect_state::kSuspect}, now_);
  CHECK(quarantine_.OnSuccess("orders", 1, now_).empty());
  CHECK(Check(1) == quarantine_verdict::kRefuse);
}

// Guards against requests that stay refused forever.
TEST_CASE_METHOD(quarantine_fixture, "Check_AfterTenMinutes_IsAllowed") {
  Crash({1, 2});
  Crash({1});
  now_ += std::chrono::minutes(10);
  CHECK(Check(1) == quarantine_verdict::kAllow);
  CHECK(Check(2) == quarantine_verdict::kAllow);
}

// Guards against an unbounded table, and against evicting a culprit before
// suspects.
TEST_CASE_METHOD(quarantine_fixture, "OnCrash_ManySuspects_KeepsCulprits") {
  Crash({1, 2});
  Crash({1});
  std::vector<std::uint64_t> many(10'000);
  std::iota(many.begin(), many.end(), 100);
  now_ += std::chrono::seconds(1);
  Crash(many);
  CHECK(quarantine_.EntryCount() == quarantine_options().max_entries);
  CHECK(Check(1) == quarantine_verdict::kRefuse);
  CHECK(Check(2) == quarantine_verdict::kAllow);
}

// Guards against a poison request that is not recorded because its caller
// disconnected before the crash.
TEST_CASE("InFlightTracker_Cancelled_CountsForTwoSeconds") {
  instant now{std::chrono::seconds(100)};
  in_flight_tracker tracker;
  tracker.Start(1, 11, false);
  tracker.Start(2, 12, false);
  tracker.Start(3, 13, true);
  tracker.End(2);
  tracker.Cancel(1, now);
  tracker.Cancel(2, now);
  now += kCancelledInFlight - duration{1};
  const auto crash = tracker.TakeAll(now);
  CHECK(crash.running == std::vector<std::uint64_t>{13});
  CHECK(crash.cancelled == std::vector<std::uint64_t>{11});
  CHECK(crash.ran_exclusively);
  CHECK(tracker.TakeAll(now).running.empty());
  tracker.Start(5, 15, false);
  tracker.Cancel(5, now);
  CHECK(tracker.TakeAll(now + kCancelledInFlight).cancelled.empty());
}

// Guards against making a suspect a culprit although it was not started
// exclusively, or although a cancelled suspect may have caused the crash.
TEST_CASE_METHOD(quarantine_fixture, "OnCrash_AmbiguousCause_MarksNoCulprit") {
  Crash({1, 2});
  const auto crash = [&](std::vector<std::uint64_t> cancelled, bool exclusive) {
    quarantine_.OnCrash("orders", {{1}, std::move(cancelled), exclusive}, now_);
    return Check(1);
  };
  CHECK(crash({}, false) == quarantine_verdict::kExclusive);
  CHECK(crash({2}, true) == quarantine_verdict::kExclusive);
  // Neither an earlier attempt of the request itself nor a cancelled request
  // that is not a suspect prevents this.
  CHECK(crash({1, 3}, true) == quarantine_verdict::kRefuse);
  CHECK(Check(3) == quarantine_verdict::kExclusive);
}

// Guards against different requests with the same fingerprint.
TEST_CASE("RequestFingerprint_EveryPart_Counts") {
  const auto base = RequestFingerprint("POST", "/a", 2, "xy");
  CHECK(base == RequestFingerprint("POST", "/a", 2, "xy"));
  CHECK(base != RequestFingerprint("PUT", "/a", 2, "xy"));
  CHECK(base != RequestFingerprint("POST", "/b", 2, "xy"));
  CHECK(base != RequestFingerprint("POST", "/a", 3, "xy"));
  CHECK(base != RequestFingerprint("POST", "/a", 2, "xz"));
  const std::string body(5'000, 'x');
  CHECK(RequestFingerprint("POST", "/a", 5'000, body) ==
        RequestFingerprint("POST", "/a", 5'000, body.substr(0, 4'096)));
}

}  // namespace pomelohall
