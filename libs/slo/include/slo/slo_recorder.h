#ifndef POMELOHALL_SLO_SLO_RECORDER_H_
#define POMELOHALL_SLO_SLO_RECORDER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "model/configuration.h"
#include "slo/slo_window.h"

namespace pomelohall {

/// How one request ended, as its entry daemon saw it.
struct slo_observation {
  std::string work_class;
  duration elapsed{};  ///< From the first byte received to the last byte sent.
  std::uint64_t body_bytes = 0;  ///< Of the answer.
  bool whole_answer = false;     ///< The caller got the answer to its end.
  run_state ran = run_state::kNotRun;
};

/// Returns whether a request met its target: it ran, and its whole answer
/// arrived within the time that the target allows. A refused request and a
/// transaction with unknown outcome miss it.
bool MeetsTarget(const slo_observation& observation, const target& target,
                 class_kind kind);

/// Counts the requests of an entry daemon in windows of 10 s. Not thread-safe.
class slo_recorder {
 public:
  /// @param unix_seconds Time at which the daemon starts to observe.
  slo_recorder(std::string member, std::uint64_t incarnation,
               std::int64_t unix_seconds);

  /// Counts a request that has ended, in the window that is open. `now` is not
  /// used yet.
  void Record(const slo_observation& observation, const target& target,
              class_kind kind, instant now);

  /// Returns the windows that ended by `unix_seconds`; call it every second or
  /// so. Windows that passed without a call (the process was paused) are not
  /// returned, so that their time counts as unobserved. If the clock is set
  /// back, windows continue to be numbered from the latest time seen, so that
  /// none is numbered twice.
  std::vector<slo_window> CloseWindows(std::int64_t unix_seconds);

  /// Returns the window that is open, for a planned stop.
  slo_window CloseLast();

 private:
  slo_window TakeOpen(std::int64_t next);

  slo_window open_;
  std::int64_t latest_seconds_;
  std::int64_t clock_offset_ = 0;  ///< Sum of the steps back, in seconds.
};

}  // namespace pomelohall

#endif  // POMELOHALL_SLO_SLO_RECORDER_H_
