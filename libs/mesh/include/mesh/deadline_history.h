#ifndef POMELOHALL_MESH_DEADLINE_HISTORY_H_
#define POMELOHALL_MESH_DEADLINE_HISTORY_H_

#include <array>
#include <cstddef>

#include "base/time.h"

namespace pomelohall {

/// Distinguishes first requests of a route from retries of refused callers by
/// the time that remains until their deadline, which is shorter for retries.
///
/// Retries have already missed their latency target. If a service is overloaded
/// for seconds and serves requests in order of arrival, retries make first
/// requests miss their target too, until every response is late.
class deadline_history {
 public:
  /// Records the remaining time of a request, and returns whether it is well
  /// below that of a typical first request. Returns false until enough samples
  /// were recorded.
  bool IsLikelyRetry(duration remaining);

 private:
  // Large enough to contain first requests while most requests are retries, and
  // small enough to adapt when callers change their deadlines.
  static constexpr std::size_t kSamples = 64;

  std::array<duration, kSamples> samples_{};
  std::size_t count_ = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_DEADLINE_HISTORY_H_
