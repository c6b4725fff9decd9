#ifndef POMELOHALL_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_
#define POMELOHALL_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "base/time.h"
#include "membership/member_record.h"

namespace pomelohall {

/// Faults planted by tests, to prove that a check finds them.
enum class membership_defect {
  kNone,
  kKeepReadyOnDrain,  ///< Announces a draining backend server as ready.
  kSilentRemoval,     ///< Does not report members that died or left.
};

/// Options of `membership`. The defaults are the values of the design page.
struct membership_options {
  std::string cluster;  ///< Messages of another cluster are ignored.
  /// Name, region, data centre, addresses and incarnation (start time in ms).
  member_record self;
  std::vector<std::string> seeds;  ///< Peer addresses, "ip:port".
  duration ping_interval = std::chrono::seconds(1);
  /// Time without an answer until indirect probes: three missed pings.
  duration probe_after = std::chrono::seconds(3);
  /// Time for indirect probes to be answered.
  duration probe_timeout = std::chrono::milliseconds(500);
  /// Time for a suspect to refute.
  duration suspicion = std::chrono::seconds(3);
  /// Longer gaps between two ticks mean that the process was paused.
  duration pause_limit = std::chrono::seconds(3);
  /// A dead or left member counts in the commit quorum for this time.
  duration quorum_memory = std::chrono::seconds(10);
  /// Dead and left records are kept for this time, so that late records of
  /// the same incarnation do not revive them.
  duration tombstone = std::chrono::minutes(10);
  duration digest_interval = std::chrono::seconds(10);
  duration seed_interval = std::chrono::seconds(1);  ///< While starting.
  /// Afterwards, for seeds that are not known as live members.
  duration seed_check_interval = std::chrono::seconds(5);
  /// A daemon whose seeds all answered, and none has a complete table, takes
  /// its own table as complete after this time (start of a whole cluster),
  /// unless a member pinged it that it does not know.
  duration settle_with_seeds = std::chrono::seconds(3);
  /// The same if seeds stay silent. Longer than two seed_check_interval, so
  /// that every live member had time to find this daemon.
  duration settle_alone = std::chrono::seconds(12);
  /// Another data centre is unreachable after this time without a message.
  duration data_centre_timeout = std::chrono::seconds(4);
  membership_defect defect = membership_defect::kNone;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_
