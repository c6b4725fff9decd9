#include "operators/data_centre_status.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace pomelohall {
namespace {

using nlohmann::json;

template <typename Number>
bool ReadNumber(const json& value, const char* field, Number& out) {
  const auto found = value.find(field);
  if (found == value.end() || !found->is_number_unsigned()) return false;
  out = found->get<Number>();
  return true;
}

bool ReadCounts(const json& value, std::map<std::string, std::uint32_t>& out) {
  const auto found = value.find("backend_servers");
  if (found == value.end() || !found->is_object()) return false;
  for (const auto& [service, count] : found->items()) {
    if (!count.is_number_unsigned()) return false;
    out[service] = count.get<std::uint32_t>();
  }
  return true;
}

// Returns the name of the first field that is missing or malformed, or "".
std::string_view ReadFields(const json& value, data_centre_status& out) {
  const auto name = value.find("data_centre");
  if (name == value.end() || !name->is_string()) return "data_centre";
  out.data_centre = name->get<std::string>();
  if (!ReadNumber(value, "members", out.members)) return "members";
  if (!ReadNumber(value, "lowest", out.lowest)) return "lowest";
  if (!ReadNumber(value, "highest", out.highest)) return "highest";
  if (!ReadNumber(value, "at_highest", out.at_highest)) return "at_highest";
  if (!ReadNumber(value, "updated_unix_ms", out.updated_unix_ms)) {
    return "updated_unix_ms";
  }
  return ReadCounts(value, out.backend_servers) ? "" : "backend_servers";
}

}  // namespace

std::uint32_t LaggingMembers(const data_centre_status& status,
                             config_version version) {
  if (status.lowest >= version) return 0;
  if (status.highest < version) return status.members;
  return status.members - std::min(status.at_highest, status.members);
}

std::string FormatDataCentreStatus(const data_centre_status& status) {
  return json{{"data_centre", status.data_centre},
              {"members", status.members},
              {"lowest", status.lowest},
              {"highest", status.highest},
              {"at_highest", status.at_highest},
              {"backend_servers", status.backend_servers},
              {"updated_unix_ms", status.updated_unix_ms}}
      .dump();
}

result<data_centre_status> ParseDataCentreStatus(std::string_view json_text) {
  const json value = json::parse(json_text, nullptr, false);
  if (!value.is_object()) {
    return Fail(error_kind::kProtocolError,
                "the data centre status is not a JSON object");
  }
  data_centre_status status;
  if (const auto field = ReadFields(value, status); !field.empty()) {
    return Fail(error_kind::kProtocolError,
                "the data centre status \"" + status.data_centre +
                    "\": field /" + std::string(field) +
                    " is missing or has the wrong type");
  }
  return status;
}

stored_object StatusObject(const data_centre_status& status,
                           std::string resource_version) {
  return {.plural = kStatusPlural,
          .name = status.data_centre,
          .resource_version = std::move(resource_version),
          .spec = FormatDataCentreStatus(status)};
}

}  // namespace pomelohall
