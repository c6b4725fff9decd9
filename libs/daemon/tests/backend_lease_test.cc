#include "daemon/backend_lease.h"

#include <catch2/catch.hpp>
#include <string>

namespace pomelohall {
namespace {

constexpr instant kStart{std::chrono::seconds(100)};

class backend_lease_fixture {
 protected:
  static backend_announcement Announcement(std::uint64_t incarnation = 1) {
    return {.address = "127.0.0.1:9000",
            .service = "orders",
            .slots = 20,
            .connections = 100,
            .incarnation = incarnation,
            .state = backend_state::kReady};
  }

  backend_lease lease_;
};

}  // namespace

// Guards against routing to a backend server that stopped renewing its lease.
TEST_CASE_METHOD(backend_lease_fixture,
                 "BackendLease_NotRenewed_IsGoneAfterTheLease") {
  REQUIRE(lease_.Announce(Announcement(), kStart));
  lease_.Tick(kStart + backend_lease::kLeaseDuration - duration(1));
  CHECK(lease_.Record().state == backend_state::kReady);
  lease_.Tick(kStart + backend_lease::kLeaseDuration);
  CHECK(lease_.Record().state == backend_state::kGone);
}

// Guards against two backend servers that overwrite each other's entry in the
// member record of one daemon.
TEST_CASE_METHOD(backend_lease_fixture,
                 "BackendLease_OtherAddressWhileHeld_IsRefused") {
  REQUIRE(lease_.Announce(Announcement(), kStart));
  auto other = Announcement(2);
  other.address = "127.0.0.1:9001";
  const auto refused = lease_.Announce(other, kStart);
  REQUIRE_FALSE(refused.has_value());
  CHECK(refused.error().kind == error_kind::kConflict);
  CHECK(lease_.Announce(other, kStart + backend_lease::kLeaseDuration)
            .has_value());
}

// Guards against a lease renewal that cancels an operator's drain request.
TEST_CASE_METHOD(backend_lease_fixture,
                 "BackendLease_RenewalAfterDrain_StaysDraining") {
  REQUIRE(lease_.Announce(Announcement(), kStart));
  REQUIRE(lease_.Drain());
  REQUIRE(lease_.Announce(Announcement(), kStart));
  CHECK(lease_.Record().state == backend_state::kDraining);
  REQUIRE(lease_.Announce(Announcement(2), kStart));
  CHECK(lease_.Record().state == backend_state::kReady);
}

TEST_CASE("Announcement_MalformedField_IsNamed") {
  const std::string valid =
      R"({"service":"orders","address":"127.0.0.1:1","slots":20,)"
      R"("incarnation":7,"state":"ready"})";
  REQUIRE(ParseAnnouncement(valid).has_value());
  const auto message = [&valid](const std::string& from,
                                const std::string& to) {
    auto text = valid;
    text.replace(text.find(from), from.size(), to);
    const auto parsed = ParseAnnouncement(text);
    REQUIRE_FALSE(parsed.has_value());
    return parsed.error().message;
  };
  CHECK(message("20", "0").find("\"slots\"") != std::string::npos);
  CHECK(message("\"ready\"", "\"gone\"").find("\"state\"") !=
        std::string::npos);
  CHECK(message("\"slots\"", "\"slot\"").find("unknown") != std::string::npos);
}

}  // namespace pomelohall
