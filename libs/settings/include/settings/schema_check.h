#ifndef POMELOHALL_SETTINGS_SCHEMA_CHECK_H_
#define POMELOHALL_SETTINGS_SCHEMA_CHECK_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace pomelohall {

/// Faults of a document: JSON pointer of the field and what is wrong with it.
using schema_faults = std::map<std::string, std::string>;

/// Checks `document` against a JSON Schema (draft 7) with local references.
/// @return The faults found, empty if the document is valid.
schema_faults CheckAgainstSchema(const nlohmann::json& schema,
                                 const nlohmann::json& document);

/// Returns the dotted names of all fields of the schema that are no objects.
std::vector<std::string> SchemaFields(const nlohmann::json& schema);

}  // namespace pomelohall

#endif  // POMELOHALL_SETTINGS_SCHEMA_CHECK_H_
