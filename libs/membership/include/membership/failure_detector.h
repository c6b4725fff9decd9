#ifndef POMELOHALL_MEMBERSHIP_FAILURE_DETECTOR_H_
#define POMELOHALL_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "membership/membership_options.h"

namespace pomelohall {

/// Detects failures of the ring successors of one daemon by heartbeats and
/// indirect probes. Sends nothing itself; `membership` sends the messages.
class failure_detector {
 public:
  /// Members to ping, to probe and to suspect, as determined by a tick.
  struct probe_plan {
    std::vector<std::string> ping;
    std::vector<std::string> probe_indirectly;
    std::vector<std::string> suspect;  ///< Direct and indirect probes failed.
  };

  explicit failure_detector(const membership_options& options);

  /// Replaces the watched members. New ones count as having answered at `now`.
  void Watch(const std::vector<std::string>& members, instant now);

  /// Records an answer from a member, direct or forwarded by another member.
  void OnAnswer(const std::string& member, instant now);

  /// Treats all members as having answered at `now`, after this process was
  /// paused.
  void Reset(instant now);

  probe_plan Tick(instant now);

 private:
  struct watched_member {
    instant last_answer;
    std::optional<instant> probe_deadline;
  };

  duration ping_interval_;
  duration indirect_probe_after_;
  duration indirect_probe_timeout_;
  instant next_ping_{};
  std::map<std::string, watched_member> watched_;  ///< By name.
};

}  // namespace pomelohall

#endif  // POMELOHALL_MEMBERSHIP_FAILURE_DETECTOR_H_
