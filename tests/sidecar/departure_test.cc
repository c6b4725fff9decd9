#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>

#include "concurrent_server.h"
#include "sidecar_fleet.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;

/// How a backend server tells that it leaves.
enum class departure { kDraining, kWithdrawn };

/// Two sidecars, one of them beside a backend server that leaves but still
/// serves. The daemons stop within half a second.
class departure_fixture : public sidecar_fleet {
 protected:
  // A changed record is known to all daemons within this time.
  static constexpr milliseconds kMaxRecordDelay{2000};

  departure_fixture() {
    stop_grace_ = milliseconds(2500);
    PublishConfig(3);
    AddSidecar(&server_);
    AddSidecar(nullptr, "front");
    WaitUntilOffered(1);
  }

  /// Lets the backend server leave. Returns whether that was acknowledged.
  bool Leave(departure way) {
    if (way == departure::kWithdrawn) return Withdraw(0, "i-0");
    AnnounceDraining(0);
    return AwaitDepartureStored(0);
  }

  /// Delivers an announcement that was sent before the backend server left.
  void AnnounceLate() {
    RunOnIoThread(
        [&] { nodes_[0]->daemon->OnAnnounced(nodes_[0]->announcement); });
  }

  void CheckThatServerGetsNoRequests() {
    std::this_thread::sleep_for(kMaxRecordDelay);
    const int before = server_.Requests();
    for (int i = 0; i < 5; ++i) {
      Call(0, "GET", "/safe/1");
      Call(1, "GET", "/safe/1");
      Call(1, "POST", "/order/1", "", "{}");
    }
    CHECK(server_.Requests() == before);
  }

  /// Delivers an announcement of another start of the backend server.
  void AnnounceStart(std::int64_t started_unix_ms) {
    RunOnIoThread([&] {
      auto& announcement = nodes_[0]->announcement;
      announcement.started_unix_ms = started_unix_ms;
      announcement.sequence = 1;
      nodes_[0]->daemon->OnAnnounced(announcement);
    });
  }

  scripted_server server_{OkResponse};
};

/// The same with a backend server that can crash and start again.
class restarted_server_fixture : public sidecar_fleet {
 protected:
  restarted_server_fixture() {
    PublishConfig(3);
    AddSidecar(&server_);
    AddSidecar(nullptr, "front");
    WaitUntilOffered(1);
  }

  concurrent_server server_{[](const std::string& header) {
    return scripted_reply{.bytes = OkResponse(header)};
  }};
};

// Guards against a backend server that is used again although its leaving was
// acknowledged: its daemon is restarted, and then gets an announcement that was
// sent earlier.
TEST_CASE_METHOD(departure_fixture,
                 "Sidecar_RestartedAfterDeparture_ServerGetsNoRequests",
                 "[sidecar]") {
  const auto way = GENERATE(departure::kDraining, departure::kWithdrawn);
  const int restarts = GENERATE(1, 2);
  REQUIRE(Leave(way));
  for (int i = 0; i < restarts; ++i) Restart(0);
  AnnounceLate();
  CheckThatServerGetsNoRequests();
}

// Guards against the same if the daemon is restarted before and after a
// withdrawal whose instance it does not know.
TEST_CASE_METHOD(departure_fixture,
                 "Sidecar_RestartedAroundWithdrawal_ServerGetsNoRequests",
                 "[sidecar]") {
  Restart(0);
  REQUIRE(Withdraw(0, "i-0"));
  Restart(0);
  AnnounceLate();
  CheckThatServerGetsNoRequests();
}

// Guards against an acknowledgement that the next process does not know of: the
// store was away, and the daemon ended before it came back.
TEST_CASE_METHOD(departure_fixture,
                 "Sidecar_StoreAway_DepartureIsNotAcknowledged", "[sidecar]") {
  const auto way = GENERATE(departure::kDraining, departure::kWithdrawn);
  RunOnIoThread([this] { store_->failing_kind = "pomelohall-members"; });
  CHECK_FALSE(Leave(way));
  CheckThatServerGetsNoRequests();
  RunOnIoThread([this] { store_->failing_kind = ""; });
  std::this_thread::sleep_for(kMaxRecordDelay);
  CHECK(AwaitDepartureStored(0));
}

// Guards against a backend server that is used again while the store is away:
// its daemon was restarted and cannot read what it had acknowledged.
TEST_CASE_METHOD(departure_fixture,
                 "Sidecar_RestartedWhileStoreIsAway_ServerGetsNoRequests",
                 "[sidecar]") {
  REQUIRE(Leave(departure::kWithdrawn));
  RunOnIoThread([this] { store_->failing_kind = "pomelohall-members"; });
  Restart(0);
  AnnounceLate();
  CheckThatServerGetsNoRequests();
  RunOnIoThread([this] { store_->failing_kind = ""; });
  CheckThatServerGetsNoRequests();
}

// Guards against stale data that hides an acknowledged departure from the next
// process.
TEST_CASE_METHOD(departure_fixture,
                 "Sidecar_StaleStoreReads_ServerGetsNoRequests", "[sidecar]") {
  RunOnIoThread([this] { store_->FreezeStaleReads(); });
  REQUIRE(Leave(departure::kWithdrawn));
  Restart(0);
  AnnounceLate();
  CheckThatServerGetsNoRequests();
}

// Guards against a restarted backend server that gets no requests because an
// earlier start with its instance has left.
TEST_CASE_METHOD(departure_fixture,
                 "Sidecar_RestartedServerWithSameInstance_GetsRequests",
                 "[sidecar]") {
  REQUIRE(Leave(departure::kDraining));
  Restart(0);
  AnnounceLate();
  AnnounceStart(5000);
  std::this_thread::sleep_for(kMaxRecordDelay);
  CHECK(Call(1, "GET", "/safe/1").status == 200);
}

// Guards against a backend server that is used again although its leaving was
// acknowledged: it had been started again with its instance, and the first
// report of that start arrives after its withdrawal. Its clock may differ from
// that of the daemon, which may be restarted in between.
TEST_CASE_METHOD(departure_fixture,
                 "Sidecar_FirstReportAfterWithdrawal_ServerGetsNoRequests",
                 "[sidecar]") {
  const std::int64_t started = GENERATE(500, 5000, 9'000'000'000'000);
  const bool restarted = GENERATE(false, true);
  REQUIRE(Leave(departure::kWithdrawn));
  if (restarted) Restart(0);
  AnnounceStart(started);
  CheckThatServerGetsNoRequests();
}

// Guards against a backend server that is lost for seconds after its restart
// because the start before has withdrawn itself and has ended.
TEST_CASE_METHOD(restarted_server_fixture,
                 "Sidecar_ServerEndedAfterWithdrawal_NextStartGetsRequests",
                 "[sidecar]") {
  const std::int64_t started = GENERATE(500, 5000, 9'000'000'000'000);
  REQUIRE(Withdraw(0, "i-0"));
  CHECK(Call(1, "GET", "/safe/1").status == 503);
  server_.Crash();
  // The end of a withdrawn server is checked for once a second.
  std::this_thread::sleep_for(milliseconds(1500));
  server_.Start();
  RunOnIoThread([&] {
    nodes_[0]->announcement.started_unix_ms = started;
    nodes_[0]->daemon->OnAnnounced(nodes_[0]->announcement);
  });
  std::this_thread::sleep_for(milliseconds(2000));
  CHECK(Call(1, "GET", "/safe/1").status == 200);
  CHECK(Call(0, "GET", "/safe/1").status == 200);
}

}  // namespace
}  // namespace pomelohall
