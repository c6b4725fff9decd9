#ifndef POMELOHALL_ACCEPTANCE_CHANGE_STATUS_H_
#define POMELOHALL_ACCEPTANCE_CHANGE_STATUS_H_

#include <optional>
#include <string>
#include <string_view>

#include "model/image.h"

namespace pomelohall {

/// A version and the change that created it.
struct accepted_change {
  config_version version = 0;
  std::string change_id;

  bool operator==(const accepted_change&) const = default;
};

/// Returns the id of a change that shall become `version`:
/// "<version>-<nonce>". The version in the id determines with which of a head's
/// recent change ids it is compared later.
/// @param nonce Unique to the writer, of a-z and 0-9.
std::string MakeChangeId(config_version version, std::string_view nonce);

/// Returns the version in a change id, or nothing if it is malformed.
std::optional<config_version> VersionOfChangeId(std::string_view change_id);

/// The status of a change according to a head.
enum class change_status {
  kAccepted,    ///< The change became its version.
  kPending,     ///< The head is below the change's version.
  kSuperseded,  ///< Another change became that version.
  /// The head no longer lists the id: the change is kRecentChangeIds or more
  /// versions old.
  kNotRecorded,
};

/// A status, and for kSuperseded the change that was accepted instead.
struct change_lookup {
  change_status status = change_status::kPending;
  std::optional<accepted_change> winner{};
};

/// Returns the status of `change`, which was meant to become `change.version`.
change_lookup LookUpChange(const accepted_change& change,
                           const config_head& head);

}  // namespace pomelohall

#endif  // POMELOHALL_ACCEPTANCE_CHANGE_STATUS_H_
