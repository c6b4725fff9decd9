#include "mesh/config_difference.h"

#include <catch2/catch.hpp>
#include <string>

namespace pomelohall {
namespace {

/// A configuration of a thousand routes.
class config_difference_fixture {
 protected:
  config_difference_fixture() {
    config_.version = 7;
    config_.services = {"shop"};
    for (int i = 0; i < 1000; ++i) {
      const auto number = std::to_string(i);
      config_.routes.push_back({.name = "route-" + number,
                                .host = "shop.example",
                                .path_prefix = "/" + number + "/",
                                .timeout = std::chrono::seconds(1),
                                .destinations = {{.service = "shop"}}});
    }
  }

  mesh_config config_;
};

// Guards against a new version that is applied with routes of the old one.
TEST_CASE_METHOD(config_difference_fixture,
                 "ConfigDifference_ChangedRoutes_LeadToTheNewVersion",
                 "[mesh]") {
  auto newer = config_;
  newer.version = 9;
  newer.routes[3].timeout = std::chrono::seconds(2);
  newer.routes[4].destinations = {{.service = "shop", .weight = 3},
                                  {.service = "desk", .weight = 1}};
  newer.routes.erase(newer.routes.begin() + 500);
  newer.routes.push_back({.name = "added", .host = "shop.example"});
  newer.limits.max_body_bytes = 5;
  const auto difference =
      ComputeDifference(newer, ComputeDigest(newer), ComputeDigest(config_));
  const auto applied = ApplyDifference(config_, difference);
  REQUIRE(applied.has_value());
  CHECK(applied->version == 9);
  CHECK(applied->limits.max_body_bytes == 5);
  CHECK(applied->routes.size() == newer.routes.size());
  CHECK(ComputeDigest(*applied) == ComputeDigest(newer));
}

// Guards against sending the whole configuration when one route changes.
TEST_CASE_METHOD(config_difference_fixture,
                 "ConfigDifference_OneChangedRoute_CarriesFewOthers",
                 "[mesh]") {
  auto newer = config_;
  newer.routes[3].priority = 1;
  const auto difference =
      ComputeDifference(newer, ComputeDigest(newer), ComputeDigest(config_));
  CHECK(difference.buckets.size() == 1);
  CHECK(difference.routes.size() < 50);
}

// Guards against mixing the routes of two versions when a daemon changes its
// configuration between sending its digest and receiving the difference.
TEST_CASE_METHOD(config_difference_fixture,
                 "ConfigDifference_OtherBase_IsRefused", "[mesh]") {
  auto newer = config_;
  newer.routes[3].priority = 1;
  const auto difference =
      ComputeDifference(newer, ComputeDigest(newer), ComputeDigest(config_));
  auto other = config_;
  other.routes[800].priority = 2;
  CHECK_FALSE(ApplyDifference(other, difference).has_value());
}

// Guards against a daemon without a configuration that cannot fetch one from
// another daemon.
TEST_CASE_METHOD(config_difference_fixture,
                 "ConfigDifference_EmptyBase_GetsAllRoutes", "[mesh]") {
  const auto applied = ApplyDifference(
      {},
      ComputeDifference(config_, ComputeDigest(config_), ComputeDigest({})));
  REQUIRE(applied.has_value());
  CHECK(applied->routes.size() == config_.routes.size());
}

}  // namespace
}  // namespace pomelohall
