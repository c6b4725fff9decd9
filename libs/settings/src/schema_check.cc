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

constexpr std::size_t kMaxValueBytes = 120;

// Follows a local reference, "$ref": "#/definitions/...", if there is one.
const json& ResolveReference(const json& root, const json& schema) {
  const auto reference = schema.find("$ref");
  if (reference == schema.end()) return schema;
  const auto target = reference->get<std::string>().substr(1);
  return root.at(json::json_pointer(target));
}

// Returns the field names and array indexes in the path of a valijson error,
// whose elements have the form "<root>", "[field]" or "[index]".
std::vector<std::string> PathSegments(const std::vector<std::string>& context) {
  std::vector<std::string> segments;
  for (const auto& item : context) {
    if (item.size() < 2 || item.front() != '[') continue;
    segments.push_back(item.substr(1, item.size() - 2));
  }
  return segments;
}

std::string AppendPath(std::string path, const std::string& field) {
  path += "/";
  path += field;
  return path;
}

std::string ToJsonPointer(const std::vector<std::string>& segments) {
  std::string path;
  for (const auto& segment : segments)
    path = AppendPath(std::move(path), segment);
  return path;
}

const json* FindSchema(const json& root,
                       const std::vector<std::string>& segments) {
  const json* schema = &root;
  for (const auto& segment : segments) {
    if (schema->contains("items")) {
      schema = &ResolveReference(root, schema->at("items"));
    } else if (schema->contains("properties") &&
               schema->at("properties").contains(segment)) {
      schema = &ResolveReference(root, schema->at("properties").at(segment));
    } else {
      return nullptr;
    }
  }
  return schema;
}

std::string FormatValue(const json& value) {
  std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
  if (text.size() > kMaxValueBytes) text = text.substr(0, kMaxValueBytes) + "…";
  return text;
}

std::string DescribeAllowed(const json& schema) {
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

// Adds an error for each unknown and each missing field; valijson reports both
// for the containing object.
void AddObjectErrors(const json& root, const json& schema, const json& value,
                     const std::string& path, schema_errors& errors) {
  for (const auto& [name, unused] : value.items()) {
    if (schema.at("properties").contains(name)) continue;
    errors[AppendPath(path, name)] =
        "unknown field, allowed: " + FieldNames(schema);
  }
  for (const auto& name : schema.value("required", json::array())) {
    const auto field = name.get<std::string>();
    if (value.contains(field)) continue;
    const json& field_schema =
        ResolveReference(root, schema.at("properties").at(field));
    errors[AppendPath(path, field)] =
        "found no value, required: " + DescribeAllowed(field_schema);
  }
}

void AddError(const json& root, const json& document,
              const std::vector<std::string>& segments, schema_errors& errors) {
  const std::string path = ToJsonPointer(segments);
  const json* schema = FindSchema(root, segments);
  if (schema == nullptr) return;
  const json& value = document.at(json::json_pointer(path));
  if (value.is_object() && schema->contains("properties")) {
    AddObjectErrors(root, *schema, value, path, errors);
  } else if (value.is_array() && schema->contains("items")) {
    return;  // valijson also reports the invalid items themselves.
  } else {
    errors[path] = "found " + FormatValue(value) +
                   ", allowed: " + DescribeAllowed(*schema);
  }
}

void CollectFields(const json& root, const json& schema,
                   const std::string& prefix, std::vector<std::string>& names) {
  for (const auto& [name, item] : schema.at("properties").items()) {
    const json& field = ResolveReference(root, item);
    if (field.contains("properties")) {
      CollectFields(root, field, prefix + name + ".", names);
    } else {
      names.push_back(prefix + name);
    }
  }
}

}  // namespace

schema_errors ValidateAgainstSchema(const json& schema, const json& document) {
  valijson::Schema compiled;
  valijson::SchemaParser parser;
  const NlohmannJsonAdapter schema_adapter(schema);
  parser.populateSchema(schema_adapter, compiled);
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults results;
  const NlohmannJsonAdapter document_adapter(document);
  schema_errors errors;
  if (validator.validate(compiled, document_adapter, &results)) return errors;
  for (const auto& error : results) {
    AddError(schema, document, PathSegments(error.context), errors);
  }
  if (errors.empty()) errors[""] = "the settings do not match the schema";
  return errors;
}

std::vector<std::string> SchemaFields(const json& schema) {
  std::vector<std::string> names;
  CollectFields(schema, schema, "", names);
  std::sort(names.begin(), names.end());
  return names;
}

}  // namespace pomelohall
