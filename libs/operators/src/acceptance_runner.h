#ifndef POMELOHALL_OPERATORS_ACCEPTANCE_RUNNER_H_
#define POMELOHALL_OPERATORS_ACCEPTANCE_RUNNER_H_

#include <deque>
#include <optional>
#include <string>

#include "acceptance/acceptance_state_machine.h"
#include "operators/environment.h"

namespace pomelohall {

/// Executes the actions of an acceptance state machine until it is done. Store
/// calls returned together run concurrently.
class acceptance_runner {
 public:
  acceptance_runner(environment& env, acceptance_state_machine& machine)
      : environment_(env), machine_(machine) {}

  acceptance_done Run();

 private:
  void Execute(const read_head& action);
  void Execute(const create_section& action);
  void Execute(const write_head& action);
  void Execute(const pause_for& action);
  void Execute(const acceptance_done& action);
  void Add(const acceptance_actions& actions);
  void PrintChangeId(const std::string& change_id);

  environment& environment_;
  acceptance_state_machine& machine_;
  std::deque<acceptance_action> queue_;
  std::string printed_change_id_;
  std::optional<acceptance_done> done_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_OPERATORS_ACCEPTANCE_RUNNER_H_
