#include "mesh/server_directory.h"

#include <catch2/catch.hpp>
#include <map>

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A directory of daemon "own" in data centre "near".
class directory_fixture {
 protected:
  directory_fixture()
      : directory_({.member = "own", .data_centre = "near"}, 7) {}

  void Add(const std::string& name, const std::string& data_centre,
           const std::string& instance = "i-1", double link_mbps = 0) {
    directory_.Put({.name = name,
                    .data_centre = data_centre,
                    .address = "127.0.0.1:1",
                    .link_mbps = link_mbps,
                    .incarnation = 1,
                    .server = offered_server{.instance = instance,
                                             .service = "shop",
                                             .slots = 10}},
                   now_);
  }

  void Report(const std::string& name, std::size_t running, duration mean) {
    directory_.OnLoadReport(
        name,
        {.running = running, .waiting = 0, .slots = 10, .mean_time = mean},
        now_);
  }

  std::string Choose(std::set<std::string> excluded = {},
                     request_kind kind = request_kind::kSafe) {
    const auto choice = directory_.Choose({.service = "shop",
                                           .kind = kind,
                                           .latency_target = milliseconds(600),
                                           .excluded = std::move(excluded)},
                                          now_);
    return choice ? choice->member.name : "none";
  }

  std::map<std::string, int> CountChoices(int count) {
    std::map<std::string, int> counts;
    for (int i = 0; i < count; ++i) ++counts[Choose()];
    return counts;
  }

  /// Serves `count` requests, one after the other, by servers with the given
  /// run times. Returns the number of requests of each.
  std::map<std::string, int> Serve(
      int count, const std::map<std::string, duration>& run_times) {
    std::map<std::string, int> counts;
    for (int i = 0; i < count; ++i) {
      const auto name = Choose();
      ++counts[name];
      directory_.OnSent(name, now_);
      now_ += milliseconds(50);
      const auto run_time = run_times.find(name);
      if (run_time != run_times.end()) Report(name, 0, run_time->second);
      directory_.OnEnded(name, send_outcome::kServed, now_);
    }
    return counts;
  }

  /// Adds the server "a", which failed, and "b", which did not.
  void AddFailing() {
    for (const char* name : {"a", "b"}) {
      Add(name, "near");
      Report(name, 0, milliseconds(40));
    }
    for (int i = 0; i < 5; ++i) {
      directory_.OnSent("a", now_);
      directory_.OnEnded("a", send_outcome::kFailed, now_);
    }
  }

  server_directory directory_;
  instant now_{seconds(100)};
};

// Guards against requests to a member without a backend server or that was
// already tried.
TEST_CASE_METHOD(directory_fixture, "Directory_NoServer_ChoosesNone",
                 "[mesh]") {
  CHECK(Choose() == "none");
  directory_.Put({.name = "idle",
                  .data_centre = "near",
                  .address = "127.0.0.1:1",
                  .incarnation = 1,
                  .server = std::nullopt},
                 now_);
  CHECK(Choose() == "none");
  Add("a", "near");
  CHECK(Choose() == "a");
  CHECK(Choose({"a"}) == "none");
}

// Guards against a new backend server that receives no requests because it has
// no load report yet.
TEST_CASE_METHOD(directory_fixture, "Directory_NewServer_GetsRequests",
                 "[mesh]") {
  Add("a", "near");
  Report("a", 5, milliseconds(100));
  Add("b", "near");
  CHECK(CountChoices(100)["b"] > 20);
}

// Guards against equal shares for backend servers of different speed, which
// overload the slow one while the fast one is idle.
TEST_CASE_METHOD(directory_fixture, "Directory_SlowServer_GetsFewerRequests",
                 "[mesh][load]") {
  Add("fast", "near");
  Add("slow", "near");
  Report("fast", 0, milliseconds(100));
  Report("slow", 0, milliseconds(300));
  CHECK(Choose() == "fast");
  // The fast one has a queue of 25 requests, so the slow one responds sooner.
  Report("fast", 35, milliseconds(100));
  CHECK(Choose() == "slow");
}

