#ifndef POMELOHALL_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_
#define POMELOHALL_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "base/time.h"
#include "membership/member_record.h"

namespace pomelohall {

/// Defects injected by tests to verify that a check detects them.
enum class membership_defect {
  kNone,
  kKeepReadyOnDrain,  ///< Announces a draining backend server as ready.
  kSilentRemoval,     ///< Does not report members that died or left.
};

/// Options of `membership`. The defaults are those of the design document.
struct membership_options {
  std::string cluster;  ///< Hellos from other clusters are ignored.
  /// Name, region, data centre, addresses and incarnation (start time in ms).
  member_record self;
  std::vector<std::string> seeds;  ///< Peer addresses, "ip:port".
  duration ping_interval = std::chrono::seconds(1);
  /// Time without an answer before indirect probes: three missed pings.
  duration indirect_probe_after = std::chrono::seconds(3);
  /// Time within which an indirect probe must be answered.
  duration indirect_probe_timeout = std::chrono::milliseconds(500);
  /// Time after which a suspect that has not refuted is declared dead.
  duration suspicion_timeout = std::chrono::seconds(3);
  /// A longer gap between two ticks means that the process was paused.
  duration pause_limit = std::chrono::seconds(3);
  /// Time for which a dead or left member still counts in the commit quorum.
  duration departed_quorum_time = std::chrono::seconds(10);
  /// Time for which dead and left records are kept, so that delayed records of
  /// the same incarnation do not mark these members as alive again.
  duration tombstone_lifetime = std::chrono::minutes(10);
  duration digest_interval = std::chrono::seconds(10);
  /// Interval of hellos to the seeds until the table is complete.
  duration seed_interval = std::chrono::seconds(1);
  /// Interval of hellos to seeds that are not live members, once the table is
  /// complete.
  duration seed_check_interval = std::chrono::seconds(5);
  /// Time after which a daemon assumes that its table is complete if all seeds
  /// answered and none has a complete table, as when the whole cluster starts.
  /// Does not apply if a member that is not in the table pinged the daemon.
  duration bootstrap_time_seeds_answered = std::chrono::seconds(3);
  /// Time after which a daemon assumes that its table is complete even if some
  /// seeds did not answer. Longer than two seed_check_interval, so that every
  /// live member had time to contact this daemon.
  duration bootstrap_time_seeds_silent = std::chrono::seconds(12);
  /// Time without a message after which another data centre is unreachable.
  duration data_centre_timeout = std::chrono::seconds(4);
  membership_defect defect = membership_defect::kNone;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_
