#include "quarantine/quarantine.h"

#include <catch2/catch.hpp>
#include <numeric>

#include "quarantine/flight_list.h"

namespace pomelohall {
namespace {

class quarantine_fixture {
 protected:
  std::vector<suspect_event> Crash(std::vector<std::uint64_t> in_flight) {
    return table_.OnCrash("orders", std::span(in_flight), now_);
  }

  quarantine_verdict Check(std::uint64_t fingerprint) {
    return table_.Check("orders", fingerprint, now_);
  }

  instant now_{std::chrono::seconds(100)};
  quarantine table_;
};

}  // namespace

// Guards against innocent requests that are refused because they shared a
// crash.
TEST_CASE_METHOD(quarantine_fixture, "OnCrash_Shared_SuspectsRunAlone") {
  CHECK(Crash({1, 2}).size() == 2);
  CHECK(Check(1) == quarantine_verdict::kAlone);
  CHECK(Check(3) == quarantine_verdict::kAllow);
  CHECK(table_.Check("other", 1, now_) == quarantine_verdict::kAllow);
  CHECK(table_.OnSuccess("orders", 2, now_) ==
        std::vector<suspect_event>{{"orders", 2, suspect_state::kCleared}});
  CHECK(Check(2) == quarantine_verdict::kAllow);
}

// Guards against a request that crashes a third backend server.
TEST_CASE_METHOD(quarantine_fixture, "OnCrash_SuspectAlone_IsRefused") {
  Crash({1, 2});
  CHECK(Crash({1}) ==
        std::vector<suspect_event>{{"orders", 1, suspect_state::kCulprit}});
  CHECK(Check(1) == quarantine_verdict::kRefuse);
}

// Guards against an innocent request that is refused for 10 min because its
// server was killed for another reason while it ran nothing else.
TEST_CASE_METHOD(quarantine_fixture, "OnCrash_FirstTimeAlone_IsOnlySuspect") {
  Crash({1});
  CHECK(Check(1) == quarantine_verdict::kAlone);
}

// Guards against events that cross: a success elsewhere frees no culprit.
TEST_CASE_METHOD(quarantine_fixture, "Apply_ClearedCulprit_StaysRefused") {
  table_.Apply({"orders", 1, suspect_state::kCulprit}, now_);
  table_.Apply({"orders", 1, suspect_state::kCleared}, now_);
  table_.Apply({"orders", 1, suspect_state::kSuspect}, now_);
  CHECK(table_.OnSuccess("orders", 1, now_).empty());
  CHECK(Check(1) == quarantine_verdict::kRefuse);
}

// Guards against requests that stay refused for ever.
TEST_CASE_METHOD(quarantine_fixture, "Check_AfterTenMinutes_IsAllowed") {
  Crash({1, 2});
  Crash({1});
  now_ += std::chrono::minutes(10);
  CHECK(Check(1) == quarantine_verdict::kAllow);
  CHECK(Check(2) == quarantine_verdict::kAllow);
}

// Guards against a table without a bound, and against a culprit that is
// forgotten in favour of suspects.
TEST_CASE_METHOD(quarantine_fixture, "OnCrash_ManySuspects_KeepsCulprits") {
  Crash({1, 2});
  Crash({1});
  std::vector<std::uint64_t> many(10'000);
  std::iota(many.begin(), many.end(), 100);
  now_ += std::chrono::seconds(1);
  Crash(many);
  CHECK(table_.EntryCount() == quarantine_options().max_entries);
  CHECK(Check(1) == quarantine_verdict::kRefuse);
  CHECK(Check(2) == quarantine_verdict::kAllow);
}

// Guards against a poison request that escapes because its caller went away
// before the crash.
TEST_CASE("FlightList_Cancelled_CountsForTwoSeconds") {
  instant now{std::chrono::seconds(100)};
  flight_list flights;
  flights.Start(1, 11, false);
  flights.Start(2, 12, false);
  flights.Start(3, 13, true);
  flights.End(2);
  flights.Cancel(1, now);
  flights.Cancel(2, now);
  now += kCancelledInFlight - duration{1};
  const auto scene = flights.TakeAll(now);
  CHECK(scene.running == std::vector<std::uint64_t>{13});
  CHECK(scene.cancelled == std::vector<std::uint64_t>{11});
  CHECK(scene.ran_alone);
  CHECK(flights.TakeAll(now).running.empty());
  flights.Start(5, 15, false);
  flights.Cancel(5, now);
  CHECK(flights.TakeAll(now + kCancelledInFlight).cancelled.empty());
}

// Guards against an innocent suspect that is convicted although it was not
// started to run alone, or although a cancelled suspect may be guilty.
TEST_CASE_METHOD(quarantine_fixture, "OnCrash_Doubt_ConvictsNobody") {
  Crash({1, 2});
  const auto scene = [&](std::vector<std::uint64_t> cancelled, bool alone) {
    table_.OnCrash("orders", {{1}, std::move(cancelled), alone}, now_);
    return Check(1);
  };
  CHECK(scene({}, false) == quarantine_verdict::kAlone);
  CHECK(scene({2}, true) == quarantine_verdict::kAlone);
  // An earlier attempt of its own is no doubt, nor is one that is no suspect.
  CHECK(scene({1, 3}, true) == quarantine_verdict::kRefuse);
  CHECK(Check(3) == quarantine_verdict::kAlone);
}

// Guards against two requests with one fingerprint.
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
