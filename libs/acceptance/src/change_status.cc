#include "acceptance/change_status.h"

#include <charconv>

namespace pomelohall {

std::string MakeChangeId(config_version version, std::string_view nonce) {
  return std::to_string(version) + "-" + std::string(nonce);
}

std::optional<config_version> VersionOfChangeId(std::string_view change_id) {
  config_version version = 0;
  const char* const end = change_id.data() + change_id.size();
  const auto parsed = std::from_chars(change_id.data(), end, version);
  const bool well_formed = parsed.ec == std::errc() && parsed.ptr != end &&
                           *parsed.ptr == '-' && parsed.ptr + 1 != end;
  if (!well_formed || version == 0) return std::nullopt;
  return version;
}

change_lookup LookUpChange(const accepted_change& change,
                           const config_head& head) {
  if (head.version < change.version) return {.status = change_status::kPending};
  // The list has one id per version, newest first.
  const config_version age = head.version - change.version;
  if (age >= head.recent_change_ids.size()) {
    return {.status = change_status::kNotRecorded};
  }
  const std::string& id = head.recent_change_ids[age];
  if (id == change.change_id) return {.status = change_status::kAccepted};
  return {.status = change_status::kSuperseded,
          .winner = accepted_change{change.version, id}};
}

}  // namespace pomelohall
