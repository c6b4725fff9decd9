#ifndef POMELOHALL_ACCEPTANCE_ACCEPTANCE_STATE_MACHINE_H_
#define POMELOHALL_ACCEPTANCE_ACCEPTANCE_STATE_MACHINE_H_

#include <string>

#include "acceptance/acceptance_action.h"
#include "base/error.h"
#include "base/time.h"
#include "platform/object_store.h"

namespace pomelohall {

/// A state machine that accesses the platform by means of actions.
///
/// The owner executes the actions that Start() returns, passes each answer to
/// the corresponding function and executes the actions that it returns, until
/// acceptance_done. Answers that belong to no action in progress are ignored.
class acceptance_state_machine {
 public:
  virtual ~acceptance_state_machine() = default;

  virtual acceptance_actions Start(instant now) = 0;
  virtual acceptance_actions OnHead(const result<stored_object>& answer,
                                    instant now) = 0;
  virtual acceptance_actions OnSection(const std::string& digest,
                                       const result<stored_object>& answer,
                                       instant now) = 0;
  virtual acceptance_actions OnHeadWritten(const result<stored_object>& answer,
                                           instant now) = 0;
  virtual acceptance_actions OnPauseEnded(instant now) = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_ACCEPTANCE_ACCEPTANCE_STATE_MACHINE_H_
