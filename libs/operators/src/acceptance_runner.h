#ifndef POMELOHALL_OPERATORS_ACCEPTANCE_RUNNER_H_
#define POMELOHALL_OPERATORS_ACCEPTANCE_RUNNER_H_

#include <deque>
#include <optional>
#include <string>

#include "acceptance/acceptance_state_machine.h"
#include "operators/environment.h"

namespace pomelohall {

/// Carries out the actions of an acceptance state machine until it is done.
/// Actions that are due together are in progress at the same time.
class acceptance_runner {
 public:
  acceptance_runner(environment& where, acceptance_state_machine& machine)
      : environment_(where), machine_(machine) {}

  acceptance_done Run();

 private:
  void Do(const read_head& action);
  void Do(const create_section& action);
  void Do(const write_head& action);
  void Do(const pause_for& action);
  void Do(const acceptance_done& action);
  void Add(const acceptance_actions& actions);
  void ShowChangeId(const std::string& change_id);

  environment& environment_;
  acceptance_state_machine& machine_;
  std::deque<acceptance_action> queue_;
  std::string shown_change_id_;
  std::optional<acceptance_done> done_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_OPERATORS_ACCEPTANCE_RUNNER_H_
