#include "acceptance/config_objects.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/digest.h"

namespace pomelohall {

using nlohmann::json;

stored_object MakeHeadObject(const config_head& head,
                             std::string resource_version) {
  return {.plural = kHeadPlural,
          .name = kHeadName,
          .resource_version = std::move(resource_version),
          .spec = FormatHead(head)};
}

result<config_head> ParseHeadObject(const stored_object& object) {
  return ParseHead(object.spec);
}

stored_object MakeSectionObject(const std::string& digest,
                                const std::string& bytes) {
  return {.plural = kSectionPlural,
          .name = digest,
          .resource_version = "",
          .spec = "{\"data\":" + bytes + "}"};
}

result<section_bytes> ParseSectionObject(const stored_object& object) {
  const json spec = json::parse(object.spec, nullptr, false);
  if (!spec.is_object() || !spec.contains("data")) {
    return Fail(error_kind::kProtocolError,
                "the spec of section " + object.name +
                    " is not a JSON object with the field \"data\"");
  }
  auto bytes = std::make_shared<const std::string>(spec["data"].dump());
  if (Sha256Hex(*bytes) != object.name) {
    return Fail(
        error_kind::kProtocolError,
        "the data of section " + object.name + " does not match its digest");
  }
  return bytes;
}

}  // namespace pomelohall
