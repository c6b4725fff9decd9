#include "policy/owner_call.h"

#include <utility>

namespace pomelohall {

run_state owner_call::Outcome() const {
  if (!sent_ || refused_) return run_state::kNotRun;
  return answered_ ? run_state::kRan : run_state::kUnknown;
}

error owner_call::Failure(error_kind kind, std::string message) const {
  return {kind, std::move(message), Outcome()};
}

}  // namespace pomelohall
