#ifndef POMELOHALL_ROLLOUT_RESPONSE_COUNTER_H_
#define POMELOHALL_ROLLOUT_RESPONSE_COUNTER_H_

#include <cstddef>
#include <optional>
#include <string>

#include "base/time.h"
#include "rollout/version_report.h"

namespace pomelohall {

/// Counts the responses of the backend server beside a daemon during a
/// roll-out.
class response_counter {
 public:
  /// Starts from zero for a server that has started. No effect if it is the
  /// same.
  void SetServer(const std::string& instance, const std::string& version,
                 instant now);

  /// Starts from zero for a new roll-out: a fault of all servers before it
  /// would be in the counts of the old servers only.
  void Clear() { report_.by_route.clear(); }

  /// Counts a response, or that there was none.
  /// @param run_time Time until a complete response; nothing otherwise.
  void OnResponse(const std::string& route, bool failed,
                  std::optional<duration> run_time, instant now);

  /// Returns the counts of the routes with most responses.
  version_report Report() const;

 private:
  // A server takes about twice as long in its first seconds.
  static constexpr duration kColdTime = std::chrono::milliseconds(3500);
  // Bounds the bytes of a report; a service has a few routes with traffic.
  static constexpr std::size_t kMaxRoutes = 6;

  version_report report_;
  instant started_at_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_ROLLOUT_RESPONSE_COUNTER_H_
