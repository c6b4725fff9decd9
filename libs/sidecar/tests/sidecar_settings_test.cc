#include "sidecar/sidecar_settings.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <string>
#include <vector>

namespace pomelohall {
namespace {

const std::string kValid = R"({
  "name": "vm-1", "data_centre": "plant",
  "backend_server": {"address": "10.0.0.1:80", "service": "orders",
                     "announce_interval_ms": 1500, "drain_ms": 2500},
  "listeners": {"caller": "10.0.0.1:1", "forward": "10.0.0.1:2",
                "local": "10.0.0.1:3", "ready": "10.0.0.1:4",
                "metrics": "10.0.0.1:5"},
  "store": {"address": "10.0.0.9:8627"},
  "stop_grace_ms": 6000,
  "retries": {"ratio": 0.3, "window_ms": 5000, "allowance": 58},
  "rollouts": {"expose_share": 0.2, "expose_slack": 40, "rollback_ms": 3000},
  "quotas": {"window_ms": 4000, "over": 0.3, "slack": 10}
})";

std::string Replace(const std::string& from, const std::string& to) {
  auto text = kValid;
  text.replace(text.find(from), from.size(), to);
  return text;
}

// Guards against settings that are parsed into the wrong field or unit.
TEST_CASE("SidecarSettings_ValidFile_IsRead", "[sidecar]") {
  const auto settings = ParseSidecarSettings(kValid);
  REQUIRE(settings);
  CHECK(settings->name == "vm-1");
  CHECK(settings->server_service == "orders");
  CHECK(settings->drain_time == std::chrono::milliseconds(2500));
  CHECK(settings->stop_grace == std::chrono::seconds(6));
  CHECK(settings->retry_window == std::chrono::seconds(5));
  CHECK(settings->retry_allowance == Approx(58));
  CHECK(settings->metrics_address == "10.0.0.1:5");
  REQUIRE(settings->rollouts);
  CHECK(settings->rollouts->expose_share == Approx(0.2));
  CHECK(settings->rollouts->expose_slack == Approx(40));
  CHECK(settings->rollouts->rollback_time == std::chrono::seconds(3));
  REQUIRE(settings->quotas);
  CHECK(settings->quotas->window == std::chrono::seconds(4));
  CHECK(settings->quotas->over == Approx(0.3));
  CHECK(settings->quotas->slack == Approx(10));
}

// Guards against misspelt or malformed settings that are silently ignored.
TEST_CASE("SidecarSettings_Faults_AreNamed", "[sidecar]") {
  const auto fault = [](const std::string& text) {
    const auto settings = ParseSidecarSettings(text);
    REQUIRE_FALSE(settings);
    CHECK(settings.error().kind == error_kind::kInvalidSettings);
    return settings.error().message;
  };
  CHECK_THAT(fault("{"), Catch::Contains("not JSON"));
  CHECK_THAT(fault(Replace("\"drain_ms\": 2500", "\"drain\": 1")),
             Catch::Contains("drain"));
  CHECK_THAT(fault(Replace("10.0.0.9:8627", "nowhere")),
             Catch::Contains("/store/address"));
  CHECK_THAT(fault(Replace("\"stop_grace_ms\": 6000", "\"stop_grace_ms\": 0")),
             Catch::Contains("/stop_grace_ms"));
}

// Guards against a settings page that lacks a field or lists a removed one.
TEST_CASE("SidecarSettingsPage_Table_NamesExactlyTheFieldsOfTheSchema",
          "[sidecar]") {
  std::ifstream page(POMELOHALL_DOCS_DIR "/SIDECAR_SETTINGS.md");
  std::vector<std::string> listed;
  for (std::string line; std::getline(page, line);) {
    if (!line.starts_with("| `")) continue;
    listed.push_back(line.substr(3, line.find('`', 3) - 3));
  }
  std::sort(listed.begin(), listed.end());
  CHECK(listed == SidecarSettingsFields());
}

}  // namespace
}  // namespace pomelohall