// Guards against needless traffic between data centres, and against a local
// data centre that is overloaded while another one is idle.
TEST_CASE_METHOD(directory_fixture, "Directory_RemoteServer_IsUsedWhenItPays",
                 "[mesh]") {
  Add("local", "near");
  Add("remote", "far");
  Report("local", 2, milliseconds(100));
  Report("remote", 0, milliseconds(100));
  CHECK(Choose() == "local");
  Report("local", 30, milliseconds(100));
  CHECK(Choose() == "remote");
  CHECK(Choose({}, request_kind::kDownload) == "local");
}

// Guards against requests that pile up on an unreachable VM.
TEST_CASE_METHOD(directory_fixture, "Directory_UnreachableMember_IsSuspended",
                 "[mesh]") {
  Add("a", "near");
  Add("b", "near");
  directory_.OnSent("a", now_);
  directory_.OnEnded("a", send_outcome::kUnreachable, now_);
  CHECK(directory_.IsSuspended("a", now_));
  CHECK(CountChoices(50)["b"] == 50);
  now_ += milliseconds(600);
  CHECK_FALSE(directory_.IsSuspended("a", now_));
}

// Guards against a suspension that lasts longer after the fault than the limit
// within which a recovered member must be used again.
TEST_CASE_METHOD(directory_fixture,
                 "Directory_RepeatedFailures_SuspendForTwoSecondsAtMost",
                 "[mesh]") {
  Add("a", "near");
  for (int i = 0; i < 20; ++i) {
    directory_.OnSent("a", now_);
    directory_.OnEnded("a", send_outcome::kUnreachable, now_);
    now_ += seconds(2);
    CHECK_FALSE(directory_.IsSuspended("a", now_));
  }
}

// Guards against preferring a backend server whose mean time is short because
// half of its requests fail fast.
TEST_CASE_METHOD(directory_fixture, "Directory_FailingServer_IsAvoided",
                 "[mesh][load]") {
  Add("a", "near");
  Add("b", "near");
  Report("a", 0, milliseconds(50));
  Report("b", 0, milliseconds(100));
  for (int i = 0; i < 10; ++i) {
    directory_.OnSent("a", now_);
    directory_.OnEnded(
        "a", i % 2 == 0 ? send_outcome::kFailed : send_outcome::kServed, now_);
  }
  CHECK(Choose() == "b");
}

// Guards against applying the failures of a terminated backend server to its
// successor on the same VM.
TEST_CASE_METHOD(directory_fixture, "Directory_NewInstance_StartsUnknown",
                 "[mesh]") {
  Add("a", "near");
  directory_.OnEnded("a", send_outcome::kUnreachable, now_);
  Add("a", "near", "i-2");
  CHECK_FALSE(directory_.IsSuspended("a", now_));
}

// Guards against a backend server that was slow and then gets no requests for
// ever: only its responses would show that it is fast again.
TEST_CASE_METHOD(directory_fixture, "Directory_RecoveredSlowServer_IsUsedAgain",
                 "[mesh]") {
  Add("a", "near");
  Add("b", "near");
  Report("a", 0, milliseconds(1600));
  Report("b", 0, milliseconds(40));
  Serve(1000, {{"a", milliseconds(40)}, {"b", milliseconds(40)}});
  CHECK(Serve(100, {{"a", milliseconds(40)}, {"b", milliseconds(40)}})["a"] >
        20);
}

// Guards against a backend server that failed and then gets no requests for
// ever: only its responses would show that it no longer fails.
TEST_CASE_METHOD(directory_fixture,
                 "Directory_RecoveredFailingServer_IsUsedAgain", "[mesh]") {
  AddFailing();
  Serve(1200, {{"a", milliseconds(40)}, {"b", milliseconds(40)}});
  CHECK(Serve(100, {{"a", milliseconds(40)}, {"b", milliseconds(40)}})["a"] >
        20);
}

