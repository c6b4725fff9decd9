#ifndef POMELOHALL_SETTINGS_SCHEMA_CHECK_H_
#define POMELOHALL_SETTINGS_SCHEMA_CHECK_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace pomelohall {

/// Validation errors of a document: JSON pointer of the field to the message.
using schema_errors = std::map<std::string, std::string>;

/// Validates `document` against a JSON Schema (draft 7) with local references.
/// @return The errors found; empty if the document is valid.
schema_errors ValidateAgainstSchema(const nlohmann::json& schema,
                                    const nlohmann::json& document);

/// Returns the dotted names of all fields of the schema that are not objects,
/// in alphabetical order.
std::vector<std::string> SchemaFields(const nlohmann::json& schema);

}  // namespace pomelohall

#endif  // POMELOHALL_SETTINGS_SCHEMA_CHECK_H_
