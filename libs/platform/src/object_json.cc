#include "platform/object_json.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/json_text.h"

namespace pomelohall {
namespace {

using nlohmann::json;

constexpr std::string_view kApiVersion = "pomelohall.dev/v1";

constexpr std::array<std::pair<std::string_view, std::string_view>, 5> kKinds{{
    {"configheads", "ConfigHead"},
    {"configsections", "ConfigSection"},
    {"datacentrestatuses", "DataCentreStatus"},
    {"slowindows", "SloWindow"},
    {"claims", "Claim"},
}};

std::string_view KindForPlural(std::string_view plural) {
  for (const auto& [name, kind] : kKinds) {
    if (name == plural) return kind;
  }
  return plural;
}

std::string TextField(const json& value, const char* field) {
  const auto found = value.find(field);
  return found != value.end() && found->is_string() ? found->get<std::string>()
                                                    : "";
}

}  // namespace

std::string CollectionPath(std::string_view name_space,
                           std::string_view plural) {
  return "/apis/" + std::string(kApiVersion) + "/namespaces/" +
         std::string(name_space) + "/" + std::string(plural);
}

std::string FormatObject(const stored_object& object,
                         std::string_view name_space,
                         std::string_view created) {
  json metadata = {{"name", object.name}, {"namespace", name_space}};
  if (!object.resource_version.empty()) {
    metadata["resourceVersion"] = object.resource_version;
  }
  if (!created.empty()) metadata["creationTimestamp"] = created;
  return json{{"apiVersion", kApiVersion},
              {"kind", KindForPlural(object.plural)},
              {"metadata", std::move(metadata)},
              {"spec", json::parse(object.spec, nullptr, false)}}
      .dump();
}

result<stored_object> ParseObject(std::string_view json_text,
                                  const std::string& plural) {
  // Each member is parsed on its own: a spec that cannot be parsed must not
  // hide the version, without which its writer cannot replace it.
  const json_members members(json_text);
  const auto metadata = ParseJson(members.Find("metadata"));
  const auto spec_text = members.Find("spec");
  if (!metadata.is_object() || spec_text.empty()) {
    return Fail(error_kind::kProtocolError,
                "an object of " + plural + " lacks metadata or spec");
  }
  const auto spec = ParseJson(spec_text);
  return stored_object{
      .plural = plural,
      .name = TextField(metadata, "name"),
      .resource_version = TextField(metadata, "resourceVersion"),
      .spec = spec.is_discarded() ? std::string() : spec.dump()};
}

}  // namespace pomelohall
