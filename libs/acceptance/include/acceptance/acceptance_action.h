#ifndef POMELOHALL_ACCEPTANCE_ACCEPTANCE_ACTION_H_
#define POMELOHALL_ACCEPTANCE_ACCEPTANCE_ACTION_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "acceptance/change_status.h"
#include "base/error.h"
#include "base/time.h"
#include "platform/object_store.h"

namespace pomelohall {

/// Read the head object. Answered by OnHead().
struct read_head {};

/// Create a section object. Answered by OnSection().
struct create_section {
  stored_object object;
};

/// Update the head, or create it if `object` has no resource version. Answered
/// by OnHeadWritten().
struct write_head {
  stored_object object;
  /// Shown to the operator before the write, so that the outcome can be looked
  /// up if the command is killed.
  std::string change_id;
};

/// Call OnPauseEnded() after `span`.
struct pause_for {
  duration span;
};

/// Report the outcome. No action follows.
struct acceptance_done {
  /// The accepted change, or an error: `kInvalidConfiguration`, `kConflict`
  /// (another change was accepted first), `kPlatformUnavailable` (nothing was
  /// changed), `kOutcomeUnknown` (can be resolved by the change id),
  /// `kNotFound` (a resolved change has not taken effect), or an error of the
  /// platform.
  result<accepted_change> outcome;
  /// Id with which the change may have been written; empty if it was not
  /// written.
  std::string change_id;
  /// For `kConflict`: the change that was accepted instead, if known.
  std::optional<accepted_change> winner;
  /// False if the head already had the same configuration.
  bool changed = true;
};

/// An action that the owner of an acceptance_state_machine executes.
using acceptance_action = std::variant<read_head, create_section, write_head,
                                       pause_for, acceptance_done>;
using acceptance_actions = std::vector<acceptance_action>;

/// Options for retries while the platform is unavailable.
struct acceptance_options {
  /// Time from the start after which no further attempt is made.
  duration retry_timeout = std::chrono::seconds(30);
  duration backoff_base = std::chrono::milliseconds(100);
  duration backoff_cap = std::chrono::seconds(2);
};

}  // namespace pomelohall

#endif  // POMELOHALL_ACCEPTANCE_ACCEPTANCE_ACTION_H_
