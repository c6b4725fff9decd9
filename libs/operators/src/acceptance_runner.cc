#include "acceptance_runner.h"

#include <utility>
#include <variant>

#include "acceptance/config_objects.h"
#include "operators/store_calls.h"

namespace pomelohall {

acceptance_done acceptance_runner::Run() {
  const auto started = machine_.Start(environment_.Now());
  std::deque<acceptance_action> queue(started.begin(), started.end());
  while (!done_) {
    const acceptance_action action = std::move(queue.front());
    queue.pop_front();
    const auto next =
        std::visit([this](const auto& each) { return Do(each); }, action);
    queue.insert(queue.end(), next.begin(), next.end());
  }
  return *done_;
}

acceptance_actions acceptance_runner::Do(const read_head&) {
  const auto answer = GetObject(environment_, kHeadPlural, kHeadName);
  return machine_.OnHead(answer, environment_.Now());
}

acceptance_actions acceptance_runner::Do(const create_section& action) {
  const auto answer = Await<stored_object>(environment_, [&](auto done) {
    environment_.Store().Create(action.object, std::move(done));
  });
  return machine_.OnSection(action.object.name, answer, environment_.Now());
}

acceptance_actions acceptance_runner::Do(const write_head& action) {
  ShowChangeId(action.change_id);
  const bool first = action.object.resource_version.empty();
  const auto answer = Await<stored_object>(environment_, [&](auto done) {
    if (first) {
      environment_.Store().Create(action.object, std::move(done));
    } else {
      environment_.Store().Update(action.object, std::move(done));
    }
  });
  return machine_.OnHeadWritten(answer, environment_.Now());
}

acceptance_actions acceptance_runner::Do(const pause_for& action) {
  environment_.Sleep(action.span);
  return machine_.OnTick(environment_.Now());
}

acceptance_actions acceptance_runner::Do(const acceptance_done& action) {
  done_ = action;
  return {};
}

// Shown before the write, so that an operator whose command is killed can
// still find out what became of the change.
void acceptance_runner::ShowChangeId(const std::string& change_id) {
  if (std::exchange(shown_change_id_, change_id) == change_id) return;
  environment_.Notice("writing change " + change_id);
}

}  // namespace pomelohall
