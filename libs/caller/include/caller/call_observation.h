#ifndef POMELOHALL_CALLER_CALL_OBSERVATION_H_
#define POMELOHALL_CALLER_CALL_OBSERVATION_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/time.h"
#include "model/configuration.h"

namespace pomelohall {

/// What the entry daemon saw of one call that has a class, for the published
/// figure.
struct call_observation {
  std::string work_class;
  class_kind kind = class_kind::kLookup;
  struct target target;  ///< Of the configuration that the call was routed by.
  /// From the complete request header to the last byte of the answer, or to the
  /// failure.
  duration elapsed{0};
  std::uint64_t body_bytes = 0;  ///< Of the answer, as far as it was written.
  /// The caller got the whole answer of a backend server. False for errors.
  bool whole_answer = false;
  run_state ran = run_state::kUnknown;
  std::optional<error_kind> failure;  ///< Error that the caller was told.
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_CALL_OBSERVATION_H_
