#include "mesh/local_server.h"

#include <catch2/catch.hpp>

namespace pomelohall {
namespace {

using std::chrono::seconds;

class local_server_fixture {
 protected:
  local_server_fixture()
      : server_(
            {.address = "10.0.0.1:80", .announcement_timeout = seconds(9)}) {}

  bool Announce(const std::string& instance, std::uint64_t sequence,
                std::int64_t started = 1000, bool draining = false) {
    return server_.OnAnnounced({.instance = instance,
                                .service = "shop",
                                .address = "10.0.0.1:80",
                                .slots = 18,
                                .draining = draining,
                                .started_unix_ms = started,
                                .sequence = sequence},
                               now_);
  }

  local_server server_;
  instant now_{seconds(100)};
};

// Guards against offering a backend server before its first announcement.
TEST_CASE_METHOD(local_server_fixture, "LocalServer_Unannounced_OffersNothing",
                 "[mesh]") {
  CHECK_FALSE(server_.OfferedServer());
  CHECK(Announce("i-1", 1));
  REQUIRE(server_.OfferedServer());
  CHECK(server_.OfferedServer()->slots == 18);
}

// Guards against an announcement that arrives late and makes a draining server
// serve again.
TEST_CASE_METHOD(local_server_fixture,
                 "LocalServer_LateAnnouncement_DoesNotEndLeaving", "[mesh]") {
  Announce("i-1", 1);
  CHECK(Announce("i-1", 5, 1000, true));
  CHECK(server_.Phase() == server_phase::kLeaving);
  CHECK_FALSE(Announce("i-1", 4));
  CHECK(Announce("i-1", 6));
  CHECK(server_.Phase() == server_phase::kLeaving);
}

// Guards against requests to a server that started draining with a withdrawal
// rather than an announcement.
TEST_CASE_METHOD(local_server_fixture, "LocalServer_Withdrawn_IsLeaving",
                 "[mesh]") {
  Announce("i-1", 1);
  CHECK_FALSE(server_.OnWithdrawn("i-0", 5000, now_));
  CHECK(server_.OfferedServer());
  CHECK(server_.OnWithdrawn("i-1", 5000, now_));
  CHECK_FALSE(server_.OfferedServer());
  Announce("i-1", 2);
  CHECK_FALSE(server_.OfferedServer());
}

// Guards against a daemon that offers a draining server after its restart: it
// had the withdrawal first, then an announcement that was sent before.
TEST_CASE_METHOD(local_server_fixture,
                 "LocalServer_WithdrawnBeforeAnnounced_IsLeaving", "[mesh]") {
  CHECK_FALSE(server_.OnWithdrawn("i-1", 5000, now_));
  Announce("i-1", 25, 1000);
  CHECK(server_.Phase() == server_phase::kLeaving);
  CHECK_FALSE(server_.OfferedServer());
  // Started again under the same name after the withdrawal.
  Announce("i-1", 1, 6000);
  CHECK(server_.OfferedServer());
}

// Guards against ignoring a restarted server with the same instance name, whose
// sequence numbers start over.
TEST_CASE_METHOD(local_server_fixture,
                 "LocalServer_SameInstanceNewStart_Counts", "[mesh]") {
  Announce("i-1", 50);
  server_.OnWithdrawn("i-1", 5000, now_);
  CHECK(Announce("i-1", 1, 2000));
  CHECK(server_.OfferedServer());
  CHECK_FALSE(Announce("i-1", 60, 1000));
}

// Guards against a late announcement of a terminated server that replaces its
// successor.
TEST_CASE_METHOD(local_server_fixture,
                 "LocalServer_ReportOfEarlierInstance_IsIgnored", "[mesh]") {
  Announce("i-2", 1, 2000);
  CHECK_FALSE(Announce("i-1", 90, 1000));
  CHECK(server_.OfferedServer()->instance == "i-2");
  // The clock of the VM jumped back between two starts.
  now_ += seconds(10);
  CHECK(Announce("i-3", 1, 500));
  CHECK(server_.OfferedServer()->instance == "i-3");
}

// Guards against accepting the announcement of a server on another VM.
TEST_CASE_METHOD(local_server_fixture, "LocalServer_OtherAddress_IsIgnored",
                 "[mesh]") {
  CHECK_FALSE(server_.OnAnnounced({.instance = "i-9",
                                   .service = "shop",
                                   .address = "10.0.0.2:80",
                                   .started_unix_ms = 1,
                                   .sequence = 1},
                                  now_));
  CHECK_FALSE(server_.OfferedServer());
}

// Guards against a crashed server that is still offered, and against a
// recovered one that is not offered again.
TEST_CASE_METHOD(local_server_fixture,
                 "LocalServer_Unreachable_ReturnsWithItsNextAnnouncement",
                 "[mesh]") {
  Announce("i-1", 1);
  server_.OnUnreachable("i-1", now_);
  CHECK_FALSE(server_.OfferedServer());
  Announce("i-1", 2);
  CHECK(server_.OfferedServer());
  now_ += seconds(10);
  server_.Tick(now_);
  CHECK(server_.Phase() == server_phase::kUnreachable);
}

}  // namespace
}  // namespace pomelohall
