#ifndef POMELOHALL_ACCEPTANCE_ACCEPTANCE_ACTION_H_
#define POMELOHALL_ACCEPTANCE_ACCEPTANCE_ACTION_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "acceptance/change_fate.h"
#include "base/error.h"
#include "base/time.h"
#include "platform/object_store.h"

namespace pomelohall {

/// Read the head object; answer with OnHead().
struct read_head {};

/// Create a section object; answer with OnSection().
struct create_section {
  stored_object object;
};

/// Create (no resource version) or update the head; answer with
/// OnHeadWritten().
struct write_head {
  stored_object object;
  std::string change_id;  ///< Worth noting down before the write.
};

/// Call OnTick() after `span`.
struct pause_for {
  duration span;
};

/// The outcome. Nothing follows.
struct acceptance_done {
  /// On success the accepted change. Errors: `kInvalidConfiguration`,
  /// `kConflict` (lost a race), `kPlatformUnavailable` (nothing was changed),
  /// `kOutcomeUnknown` (resolve it by the change id), `kNotFound` (a resolved
  /// change has not taken effect), and what the platform refuses.
  result<accepted_change> outcome;
  /// Id under which the change may have been written; empty if it was not.
  std::string change_id;
  /// For `kConflict`: who won, if the platform could be asked.
  std::optional<accepted_change> winner;
  /// False if the head held the same configuration already.
  bool changed = true;
};

/// What the caller of a state machine has to do.
using acceptance_action = std::variant<read_head, create_section, write_head,
                                       pause_for, acceptance_done>;
using acceptance_actions = std::vector<acceptance_action>;

/// Limits for tries while the platform does not answer.
struct acceptance_options {
  /// Time from the start after which no further try is made.
  duration give_up_after = std::chrono::seconds(30);
  duration backoff_base = std::chrono::milliseconds(100);
  duration backoff_cap = std::chrono::seconds(2);
};

}  // namespace pomelohall

#endif  // POMELOHALL_ACCEPTANCE_ACCEPTANCE_ACTION_H_
