#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

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

  scripted_server server_{OkResponse};
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
  RunOnIoThread([this] {
    nodes_[0]->announcement.started_unix_ms = 5000;
    nodes_[0]->daemon->OnAnnounced(nodes_[0]->announcement);
  });
  std::this_thread::sleep_for(kMaxRecordDelay);
  CHECK(Call(1, "GET", "/safe/1").status == 200);
}

}  // namespace
}  // namespace pomelohall
