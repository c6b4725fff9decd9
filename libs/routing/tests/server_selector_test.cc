#include "routing/server_selector.h"

#include <catch2/catch.hpp>
#include <map>

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 7;

/// A selector in data centre "near" with a simulated clock.
class selector_fixture {
 protected:
  selector_fixture() : selector_({"near", "north", {}, {}, {}}, kSeed) {}

  void Add(const std::string& member, const std::string& data_centre,
           bool reachable = true) {
    service_.servers.push_back({.member = member,
                                .data_centre = data_centre,
                                .region = "north",
                                .forward_address = "127.0.0.1:1",
                                .incarnation = 1,
                                .slots = 20,
                                .reachable = reachable});
  }

  void UpdateSnapshot() {
    auto next = std::make_shared<snapshot>();
    next->services.push_back(service_);
    selector_.Update(next, now_);
  }

  std::string PickOne(std::vector<std::string> excluded = {}) {
    const auto picked = selector_.Pick("orders", excluded, now_);
    return picked ? picked->member : "none";
  }

  void Succeed(const std::string& member, duration latency) {
    selector_.OnStart(member, now_);
    selector_.OnFinish(member, {.latency = latency}, now_);
  }

  void Fail(const std::string& member, error_kind kind,
            run_state ran = run_state::kUnknown) {
    selector_.OnStart(member, now_);
    selector_.OnFinish(
        member,
        {.latency = milliseconds(1), .ran = ran, .ok = false, .error = kind},
        now_);
  }

  void FailRepeatedly(const std::string& member) {
    for (int i = 0; i < 5; ++i) Fail(member, error_kind::kBackendFailed);
  }

  std::map<std::string, int> PickCounts(int picks) {
    std::map<std::string, int> counts;
    for (int i = 0; i < picks; ++i) ++counts[PickOne()];
    return counts;
  }

  service_entry service_{.name = "orders", .servers = {}};
  instant now_{seconds(100)};
  server_selector selector_;
};

}  // namespace

// Guards against a slow server that gets the same share as a fast one.
TEST_CASE_METHOD(selector_fixture, "Pick_OneSlowServer_PrefersFastOnes") {
  for (const auto* name : {"a", "b", "c"}) Add(name, "near");
  UpdateSnapshot();
  Succeed("a", milliseconds(5));
  Succeed("b", milliseconds(5));
  Succeed("c", milliseconds(50));
  CHECK(PickCounts(300)["c"] == 0);
}

// Guards against a server that was slow once and never gets a call again.
TEST_CASE_METHOD(selector_fixture, "Pick_UnusedSlowServer_IsTriedAgain") {
  Add("a", "near");
  Add("b", "near");
  UpdateSnapshot();
  for (int i = 0; i < 50; ++i) {
    Succeed("a", milliseconds(5));
    Succeed("b", milliseconds(50));
  }
  bool tried = false;
  for (int i = 0; i < 150 && !tried; ++i) {
    now_ += seconds(1);
    Succeed("a", milliseconds(5));
    tried = PickOne() == "b";
  }
  CHECK(tried);
}

// Guards against ignoring outstanding calls.
TEST_CASE_METHOD(selector_fixture, "Pick_OutstandingCalls_SpreadEvenly") {
  Add("a", "near");
  Add("b", "near");
  UpdateSnapshot();
  std::map<std::string, int> counts;
  for (int i = 0; i < 20; ++i) {
    const auto member = PickOne();
    selector_.OnStart(member, now_);
    ++counts[member];
  }
  CHECK(counts["a"] == 10);
}

// Guards against unnecessary traffic between data centres, and against local
// overload that never spills over.
TEST_CASE_METHOD(selector_fixture, "Pick_RemoteServer_OnlyIfScoreIsLower") {
  Add("a", "near");
  Add("b", "far");
  UpdateSnapshot();
  Succeed("a", milliseconds(5));
  Succeed("b", milliseconds(5));
  CHECK(PickCounts(50)["b"] == 0);
  selector_.OnStart("a", now_);
  CHECK(PickOne() == "b");
}

// Guards against calls to an unreachable data centre.
TEST_CASE_METHOD(selector_fixture, "Pick_OnlyUnreachable_NoBackendServer") {
  Add("a", "far", false);
  UpdateSnapshot();
  const auto picked = selector_.Pick("orders", {}, now_);
  REQUIRE_FALSE(picked);
  CHECK(picked.error().kind == error_kind::kNoBackendServer);
  CHECK(picked.error().ran == run_state::kNotRun);
  CHECK_FALSE(selector_.Pick("unknown", {}, now_));
}

// Guards against a retry on the server that has just failed.
TEST_CASE_METHOD(selector_fixture, "Pick_ExcludedMembers_AreSkipped") {
  Add("a", "near");
  Add("b", "near");
  UpdateSnapshot();
  for (int i = 0; i < 20; ++i) CHECK(PickOne({"a"}) == "b");
  CHECK(PickOne({"a", "b"}) == "none");
}

