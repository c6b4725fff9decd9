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

/// Outcome of one request, as observed by its entry daemon.
struct slo_observation {
  std::string work_class;
  duration elapsed{};  ///< From the first byte received to the last byte sent.
  std::uint64_t body_bytes = 0;  ///< Of the response.
  bool whole_answer = false;     ///< The caller received the complete response.
  run_state ran = run_state::kNotRun;
};

/// Returns whether a request met its target: it was executed, and its complete
/// response was sent within the time that the target allows. Refused requests
/// and transactions with unknown outcome miss the target.
bool MeetsTarget(const slo_observation& observation, const target& target,
                 class_kind kind);

/// Counts the requests of an entry daemon in windows of 10 s. Not thread-safe.
class slo_recorder {
 public:
  /// @param unix_seconds Time at which recording starts.
  slo_recorder(std::string member, std::uint64_t incarnation,
               std::int64_t unix_seconds);

  /// Counts a finished request in the open window. `now` is unused.
  void Record(const slo_observation& observation, const target& target,
              class_kind kind, instant now);

  /// Returns the windows that ended by `unix_seconds`. Should be called about
  /// once per second. Windows that elapse between two calls, for example while
  /// the process is paused, are not returned, so their time counts as
  /// unobserved. If the clock is set back, window numbers continue from the
  /// latest time seen, so that no number is used twice.
  std::vector<slo_window> CloseWindows(std::int64_t unix_seconds);

  /// Closes and returns the open window, for a clean shutdown.
  slo_window CloseOpenWindow();

 private:
  slo_window ReplaceOpenWindow(std::int64_t next);

  slo_window open_;
  std::int64_t latest_seconds_;
  std::int64_t clock_offset_ = 0;  ///< Compensates backward clock steps.
};

}  // namespace pomelohall

#endif  // POMELOHALL_SLO_SLO_RECORDER_H_
