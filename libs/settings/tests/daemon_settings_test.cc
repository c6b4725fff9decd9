#include "settings/daemon_settings.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <regex>
#include <string>
#include <vector>

namespace pomelohall {
namespace {

using nlohmann::json;

const std::string kDocs = POMELOHALL_DOCS_DIR;

json Example() {
  return json::parse(std::ifstream(kDocs + "/examples/daemon.json"));
}

// Returns the error message for the example with the value at `pointer`
// replaced, or "accepted".
std::string ErrorFor(const std::string& pointer, const json& value) {
  json document = Example();
  document[json::json_pointer(pointer)] = value;
  const auto settings = ParseDaemonSettings(document.dump());
  if (settings) return "accepted";
  CHECK(settings.error().kind == error_kind::kInvalidSettings);
  return settings.error().message;
}

}  // namespace

// Guards against an example file, which operators copy, that is not valid.
TEST_CASE("DaemonSettings_Example_Loads") {
  const auto settings = LoadDaemonSettings(kDocs + "/examples/daemon.json");
  REQUIRE(settings.has_value());
  CHECK(settings->name == "orders-1");
  CHECK(settings->data_centre == "plant");
  CHECK(settings->listeners.peer == "10.20.0.11:7402");
  CHECK(settings->seeds.size() == 2);
  CHECK(settings->platform_address == "10.20.0.2:8080");
  CHECK(settings->stop_grace == std::chrono::seconds(30));
  CHECK(settings->test == test_settings{});
}

TEST_CASE("DaemonSettings_OptionalFieldsLeftOut_DefaultsApply") {
  const auto settings = ParseDaemonSettings(
      R"({"cluster":"c","name":"n","region":"r","data_centre":"d",
          "platform":{"address":"127.0.0.1:1"},
          "test":{"blocked_peers":["127.0.0.1:9"],"tick_ms":5}})");
  REQUIRE(settings.has_value());
  CHECK(settings->listeners == daemon_settings{}.listeners);
  CHECK(settings->platform_namespace == "pomelohall");
  CHECK(settings->test.blocked_peers ==
        std::vector<std::string>{"127.0.0.1:9"});
  CHECK(settings->test.tick_ms == 5);
  CHECK(settings->stop_grace == std::chrono::seconds(62));
}

// Guards against error messages that do not identify the invalid field.
TEST_CASE("DaemonSettings_InvalidValue_MessageNamesPathFoundAndAllowed") {
  CHECK(ErrorFor("/log_level", "loud") ==
        "invalid settings\n  /log_level: found \"loud\", allowed: \"info\", "
        "\"warning\", \"error\"");
  CHECK(ErrorFor("/test/tick_ms", 0) ==
        "invalid settings\n  /test/tick_ms: found 0, allowed: integer from 1 "
        "to 10000");
  CHECK(ErrorFor("/stop_grace_ms", 1999) ==
        "invalid settings\n  /stop_grace_ms: found 1999, allowed: integer from "
        "2000 to 3600000");
  CHECK(ErrorFor("/seeds/1", "localhost:7402") ==
        "invalid settings\n  /seeds/1: found \"localhost:7402\", allowed: "
        "\"ip:port\" with a port of 1 to 65535");
  CHECK(ErrorFor("/listeners", "none") ==
        "invalid settings\n  /listeners: found \"none\", allowed: "
        "object");
}

// Guards against a misspelt field that is silently ignored.
TEST_CASE("DaemonSettings_UnknownField_IsRefused") {
  CHECK(ErrorFor("/seed", json::array()).find("/seed: unknown field") !=
        std::string::npos);
  CHECK(
      ErrorFor("/platform/adress", "x")
          .find(
              "/platform/adress: unknown field, allowed: address, namespace") !=
      std::string::npos);
}

TEST_CASE("DaemonSettings_RequiredFieldMissing_IsNamed") {
  json document = Example();
  document.erase("name");
  document["platform"].erase("address");
  const auto settings = ParseDaemonSettings(document.dump());
  REQUIRE_FALSE(settings.has_value());
  const std::string& message = settings.error().message;
  CHECK(message.find("/name: found no value, required: 1 to 63") !=
        std::string::npos);
  CHECK(message.find("/platform/address: found no value") != std::string::npos);
}

// Guards against unusable addresses that match the schema's pattern, and
// against a daemon that publishes 0.0.0.0 as its address.
TEST_CASE("DaemonSettings_UnusableAddress_IsRefused") {
  CHECK(ErrorFor("/seeds/0", "999.1.1.1:1").find("/seeds/0: found") !=
        std::string::npos);
  CHECK(ErrorFor("/platform/address", "10.0.0.1:70000")
            .find("/platform/address: found") != std::string::npos);
  CHECK(ErrorFor("/listeners/peer", "0.0.0.0:7402").find("/advertised/peer") !=
        std::string::npos);
  CHECK(ErrorFor("/listeners/caller", "[::1]:0") == "accepted");
}

TEST_CASE("DaemonSettings_NoSettingsFile_IsRefused") {
  CHECK_FALSE(ParseDaemonSettings("").has_value());
  CHECK_FALSE(ParseDaemonSettings("[]").has_value());
  CHECK_FALSE(LoadDaemonSettings(kDocs + "/no such file").has_value());
}

// Guards against a settings reference page that is out of date.
TEST_CASE("SettingsPage_Table_NamesExactlyTheFieldsOfTheSchema") {
  std::ifstream page(kDocs + "/SETTINGS.md");
  const std::regex row(R"(^\| `([a-z_.]+)` \|.*)");
  std::vector<std::string> listed;
  std::smatch match;
  for (std::string line; std::getline(page, line);) {
    if (std::regex_match(line, match, row)) listed.push_back(match[1]);
  }
  std::sort(listed.begin(), listed.end());
  CHECK(listed == DaemonSettingsFields());
}

}  // namespace pomelohall
