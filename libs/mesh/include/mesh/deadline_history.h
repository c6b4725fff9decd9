#ifndef POMELOHALL_MESH_DEADLINE_HISTORY_H_
#define POMELOHALL_MESH_DEADLINE_HISTORY_H_

#include <array>
#include <cstddef>

#include "base/time.h"

namespace pomelohall {

/// Tells new requests of a route from those of callers that were refused and
/// came back: they have less time left than the others.
///
/// Answers the load in which a service is short of room for seconds: callers
/// that come back have missed their target already, and in order of arrival
/// they make the new ones miss theirs too, until every answer is late.
class deadline_history {
 public:
  /// Notes the time that a caller has left, and returns whether it is well
  /// below the usual time of a first request. False while little is known.
  bool IsReturning(duration left);

 private:
  // Enough for the usual time to stand out while most callers come back, and
  // short enough to follow callers that change their deadlines.
  static constexpr std::size_t kSamples = 64;

  std::array<duration, kSamples> samples_{};
  std::size_t count_ = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_DEADLINE_HISTORY_H_
