#include "acceptance_runner.h"

#include <utility>
#include <variant>

#include "acceptance/config_objects.h"

namespace pomelohall {

acceptance_done acceptance_runner::Run() {
  Add(machine_.Start(environment_.Now()));
  while (!done_) {
    if (queue_.empty()) {
      environment_.RunOnce();
      continue;
    }
    const acceptance_action action = std::move(queue_.front());
    queue_.pop_front();
    std::visit([this](const auto& each) { Execute(each); }, action);
  }
  return *done_;
}

void acceptance_runner::Add(const acceptance_actions& actions) {
  queue_.insert(queue_.end(), actions.begin(), actions.end());
}

void acceptance_runner::Execute(const read_head&) {
  environment_.Store().Get(kHeadPlural, kHeadName, [this](const auto& answer) {
    Add(machine_.OnHead(answer, environment_.Now()));
  });
}

void acceptance_runner::Execute(const create_section& action) {
  environment_.Store().Create(
      action.object, [this, digest = action.object.name](const auto& answer) {
        Add(machine_.OnSection(digest, answer, environment_.Now()));
      });
}

void acceptance_runner::Execute(const write_head& action) {
  PrintChangeId(action.change_id);
  const auto done = [this](const result<stored_object>& answer) {
    Add(machine_.OnHeadWritten(answer, environment_.Now()));
  };
  if (action.object.resource_version.empty()) {
    environment_.Store().Create(action.object, done);
  } else {
    environment_.Store().Update(action.object, done);
  }
}

void acceptance_runner::Execute(const pause_for& action) {
  environment_.Sleep(action.span);
  Add(machine_.OnPauseEnded(environment_.Now()));
}

void acceptance_runner::Execute(const acceptance_done& action) {
  done_ = action;
}

// Printed before the write, so that the outcome of the change can still be
// resolved if the command is killed.
void acceptance_runner::PrintChangeId(const std::string& change_id) {
  if (std::exchange(printed_change_id_, change_id) == change_id) return;
  environment_.Notice("writing change " + change_id);
}

}  // namespace pomelohall
