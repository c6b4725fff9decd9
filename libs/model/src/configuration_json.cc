#include "configuration_json.h"

#include <algorithm>
#include <cstddef>
#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

namespace pomelohall {
namespace {

using nlohmann::json;

// Reads the fields of one JSON object and collects validation issues.
class object_reader {
 public:
  object_reader(const json& value, std::string path,
                std::vector<validation_issue>& issues)
      : value_(value), path_(std::move(path)), issues_(issues) {
    if (!value_.is_object()) {
      AddIssue(
          "", "found " + std::string(value_.type_name()) + ", allowed: object");
    }
  }

  void AllowOnly(std::initializer_list<std::string_view> fields) {
    if (!value_.is_object()) return;
    for (const auto& [key, unused] : value_.items()) {
      if (std::find(fields.begin(), fields.end(), key) == fields.end()) {
        AddIssue("/" + key, "unknown field");
      }
    }
  }

  void Read(const char* field, std::string& out, bool required = true) {
    if (const json* found = Find(field, required)) {
      if (!found->is_string()) return AddTypeIssue(field, *found, "string");
      out = found->get<std::string>();
    }
  }

  void Read(const char* field, std::int64_t& out, bool required) {
    if (const json* found = Find(field, required)) {
      if (!found->is_number_integer()) {
        return AddTypeIssue(field, *found, "integer");
      }
      out = found->get<std::int64_t>();
    }
  }

  void Read(const char* field, double& out, bool required) {
    if (const json* found = Find(field, required)) {
      if (!found->is_number()) return AddTypeIssue(field, *found, "number");
      out = found->get<double>();
    }
  }

  const json* Find(const char* field, bool required) {
    if (!value_.is_object()) return nullptr;
    const auto found = value_.find(field);
    if (found != value_.end()) return &*found;
    if (required)
      AddIssue("/" + std::string(field), "required field is missing");
    return nullptr;
  }

  void AddIssue(const std::string& field, std::string message) {
    issues_.push_back({path_ + field, std::move(message)});
  }

  std::string PathOf(const char* field) const { return path_ + "/" + field; }

 private:
  void AddTypeIssue(const char* field, const json& found, const char* allowed) {
    AddIssue(
        "/" + std::string(field),
        "found " + std::string(found.type_name()) + ", allowed: " + allowed);
  }

  const json& value_;
  std::string path_;
  std::vector<validation_issue>& issues_;
};

service ReadService(object_reader& reader) {
  service item;
  reader.AllowOnly({"name"});
  reader.Read("name", item.name);
  return item;
}

target ReadTarget(const json& value, const std::string& path,
                  std::vector<validation_issue>& issues) {
  target item;
  object_reader reader(value, path, issues);
  reader.AllowOnly({"within_ms", "share", "min_bytes_per_s"});
  reader.Read("within_ms", item.within_ms, true);
  reader.Read("share", item.share, true);
  reader.Read("min_bytes_per_s", item.min_bytes_per_s, false);
  return item;
}

work_class ReadClass(object_reader& reader,
                     std::vector<validation_issue>& issues) {
  work_class item;
  reader.AllowOnly({"name", "service", "kind", "target"});
  reader.Read("name", item.name);
  reader.Read("service", item.service);
  std::string kind;
  reader.Read("kind", kind);
  if (const auto found = FindClassKind(kind)) {
    item.kind = *found;
  } else if (!kind.empty()) {
    reader.AddIssue("/kind", "found \"" + kind +
                                 "\", allowed: lookup, download, transaction");
  }
  if (const json* value = reader.Find("target", true)) {
    item.target = ReadTarget(*value, reader.PathOf("target"), issues);
  }
  return item;
}

route ReadRoute(object_reader& reader) {
  route item;
  reader.AllowOnly({"path_prefix", "method", "class"});
  reader.Read("path_prefix", item.path_prefix);
  reader.Read("method", item.method, false);
  reader.Read("class", item.work_class);
  return item;
}

template <typename Item, typename ReadItem>
void ReadList(object_reader& parent, const char* field,
              std::vector<validation_issue>& issues, std::vector<Item>& out,
              ReadItem read_item) {
  const json* list = parent.Find(field, true);
  if (list == nullptr) return;
  if (!list->is_array()) {
    parent.AddIssue(
        "/" + std::string(field),
        "found " + std::string(list->type_name()) + ", allowed: array");
    return;
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    object_reader reader(
        (*list)[i], parent.PathOf(field) + "/" + std::to_string(i), issues);
    out.push_back(read_item(reader));
  }
}

json ToJson(const work_class& item) {
  json target = {{"within_ms", item.target.within_ms},
                 {"share", item.target.share}};
  if (item.target.min_bytes_per_s > 0) {
    target["min_bytes_per_s"] = item.target.min_bytes_per_s;
  }
  return {{"name", item.name},
          {"service", item.service},
          {"kind", std::string(ClassKindName(item.kind))},
          {"target", std::move(target)}};
}

json ToJson(const route& item) {
  json value = {{"path_prefix", item.path_prefix}, {"class", item.work_class}};
  if (!item.method.empty()) value["method"] = item.method;
  return value;
}

}  // namespace

json ToJson(const configuration& document) {
  json services = json::array();
  json classes = json::array();
  json routes = json::array();
  for (const auto& item : document.services) {
    services.push_back({{"name", item.name}});
  }
  for (const auto& item : document.classes) classes.push_back(ToJson(item));
  for (const auto& item : document.routes) routes.push_back(ToJson(item));
  return {{"services", std::move(services)},
          {"classes", std::move(classes)},
          {"routes", std::move(routes)}};
}

result<configuration> ReadConfiguration(const json& value) {
  configuration document;
  std::vector<validation_issue> issues;
  object_reader reader(value, "", issues);
  reader.AllowOnly({"services", "classes", "routes"});
  ReadList(reader, "services", issues, document.services, ReadService);
  ReadList(reader, "classes", issues, document.classes,
           [&issues](object_reader& item) { return ReadClass(item, issues); });
  ReadList(reader, "routes", issues, document.routes, ReadRoute);
  if (!issues.empty()) {
    return Fail(error_kind::kInvalidConfiguration, FormatIssues(issues));
  }
  return document;
}

result<configuration> ParseConfiguration(std::string_view json_text) {
  const json value = json::parse(json_text, nullptr, false);
  if (value.is_discarded()) {
    return Fail(error_kind::kInvalidConfiguration,
                "the document is not valid JSON");
  }
  auto document = ReadConfiguration(value);
  if (!document) return document;
  const auto issues = Validate(*document);
  if (!issues.empty()) {
    return Fail(error_kind::kInvalidConfiguration, FormatIssues(issues));
  }
  return document;
}

std::string FormatConfiguration(const configuration& document) {
  return ToJson(document).dump(2);
}

}  // namespace pomelohall
