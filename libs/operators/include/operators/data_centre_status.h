#ifndef POMELOHALL_OPERATORS_DATA_CENTRE_STATUS_H_
#define POMELOHALL_OPERATORS_DATA_CENTRE_STATUS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/error.h"
#include "model/image.h"
#include "platform/object_store.h"

namespace pomelohall {

inline constexpr const char* kStatusPlural = "datacentrestatuses";

/// Status that the aggregator of a data centre publishes for operators, stored
/// as the object `datacentrestatuses/<data_centre>`.
struct data_centre_status {
  std::string data_centre;
  std::uint32_t members = 0;  ///< Number of alive and suspect daemons.
  /// Lowest version in force, 0 if a daemon has none.
  config_version lowest = 0;
  config_version highest = 0;    ///< Highest version in force.
  std::uint32_t at_highest = 0;  ///< Daemons with `highest` in force.
  /// Number of ready backend servers by service.
  std::map<std::string, std::uint32_t> backend_servers;
  std::int64_t updated_unix_ms = 0;  ///< Time of collection.

  bool operator==(const data_centre_status&) const = default;
};

/// Returns the number of daemons that do not have `version` in force yet. If
/// `highest` is above `version`, the result is an upper bound.
std::uint32_t LaggingMembers(const data_centre_status& status,
                             config_version version);

/// Converts the status to and from JSON, the spec of its object. Parsing fails
/// with `kProtocolError` and names the malformed field.
std::string FormatDataCentreStatus(const data_centre_status& status);
result<data_centre_status> ParseDataCentreStatus(std::string_view json_text);

/// Returns the platform object that stores the status.
/// @param resource_version Empty for an object not stored yet.
stored_object StatusObject(const data_centre_status& status,
                           std::string resource_version);

}  // namespace pomelohall

#endif  // POMELOHALL_OPERATORS_DATA_CENTRE_STATUS_H_