// Guards against a slow VM that receives as many requests as others because its
// backend server reports free slots: the requests wait in its daemon.
TEST_CASE_METHOD(directory_fixture, "Directory_DelayingDaemon_IsAvoided",
                 "[mesh][load]") {
  Add("a", "near");
  Add("b", "near");
  Report("a", 0, milliseconds(40));
  Report("b", 0, milliseconds(60));
  for (int i = 0; i < 3; ++i) directory_.OnDelay("a", milliseconds(200), now_);
  CHECK(CountChoices(50)["b"] == 50);
  // It is fast again; nothing but a request shows that.
  Serve(300, {{"a", milliseconds(40)}, {"b", milliseconds(60)}});
  CHECK(Serve(100, {{"a", milliseconds(40)}, {"b", milliseconds(60)}})["a"] >
        50);
}

// Guards against requests that pile up on a VM that hangs: no response shows
// its delay, and each time-out is seconds away.
TEST_CASE_METHOD(directory_fixture, "Directory_SilentDaemon_IsAvoided",
                 "[mesh][load]") {
  Add("a", "near");
  Add("b", "near");
  Report("a", 0, milliseconds(40));
  Report("b", 0, milliseconds(60));
  directory_.OnSent("a", now_);
  CHECK(CountChoices(50)["a"] == 50);
  now_ += milliseconds(200);
  CHECK(CountChoices(50)["b"] == 50);
  Report("a", 0, milliseconds(40));
  CHECK(CountChoices(50)["a"] == 50);
}

// Guards against orders that find out whether a failed server has recovered:
// unlike lookups, they cannot be repeated if it has not.
TEST_CASE_METHOD(directory_fixture,
                 "Directory_FailedServer_IsTriedByLookupsFirst", "[mesh]") {
  AddFailing();
  now_ += seconds(10);
  for (int i = 0; i < 50; ++i) {
    CHECK(Choose({}, request_kind::kUnsafe) == "b");
  }
  CHECK(CountChoices(100)["a"] > 20);
}

// Guards against daemons that disagree on the one that reads for their data
// centre, and against a slow or unreachable one while there is a better one.
TEST_CASE_METHOD(directory_fixture, "Directory_FastestMember_IsOfTheDataCentre",
                 "[mesh]") {
  CHECK_FALSE(directory_.FastestMember(now_));
  Add("a", "near", "i-1", 10);
  Add("b", "near", "i-1", 100);
  Add("c", "near", "i-1", 100);
  Add("d", "far", "i-1", 1000);
  const auto fastest = directory_.FastestMember(now_);
  REQUIRE(fastest);
  CHECK(fastest->link_mbps == 100);
  server_directory other({.member = "c", .data_centre = "near"}, 8);
  for (const char* name : {"c", "b"}) {
    other.Put({.name = name,
               .data_centre = "near",
               .address = "127.0.0.1:1",
               .link_mbps = 100,
               .incarnation = 1,
               .server = std::nullopt},
              now_);
  }
  CHECK(other.FastestMember(now_)->name == fastest->name);
  directory_.OnNotServing(fastest->name, now_);
  CHECK(directory_.FastestMember(now_)->name != fastest->name);
  CHECK(directory_.FastestMember(now_)->link_mbps == 100);
}

// Guards against requests on trial that run at several servers at once because
// their daemons choose different ones, and against one without a server because
// that of its trials is gone.
TEST_CASE_METHOD(directory_fixture,
                 "Directory_RequestOnTrial_AllDaemonsChooseTheSameServer",
                 "[mesh]") {
  server_directory other({.member = "other", .data_centre = "far"}, 8);
  for (const char* name : {"a", "b", "c", "d"}) {
    Add(name, "near");
    other.Put(*directory_.Record(name), now_);
  }
  std::set<std::string> chosen;
  for (std::uint64_t request = 1; request <= 50; ++request) {
    const server_demand demand{
        .service = "shop", .excluded = {}, .trial = request};
    const auto name = directory_.Choose(demand, now_)->member.name;
    CHECK(other.Choose(demand, now_)->member.name == name);
    chosen.insert(name);
    other.OnNotServing(name, now_);
    const auto next = other.Choose(demand, now_);
    REQUIRE(next);
    CHECK(next->member.name != name);
    now_ += seconds(3);
  }
  CHECK(chosen.size() == 4);
}

}  // namespace
}  // namespace pomelohall
