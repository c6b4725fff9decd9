#include "mesh/route_table.h"

#include <catch2/catch.hpp>
#include <map>

namespace pomelohall {
namespace {

class route_table_fixture {
 protected:
  static route_rule Route(const std::string& name, const std::string& host,
                          const std::string& prefix) {
    return {.name = name,
            .host = host,
            .path_prefix = prefix,
            .destinations = {{.service = "shop"}}};
  }

  route_table_fixture()
      : table_({.version = 3,
                .routes = {Route("root", "a.example", "/"),
                           Route("deep", "a.example", "/x/y/"),
                           Route("flat", "a.example", "/x/")},
                .services = {"shop"},
                .limits = {}}) {}

  std::string Find(std::string_view host, std::string_view target) {
    const auto* route = table_.Find(host, target);
    return route == nullptr ? "none" : route->name;
  }

  route_table table_;
};

// Guards against a shorter prefix that wins over a longer one, and against a
// prefix that matches half a path segment.
TEST_CASE_METHOD(route_table_fixture, "RouteTable_SeveralPrefixes_LongestWins",
                 "[mesh]") {
  CHECK(Find("a.example", "/x/y/z") == "deep");
  CHECK(Find("a.example", "/x/y") == "flat");
  CHECK(Find("a.example", "/xy/") == "root");
  CHECK(Find("a.example", "/x?q=/x/y/z") == "root");
  CHECK(Find("b.example", "/x/") == "none");
}

// Guards against a host that is not found because of its case or port.
TEST_CASE_METHOD(route_table_fixture, "RouteTable_HostWithPort_IsFound",
                 "[mesh]") {
  CHECK(Find("A.Example:8080", "/x/1") == "flat");
}

// Guards against shares that deviate from the weights over a few requests.
TEST_CASE("RouteTable_Split_DividesByWeight", "[mesh]") {
  route_rule route{.name = "split",
                   .host = "a",
                   .path_prefix = "/",
                   .destinations = {{.service = "one", .weight = 90},
                                    {.service = "two", .weight = 10}}};
  route_table table(
      {.version = 1, .routes = {route}, .services = {}, .limits = {}});
  std::map<std::string, int> counts;
  for (int i = 0; i < 20; ++i) {
    ++counts[table.NextDestination(*table.Find("a", "/"))];
  }
  CHECK(counts["one"] == 18);
  CHECK(counts["two"] == 2);
}

}  // namespace
}  // namespace pomelohall
