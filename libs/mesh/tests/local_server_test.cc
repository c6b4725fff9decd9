#include "mesh/local_server.h"

#include <catch2/catch.hpp>

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time in which late announcements arrive.
constexpr auto kMaxLateness = seconds(9);

class local_server_fixture {
 protected:
  local_server_fixture()
      : server_({.address = "10.0.0.1:80",
                 .service = "shop",
                 .announcement_timeout = seconds(9),
                 .max_lateness = kMaxLateness}) {}

  bool Announce(const std::string& instance, std::uint64_t sequence,
                std::int64_t started = 1000, bool draining = false) {
    return AnnounceFrom("10.0.0.1:80", "shop", instance, sequence, started,
                        draining) == announcement_outcome::kAccepted;
  }

  announcement_outcome AnnounceFrom(const std::string& address,
                                    const std::string& service,
                                    const std::string& instance,
                                    std::uint64_t sequence,
                                    std::int64_t started,
                                    bool draining = false) {
    return server_.OnAnnounced({.instance = instance,
                                .service = service,
                                .address = address,
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
  CHECK_FALSE(server_.OnWithdrawn("i-0", now_));
  CHECK(server_.OfferedServer());
  CHECK(server_.OnWithdrawn("i-1", now_));
  CHECK_FALSE(server_.OfferedServer());
  Announce("i-1", 2);
  CHECK_FALSE(server_.OfferedServer());
}

// Guards against a daemon that offers a draining server after its restart: it
// had the withdrawal first, then an announcement that was sent before.
TEST_CASE_METHOD(local_server_fixture,
                 "LocalServer_WithdrawnBeforeAnnounced_IsLeaving", "[mesh]") {
  CHECK_FALSE(server_.OnWithdrawn("i-1", now_));
  Announce("i-1", 25, 1000);
  CHECK(server_.Phase() == server_phase::kLeaving);
  CHECK_FALSE(server_.OfferedServer());
  // Started again under the same name after the withdrawal.
  now_ += kMaxLateness;
  Announce("i-1", 1, 6000);
  CHECK(server_.OfferedServer());
}

// Guards against ignoring a restarted server with the same instance name, whose
// sequence numbers start over.
TEST_CASE_METHOD(local_server_fixture,
                 "LocalServer_SameInstanceNewStart_Counts", "[mesh]") {
  Announce("i-1", 50);
  Announce("i-1", 51, 1000, true);
  CHECK(Announce("i-1", 1, 2000));
  CHECK(server_.OfferedServer());
  CHECK_FALSE(Announce("i-1", 60, 1000));
  CHECK(server_.OfferedServer());
}

// Guards against a server that is offered although it has withdrawn itself: the
// withdrawal was of a later start than the announced one, whose announcements
// arrive after it, whatever its clock says.
TEST_CASE_METHOD(local_server_fixture,
                 "LocalServer_UnannouncedStartWithdrawn_LateReportIsNotOffered",
                 "[mesh]") {
  const std::int64_t started = GENERATE(500, 2000, 9'000'000'000'000);
  Announce("i-1", 50);
  if (GENERATE(false, true)) server_.OnUnreachable("i-1", now_);
  server_.OnWithdrawn("i-1", now_);
  for (std::uint64_t sequence = 1; sequence < 4; ++sequence) {
    now_ += seconds(2);
    Announce("i-1", sequence, started);
    Announce("i-1", 50 + sequence);
    CHECK_FALSE(server_.OfferedServer());
  }
}

// Guards against a server that is never offered again because an earlier start
// withdrew itself, wherever its clock stands compared with that of the daemon
// and with that of the earlier start.
TEST_CASE_METHOD(local_server_fixture,
                 "LocalServer_NextStartAfterWithdrawal_IsOffered", "[mesh]") {
  const std::int64_t started = GENERATE(500, 2000, 9'000'000'000'000);
  Announce("i-1", 50);
  server_.OnWithdrawn("i-1", now_);
  SECTION("after announcements of the earlier one can no longer be late") {
    now_ += kMaxLateness;
  }
  SECTION("at once if the earlier one has ended") {
    now_ += seconds(1);
    server_.OnEnded(now_, now_);
  }
  CHECK(Announce("i-1", 1, started));
  CHECK(server_.OfferedServer());
  Announce("i-1", 51);
  CHECK(server_.OfferedServer());
}

// Guards against a server that is lost for good because the withdrawal of its
// earlier start arrives late.
TEST_CASE_METHOD(local_server_fixture,
                 "LocalServer_WithdrawalOfEarlierStart_ServerIsOfferedAgain",
                 "[mesh]") {
  Announce("i-1", 50);
  Announce("i-1", 1, 2000);
  server_.OnWithdrawn("i-1", now_);
  CHECK_FALSE(server_.OfferedServer());
  for (std::uint64_t sequence = 2; sequence < 8; ++sequence) {
    now_ += milliseconds(1500);
    Announce("i-1", sequence, 2000);
  }
  CHECK(server_.OfferedServer());
  CHECK(server_.Departures().empty());
}

// Guards against the same with the draining announcement of an earlier start,
// and against a server that drains but is offered because its clock went back.
TEST_CASE_METHOD(local_server_fixture,
                 "LocalServer_EarlierStartDrains_OnlyThatIsNotOffered",
                 "[mesh]") {
  Announce("i-1", 50, 3000);
  Announce("i-1", 1, 4000);
  Announce("i-1", 51, 3000, true);
  CHECK(server_.OfferedServer());
  Announce("i-1", 3, 2000, true);  // A start that is not known.
  CHECK_FALSE(server_.OfferedServer());
}

// Guards against a restarted server that is never offered because the clock of
// its VM went back since the start that drained.
TEST_CASE_METHOD(local_server_fixture,
                 "LocalServer_ClockWentBackSinceDraining_NextStartIsOffered",
                 "[mesh]") {
  Announce("i-1", 50, 3000);
  Announce("i-1", 51, 3000, true);
  Announce("i-1", 1, 2000);
  CHECK_FALSE(server_.OfferedServer());
  now_ += kMaxLateness;
  Announce("i-1", 2, 2000);
  CHECK(server_.OfferedServer());
  Announce("i-1", 52, 3000);  // Late.
  CHECK(server_.OfferedServer());
  CHECK(server_.LastAnnouncement()->started_unix_ms == 2000);
}

// Guards against a withdrawal that the next process of the daemon takes for one
// of a long time ago, and against a server that this process never offers.
TEST_CASE_METHOD(local_server_fixture,
                 "LocalServer_WithdrawalOfEarlierProcess_Binds", "[mesh]") {
  server_.AddDepartures({{.instance = "i-1", .withdrawn = true}}, now_);
  Announce("i-1", 1, 2000);
  CHECK_FALSE(server_.OfferedServer());
  now_ += kMaxLateness;
  Announce("i-1", 2, 2000);
  CHECK(server_.OfferedServer());
}

// Guards against a withdrawal that an earlier check of the address outdates.
TEST_CASE_METHOD(local_server_fixture,
                 "LocalServer_WithdrawnAfterTheCheck_IsNotOffered", "[mesh]") {
  Announce("i-1", 1);
  const auto checked_at = now_;
  now_ += milliseconds(1);
  server_.OnWithdrawn("i-1", now_);
  CHECK(server_.AwaitsEnd(now_));
  server_.OnEnded(checked_at, now_);
  Announce("i-1", 2);
  CHECK_FALSE(server_.OfferedServer());
  CHECK(server_.AwaitsEnd(now_));
  CHECK_FALSE(server_.AwaitsEnd(now_ + kMaxLateness));
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

// Guards against accepting the announcement of a server on another VM, or of a
// program that is no backend server of this VM.
TEST_CASE_METHOD(local_server_fixture,
                 "LocalServer_OtherAddressOrService_IsForeign", "[mesh]") {
  for (const bool draining : {false, true}) {
    CHECK(AnnounceFrom("10.0.0.2:80", "shop", "i-9", 1, 2000, draining) ==
          announcement_outcome::kForeign);
    CHECK(AnnounceFrom("10.0.0.1:80", "unnamed", "i-9", 1, 2000, draining) ==
          announcement_outcome::kForeign);
    CHECK(AnnounceFrom("10.0.0.1:80", "unnamed", "i-1", 99, 9000, draining) ==
          announcement_outcome::kForeign);
  }
  CHECK_FALSE(server_.LastAnnouncement());
  CHECK(Announce("i-1", 1));
  CHECK(AnnounceFrom("10.0.0.1:80", "unnamed", "i-9", 1, 2000) ==
        announcement_outcome::kForeign);
  CHECK(server_.OfferedServer()->instance == "i-1");
}

// Guards against an announcement of another program with a later start that
// hides the backend server for good: nobody answers as that instance.
TEST_CASE_METHOD(local_server_fixture,
                 "LocalServer_LaterStartIsContradicted_EarlierOneCountsAgain",
                 "[mesh]") {
  Announce("i-1", 1);
  CHECK(Announce("i-9", 1, 5000));
  CHECK_FALSE(Announce("i-1", 2));
  server_.OnUnreachable("i-9", now_);
  CHECK(Announce("i-1", 3));
  CHECK(Announce("i-9", 2, 6000, true));
  CHECK(Announce("i-1", 4));
  REQUIRE(server_.OfferedServer());
  CHECK(server_.OfferedServer()->instance == "i-1");
}

// Guards against the same with the instance of the backend server, whose own
// announcements would never count again.
TEST_CASE_METHOD(local_server_fixture,
                 "LocalServer_LaterStartOfSameInstanceEnds_EarlierCountsAgain",
                 "[mesh]") {
  Announce("i-1", 1);
  CHECK(Announce("i-1", 1, 5000));
  CHECK_FALSE(Announce("i-1", 2));
  now_ += seconds(9);
  CHECK(Announce("i-1", 8));
  CHECK(server_.OfferedServer());
}

// Guards against requests to the backend server of earlier settings, or with
// its service.
TEST_CASE_METHOD(local_server_fixture,
                 "LocalServer_SettingsNameAnother_IsUnknownUntilAnnounced",
                 "[mesh]") {
  Announce("i-1", 1);
  server_.SetServer("10.0.0.1:80", "shop", now_);
  CHECK(server_.OfferedServer());
  server_.SetServer("10.0.0.1:80", "books", now_);
  CHECK_FALSE(server_.OfferedServer());
  CHECK(AnnounceFrom("10.0.0.1:80", "shop", "i-1", 2, 1000) ==
        announcement_outcome::kForeign);
  CHECK(AnnounceFrom("10.0.0.1:80", "books", "i-2", 1, 500) ==
        announcement_outcome::kAccepted);
  CHECK(server_.OfferedServer()->service == "books");
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
