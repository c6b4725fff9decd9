#include "policy/outcome_tracker.h"

#include <utility>

namespace pomelohall {

run_state outcome_tracker::Outcome() const {
  if (!sent_ || refused_) return run_state::kNotRun;
  return response_started_ ? run_state::kRan : run_state::kUnknown;
}

error outcome_tracker::Failure(error_kind kind, std::string message) const {
  return {kind, std::move(message), Outcome()};
}

}  // namespace pomelohall
