#include "settings/daemon_settings.h"

namespace pomelohall {
namespace {

// `$comment` describes the allowed values in error messages where the pattern
// alone would be hard to read.
constexpr std::string_view kSchema = R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Settings of pomelohalld",
  "type": "object",
  "additionalProperties": false,
  "required": ["cluster", "name", "region", "data_centre", "platform"],
  "definitions": {
    "name": {
      "type": "string",
      "pattern": "^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$",
      "$comment": "1 to 63 of a-z, 0-9 and '-', without '-' at either end"
    },
    "listen_address": {
      "type": "string",
      "pattern": "^([0-9.]+|\\[[0-9A-Fa-f:.]+\\]):[0-9]{1,5}$",
      "$comment": "\"ip:port\" with a port of 0 (any free port) to 65535"
    },
    "address": {
      "type": "string",
      "pattern": "^([0-9.]+|\\[[0-9A-Fa-f:.]+\\]):[1-9][0-9]{0,4}$",
      "$comment": "\"ip:port\" with a port of 1 to 65535"
    },
    "address_list": {
      "type": "array",
      "items": {"$ref": "#/definitions/address"}
    }
  },
  "properties": {
    "cluster": {"$ref": "#/definitions/name"},
    "name": {"$ref": "#/definitions/name"},
    "region": {"$ref": "#/definitions/name"},
    "data_centre": {"$ref": "#/definitions/name"},
    "listeners": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "caller": {"$ref": "#/definitions/listen_address"},
        "forward": {"$ref": "#/definitions/listen_address"},
        "peer": {"$ref": "#/definitions/listen_address"},
        "local": {"$ref": "#/definitions/listen_address"}
      }
    },
    "advertised": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "caller": {"$ref": "#/definitions/address"},
        "forward": {"$ref": "#/definitions/address"},
        "peer": {"$ref": "#/definitions/address"},
        "local": {"$ref": "#/definitions/address"}
      }
    },
    "seeds": {"$ref": "#/definitions/address_list"},
    "platform": {
      "type": "object",
      "additionalProperties": false,
      "required": ["address"],
      "properties": {
        "address": {"$ref": "#/definitions/address"},
        "namespace": {"$ref": "#/definitions/name"}
      }
    },
    "log_level": {"type": "string", "enum": ["info", "warning", "error"]},
    "stop_grace_ms": {"type": "integer", "minimum": 2000, "maximum": 3600000},
    "test": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "blocked_peers": {"$ref": "#/definitions/address_list"},
        "tick_ms": {"type": "integer", "minimum": 1, "maximum": 10000}
      }
    }
  }
})json";

}  // namespace

std::string_view DaemonSettingsSchema() { return kSchema; }

}  // namespace pomelohall
