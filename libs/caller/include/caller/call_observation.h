#ifndef POMELOHALL_CALLER_CALL_OBSERVATION_H_
#define POMELOHALL_CALLER_CALL_OBSERVATION_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/time.h"
#include "model/configuration.h"

namespace pomelohall {

/// Result of one classified call as measured by the entry daemon; input of the
/// published service level figures.
struct call_observation {
  std::string work_class;
  class_kind kind = class_kind::kLookup;
  struct target target;  ///< From the configuration that routed the call.
  /// From the end of the request header to the last response byte or the
  /// failure.
  duration elapsed{0};
  std::uint64_t body_bytes = 0;  ///< Response body bytes that were written.
  /// The complete response of a backend server was written to the caller. False
  /// for errors.
  bool whole_answer = false;
  run_state ran = run_state::kUnknown;
  std::optional<error_kind> failure;  ///< Error reported to the caller.
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_CALL_OBSERVATION_H_
