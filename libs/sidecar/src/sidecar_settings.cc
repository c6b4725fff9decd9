#include "sidecar/sidecar_settings.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "backend/http_message.h"
#include "settings/schema_check.h"
#include "settings/settings_file.h"

namespace pomelohall {
namespace {

using nlohmann::json;

constexpr std::string_view kSchema = R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Settings of pomelohall-sidecar",
  "type": "object",
  "additionalProperties": false,
  "required": ["name", "data_centre", "backend_server", "listeners", "store"],
  "definitions": {
    "text": {"type": "string", "minLength": 1},
    "address": {
      "type": "string",
      "pattern": "^[0-9.]+:[1-9][0-9]{0,4}$",
      "$comment": "\"ip:port\" with a port of 1 to 65535"
    },
    "millis": {"type": "number", "minimum": 1},
    "ratio": {"type": "number", "minimum": 0}
  },
  "properties": {
    "name": {"$ref": "#/definitions/text"},
    "data_centre": {"$ref": "#/definitions/text"},
    "backend_server": {
      "type": "object",
      "additionalProperties": false,
      "required": ["address", "service"],
      "properties": {
        "address": {"$ref": "#/definitions/address"},
        "service": {"$ref": "#/definitions/text"},
        "announce_interval_ms": {"$ref": "#/definitions/millis"},
        "drain_ms": {"$ref": "#/definitions/millis"}
      }
    },
    "listeners": {
      "type": "object",
      "additionalProperties": false,
      "required": ["caller", "forward", "local", "ready", "metrics"],
      "properties": {
        "caller": {"$ref": "#/definitions/address"},
        "forward": {"$ref": "#/definitions/address"},
        "advertised": {"$ref": "#/definitions/address"},
        "local": {"$ref": "#/definitions/address"},
        "ready": {"$ref": "#/definitions/address"},
        "metrics": {"$ref": "#/definitions/address"}
      }
    },
    "store": {
      "type": "object",
      "additionalProperties": false,
      "required": ["address"],
      "properties": {"address": {"$ref": "#/definitions/address"}}
    },
    "link_mbps": {
      "type": ["number", "null"],
      "minimum": 0,
      "$comment": "null is the same as 0"
    },
    "stop_grace_ms": {"$ref": "#/definitions/millis"},
    "apply_ms": {"$ref": "#/definitions/millis"},
    "retries": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "ratio": {"$ref": "#/definitions/ratio"},
        "window_ms": {"$ref": "#/definitions/millis"},
        "allowance": {"$ref": "#/definitions/ratio"}
      }
    },
    "rollouts": {
      "type": "object",
      "additionalProperties": false,
      "required": ["expose_share", "expose_slack", "rollback_ms"],
      "properties": {
        "expose_share": {"type": "number", "minimum": 0, "maximum": 1},
        "expose_slack": {"$ref": "#/definitions/ratio"},
        "rollback_ms": {"$ref": "#/definitions/millis"}
      }
    },
    "quotas": {
      "type": "object",
      "additionalProperties": false,
      "required": ["window_ms", "over", "slack"],
      "properties": {
        "window_ms": {"$ref": "#/definitions/millis"},
        "over": {"$ref": "#/definitions/ratio"},
        "slack": {"$ref": "#/definitions/ratio"}
      }
    }
  }
})json";

result<json> ParseDocument(const std::string& text) {
  auto document = json::parse(text, nullptr, false);
  if (document.is_discarded()) {
    return Fail(error_kind::kInvalidSettings, "the settings are not JSON");
  }
  static const json schema = json::parse(kSchema);
  const auto violations = ValidateAgainstSchema(schema, document);
  if (violations.empty()) return document;
  std::string message = "invalid settings:";
  for (const auto& [path, violation] : violations) {
    message.append("\n  ").append(path).append(": ").append(violation);
  }
  return Fail(error_kind::kInvalidSettings, message);
}

// Requires an object that the schema has validated.
void ReadMillis(const json& object, const char* field, duration& value) {
  const auto found = object.find(field);
  if (found == object.end()) return;
  value = std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(found->get<double>()));
}

void ReadServer(const json& server, sidecar_settings& settings) {
  settings.server_address = server.at("address");
  settings.server_service = server.at("service");
  ReadMillis(server, "announce_interval_ms", settings.announce_interval);
  ReadMillis(server, "drain_ms", settings.drain_time);
}

void ReadListeners(const json& listeners, sidecar_settings& settings) {
  settings.caller_address = listeners.at("caller");
  settings.forward_address = listeners.at("forward");
  settings.advertised_address = listeners.value("advertised", "");
  settings.local_address = listeners.at("local");
  settings.ready_address = listeners.at("ready");
  settings.metrics_address = listeners.at("metrics");
}

void ReadRetries(const json& retries, sidecar_settings& settings) {
  settings.retry_ratio = retries.value("ratio", settings.retry_ratio);
  ReadMillis(retries, "window_ms", settings.retry_window);
  settings.retry_allowance =
      retries.value("allowance", settings.retry_allowance);
}

rollout_settings ReadRollouts(const json& object) {
  rollout_settings rollouts{.expose_share = object.at("expose_share"),
                            .expose_slack = object.at("expose_slack")};
  ReadMillis(object, "rollback_ms", rollouts.rollback_time);
  return rollouts;
}

quota_settings ReadQuotas(const json& object) {
  quota_settings quotas{.over = object.at("over"), .slack = object.at("slack")};
  ReadMillis(object, "window_ms", quotas.window);
  return quotas;
}

}  // namespace

result<sidecar_settings> ParseSidecarSettings(const std::string& text) {
  const auto document = ParseDocument(text);
  if (!document) return tl::unexpected(document.error());
  sidecar_settings settings;
  settings.name = document->at("name");
  settings.data_centre = document->at("data_centre");
  ReadServer(document->at("backend_server"), settings);
  ReadListeners(document->at("listeners"), settings);
  settings.store_address = document->at("store").at("address");
  const auto link = document->find("link_mbps");
  if (link != document->end() && link->is_number()) {
    settings.link_mbps = link->get<double>();
  }
  ReadMillis(*document, "stop_grace_ms", settings.stop_grace);
  ReadMillis(*document, "apply_ms", settings.max_config_delay);
  if (document->contains("retries")) {
    ReadRetries(document->at("retries"), settings);
  }
  if (document->contains("rollouts")) {
    settings.rollouts = ReadRollouts(document->at("rollouts"));
  }
  if (document->contains("quotas")) {
    settings.quotas = ReadQuotas(document->at("quotas"));
  }
  return settings;
}

std::vector<std::string> SidecarSettingsFields() {
  auto fields = SchemaFields(json::parse(kSchema));
  std::sort(fields.begin(), fields.end());
  return fields;
}

result<sidecar_settings> LoadSidecarSettings(const std::string& path) {
  const auto text = ReadSettingsFile(path);
  if (!text) return tl::unexpected(text.error());
  return ParseSidecarSettings(*text);
}

}  // namespace pomelohall
