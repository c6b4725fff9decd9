#include "settings/schema_check.h"

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <utility>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace pomelohall {
namespace {

using nlohmann::json;
using valijson::adapters::NlohmannJsonAdapter;

constexpr std::size_t kMaxShownValue = 120;

// Follows "$ref": "#/definitions/..." to the schema of a value.
const json& Resolve(const json& root, const json& schema) {
  const auto reference = schema.find("$ref");
  if (reference == schema.end()) return schema;
  const auto target = reference->get<std::string>().substr(1);
  return root.at(json::json_pointer(target));
}

// valijson names a node by "<root>", "[field]" and "[index]".
std::vector<std::string> Steps(const std::vector<std::string>& context) {
  std::vector<std::string> steps;
  for (const auto& item : context) {
    if (item.size() < 2 || item.front() != '[') continue;
    steps.push_back(item.substr(1, item.size() - 2));
  }
  return steps;
}

std::string Below(std::string path, const std::string& field) {
  path += "/";
  path += field;
  return path;
}

std::string Pointer(const std::vector<std::string>& steps) {
  std::string path;
  for (const auto& step : steps) path = Below(std::move(path), step);
  return path;
}

const json* SchemaAt(const json& root, const std::vector<std::string>& steps) {
  const json* schema = &root;
  for (const auto& step : steps) {
    if (schema->contains("items")) {
      schema = &Resolve(root, schema->at("items"));
    } else if (schema->contains("properties") &&
               schema->at("properties").contains(step)) {
      schema = &Resolve(root, schema->at("properties").at(step));
    } else {
      return nullptr;
    }
  }
  return schema;
}

std::string Shown(const json& value) {
  std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
  if (text.size() > kMaxShownValue) text = text.substr(0, kMaxShownValue) + "…";
  return text;
}

std::string Allowed(const json& schema) {
  if (schema.contains("$comment")) return schema.at("$comment");
  if (schema.contains("enum")) {
    std::string names;
    for (const auto& name : schema.at("enum")) {
      names += (names.empty() ? "" : ", ") + name.dump();
    }
    return names;
  }
  std::string text = schema.value("type", "another value");
  if (schema.contains("minimum") && schema.contains("maximum")) {
    text += " from " + schema.at("minimum").dump() + " to " +
            schema.at("maximum").dump();
  }
  return text;
}

std::string FieldNames(const json& schema) {
  std::string names;
  for (const auto& [name, unused] : schema.at("properties").items()) {
    names += (names.empty() ? "" : ", ") + name;
  }
  return names;
}

// Names unknown and missing fields, which valijson reports on their object.
void AddObjectFaults(const json& root, const json& schema, const json& value,
                     const std::string& path, schema_faults& faults) {
  for (const auto& [name, unused] : value.items()) {
    if (schema.at("properties").contains(name)) continue;
    faults[Below(path, name)] = "unknown field, allowed: " + FieldNames(schema);
  }
  for (const auto& name : schema.value("required", json::array())) {
    const auto field = name.get<std::string>();
    if (value.contains(field)) continue;
    const json& wanted = Resolve(root, schema.at("properties").at(field));
    faults[Below(path, field)] = "found no value, required: " + Allowed(wanted);
  }
}

void AddFault(const json& root, const json& document,
              const std::vector<std::string>& steps, schema_faults& faults) {
  const std::string path = Pointer(steps);
  const json* schema = SchemaAt(root, steps);
  if (schema == nullptr) return;
  const json& value = document.at(json::json_pointer(path));
  if (value.is_object() && schema->contains("properties")) {
    AddObjectFaults(root, *schema, value, path, faults);
  } else if (value.is_array() && schema->contains("items")) {
    return;  // Its items are reported one by one.
  } else {
    faults[path] = "found " + Shown(value) + ", allowed: " + Allowed(*schema);
  }
}

void AddFields(const json& root, const json& schema, const std::string& prefix,
               std::vector<std::string>& names) {
  for (const auto& [name, item] : schema.at("properties").items()) {
    const json& field = Resolve(root, item);
    if (field.contains("properties")) {
      AddFields(root, field, prefix + name + ".", names);
    } else {
      names.push_back(prefix + name);
    }
  }
}

}  // namespace

schema_faults CheckAgainstSchema(const json& schema, const json& document) {
  valijson::Schema compiled;
  valijson::SchemaParser parser;
  const NlohmannJsonAdapter schema_adapter(schema);
  parser.populateSchema(schema_adapter, compiled);
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults results;
  const NlohmannJsonAdapter document_adapter(document);
  schema_faults faults;
  if (validator.validate(compiled, document_adapter, &results)) return faults;
  for (const auto& fault : results) {
    AddFault(schema, document, Steps(fault.context), faults);
  }
  if (faults.empty()) faults[""] = "the settings do not match the schema";
  return faults;
}

std::vector<std::string> SchemaFields(const json& schema) {
  std::vector<std::string> names;
  AddFields(schema, schema, "", names);
  std::sort(names.begin(), names.end());
  return names;
}

}  // namespace pomelohall
