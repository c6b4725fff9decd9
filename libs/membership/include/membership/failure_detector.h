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

/// Watches the ring successors of one daemon by heartbeats and indirect
/// probes. Decides only; `membership` sends the messages.
class failure_detector {
 public:
  /// What to do after a tick.
  struct plan {
    std::vector<std::string> ping;
    std::vector<std::string> probe_indirectly;
    std::vector<std::string> suspect;  ///< Direct and indirect probes failed.
  };

  explicit failure_detector(const membership_options& options);

  /// Replaces the watched members. New ones start as answered at `now`.
  void Watch(const std::vector<std::string>& members, instant now);

  /// Notes an answer of a member, direct or through another one.
  void OnAnswer(const std::string& member, instant now);

  /// Takes all members as answered, after a pause of this process.
  void Reset(instant now);

  plan Tick(instant now);

 private:
  struct watched {
    instant last_answer;
    std::optional<instant> probe_deadline;
  };

  duration ping_interval_;
  duration probe_after_;
  duration probe_timeout_;
  instant next_ping_{};
  std::map<std::string, watched> watched_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MEMBERSHIP_FAILURE_DETECTOR_H_