// Guards against an ejection that never ends, does not double, or admits more
// than one probe before the first success.
TEST_CASE_METHOD(selector_fixture, "OnFinish_FailuresInRow_EjectAndProbe") {
  Add("a", "near");
  Add("b", "near");
  UpdateSnapshot();
  FailRepeatedly("a");
  CHECK(selector_.EjectedCount("orders", now_) == 1);
  CHECK(PickOne({"b"}) == "none");
  now_ += seconds(5);
  CHECK(PickOne({"b"}) == "a");
  selector_.OnStart("a", now_);
  CHECK(PickOne({"b"}) == "none");
  selector_.OnFinish("a", {.ok = false}, now_);
  now_ += seconds(9);
  CHECK(PickOne({"b"}) == "none");
  now_ += seconds(1);
  Succeed("a", milliseconds(1));
  CHECK(PickOne({"b"}) == "a");
}

// Guards against an ejection longer than 60 s.
TEST_CASE_METHOD(selector_fixture, "OnFinish_FailingProbes_EjectAtMost60s") {
  Add("a", "near");
  Add("b", "near");
  UpdateSnapshot();
  FailRepeatedly("a");
  for (int i = 0; i < 10; ++i) {
    now_ += seconds(60);
    REQUIRE(PickOne({"b"}) == "a");
    Fail("a", error_kind::kBackendFailed);
  }
}

// Guards against ejecting all servers of a service.
TEST_CASE_METHOD(selector_fixture, "OnFinish_AllFail_AtMostHalfEjected") {
  for (const auto* name : {"a", "b", "c", "d", "e"}) Add(name, "near");
  UpdateSnapshot();
  for (const auto* name : {"a", "b", "c", "d", "e"}) FailRepeatedly(name);
  CHECK(selector_.EjectedCount("orders", now_) == 2);
  CHECK(PickOne() != "none");
}

// Guards against missing failures that alternate with successes.
TEST_CASE_METHOD(selector_fixture, "OnFinish_ShareAboveHalf_Ejects") {
  Add("a", "near");
  Add("b", "near");
  UpdateSnapshot();
  for (int i = 0; i < 10; ++i) {
    Succeed("a", milliseconds(1));
    Fail("a", error_kind::kBackendFailed);
  }
  CHECK(selector_.EjectedCount("orders", now_) == 0);
  Fail("a", error_kind::kBackendFailed);
  CHECK(selector_.EjectedCount("orders", now_) == 1);
}

// Guards against ejecting a server for errors of its callers or for refusing
// overload.
TEST_CASE_METHOD(selector_fixture, "OnFinish_NotServersFault_DoesNotEject") {
  Add("a", "near");
  Add("b", "near");
  UpdateSnapshot();
  for (int i = 0; i < 30; ++i) {
    Fail("a", error_kind::kCancelled);
    Fail("a", error_kind::kOverloaded, run_state::kNotRun);
    Fail("a", error_kind::kPoisonSuspected, run_state::kNotRun);
    Fail("a", error_kind::kDeadlineExceeded, run_state::kNotRun);
  }
  CHECK(selector_.EjectedCount("orders", now_) == 0);
}

// Guards against further calls to a server that has begun to drain.
TEST_CASE_METHOD(selector_fixture, "OnFinish_Draining_PausesServer") {
  Add("a", "near");
  Add("b", "near");
  UpdateSnapshot();
  Fail("a", error_kind::kDraining, run_state::kNotRun);
  CHECK(PickCounts(50)["a"] == 0);
  now_ += seconds(3);
  CHECK(PickOne({"b"}) == "a");
}

// Guards against a cold server that gets a full share at once.
TEST_CASE_METHOD(selector_fixture, "Update_NewServer_StartsSlowly") {
  Add("a", "near");
  UpdateSnapshot();
  Succeed("a", milliseconds(5));
  Add("b", "near");
  UpdateSnapshot();
  CHECK(PickCounts(50)["b"] == 0);
  now_ += seconds(10);
  selector_.OnStart("a", now_);
  CHECK(PickOne() == "b");
}

// Guards against losing ejections at a snapshot update.
TEST_CASE_METHOD(selector_fixture, "Update_SameIncarnation_KeepsEjection") {
  Add("a", "near");
  Add("b", "near");
  UpdateSnapshot();
  FailRepeatedly("a");
  UpdateSnapshot();
  CHECK(selector_.EjectedCount("orders", now_) == 1);
  service_.servers[0].incarnation = 2;
  UpdateSnapshot();
  CHECK(selector_.EjectedCount("orders", now_) == 0);
}

// Guards against a late response of a server that has left the snapshot.
TEST_CASE_METHOD(selector_fixture, "OnFinish_UnknownMember_IsIgnored") {
  UpdateSnapshot();
  selector_.OnFinish("gone", {}, now_);
  CHECK(PickOne() == "none");
}

}  // namespace pomelohall
