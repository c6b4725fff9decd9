#ifndef POMELOHALL_MODEL_CONFIGURATION_JSON_H_
#define POMELOHALL_MODEL_CONFIGURATION_JSON_H_

#include <nlohmann/json.hpp>

#include "base/error.h"
#include "model/configuration.h"

namespace pomelohall {

/// Converts a document to JSON. Inverse of ReadConfiguration().
nlohmann::json ToJson(const configuration& document);

/// Reads a document without validating references. Fails with
/// `kInvalidConfiguration` and the paths of all malformed fields.
result<configuration> ReadConfiguration(const nlohmann::json& value);

}  // namespace pomelohall

#endif  // POMELOHALL_MODEL_CONFIGURATION_JSON_H_
