#ifndef POMELOHALL_ACCEPTANCE_CHANGE_FATE_H_
#define POMELOHALL_ACCEPTANCE_CHANGE_FATE_H_

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
/// "<version>-<nonce>". The version in the id tells later which entry of a
/// head's recent change ids decides.
/// @param nonce Unique to the writer, of a-z and 0-9.
std::string MakeChangeId(config_version version, std::string_view nonce);

/// Returns the version in a change id, or nothing if it is malformed.
std::optional<config_version> VersionOfChangeId(std::string_view change_id);

/// What a head says about a change.
enum class change_fate {
  kAccepted,   ///< The change became its version.
  kNotYet,     ///< The head is below the change's version.
  kLost,       ///< Another change became that version.
  kForgotten,  ///< More than kRecentChangeIds versions ago; not decidable.
};

/// A fate, and for kLost the change that won.
struct fate_answer {
  change_fate fate = change_fate::kNotYet;
  std::optional<accepted_change> winner{};
};

/// Decides about `change`, which was meant to become `change.version`.
fate_answer FateOf(const accepted_change& change, const config_head& head);

}  // namespace pomelohall

#endif  // POMELOHALL_ACCEPTANCE_CHANGE_FATE_H_
