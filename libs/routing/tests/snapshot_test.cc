#include "routing/snapshot.h"

#include <catch2/catch.hpp>

namespace pomelohall {
namespace {

configuration ShopDocument() {
  configuration document;
  document.services = {{"orders"}, {"catalogue"}};
  document.classes = {{"order", "orders", class_kind::kTransaction, {}},
                      {"browse", "catalogue", class_kind::kLookup, {}}};
  document.routes = {{"/", "", "browse"},
                     {"/orders", "", "browse"},
                     {"/orders", "POST", "order"}};
  return document;
}

member_record Member(const std::string& name, const std::string& service) {
  member_record record;
  record.name = name;
  record.data_centre = "dc-" + name;
  record.backend = {service, 20, backend_state::kReady};
  return record;
}

std::string ClassName(const snapshot& snapshot, std::string_view method,
                      std::string_view path) {
  const auto found = FindClass(snapshot, method, path);
  return found ? (*found)->definition.name : "none";
}

}  // namespace

// Guards against a short prefix that hides a longer one, and against a route
// without a method that hides one with a method.
TEST_CASE("FindClass_SeveralMatches_LongestPrefixThenMethodWins") {
  const auto built = BuildSnapshot(1, ShopDocument(), {}, {});
  CHECK(ClassName(*built, "POST", "/orders/7") == "order");
  CHECK(ClassName(*built, "GET", "/orders/7") == "browse");
  CHECK(ClassName(*built, "GET", "/paper") == "browse");
  CHECK(FindClass(*built, "GET", "none").error().kind == error_kind::kNoRoute);
}

// Guards against calls to servers that have left, and against routes that lose
// their only server while its data centre is unreachable.
TEST_CASE("BuildSnapshot_Members_OnlyReadyOnesAndUnreachableMarked") {
  auto dead = Member("b", "orders");
  dead.state = member_state::kDead;
  auto draining = Member("c", "orders");
  draining.backend.state = backend_state::kDraining;
  auto suspect = Member("d", "orders");
  suspect.state = member_state::kSuspect;
  const auto built = BuildSnapshot(
      1, ShopDocument(),
      {Member("a", "orders"), dead, draining, suspect, Member("e", "unknown")},
      {"dc-d"});
  REQUIRE(built->services[0].servers.size() == 2);
  CHECK(built->services[0].servers[0].member == "a");
  CHECK(built->services[0].servers[0].reachable);
  CHECK_FALSE(built->services[0].servers[1].reachable);
  CHECK(built->classes[0].service == 0);
}

}  // namespace pomelohall
