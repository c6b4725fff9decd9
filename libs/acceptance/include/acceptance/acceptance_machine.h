#ifndef POMELOHALL_ACCEPTANCE_ACCEPTANCE_MACHINE_H_
#define POMELOHALL_ACCEPTANCE_ACCEPTANCE_MACHINE_H_

#include <string>

#include "acceptance/acceptance_action.h"
#include "base/error.h"
#include "base/time.h"
#include "platform/object_store.h"

namespace pomelohall {

/// A state machine that talks to the platform through actions.
///
/// Use: carry out the actions of Start(), pass each answer to its function and
/// carry out the actions that it returns, until acceptance_done. An answer that
/// belongs to no action in progress is ignored.
class acceptance_machine {
 public:
  virtual ~acceptance_machine() = default;

  virtual acceptance_actions Start(instant now) = 0;
  virtual acceptance_actions OnHead(const result<stored_object>& answer,
                                    instant now) = 0;
  virtual acceptance_actions OnSection(const std::string& digest,
                                       const result<stored_object>& answer,
                                       instant now) = 0;
  virtual acceptance_actions OnHeadWritten(const result<stored_object>& answer,
                                           instant now) = 0;
  virtual acceptance_actions OnTick(instant now) = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_ACCEPTANCE_ACCEPTANCE_MACHINE_H_
