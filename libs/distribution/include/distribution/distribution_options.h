#ifndef POMELOHALL_DISTRIBUTION_DISTRIBUTION_OPTIONS_H_
#define POMELOHALL_DISTRIBUTION_DISTRIBUTION_OPTIONS_H_

#include <cstddef>

#include "base/time.h"

namespace pomelohall {

/// Faults planted by tests, to prove that a check finds them.
enum class distribution_defect {
  kNone,
  kNoFloor,       ///< Puts versions into force without recovery.
  kNoQuorum,      ///< Commits what the aggregator itself holds.
  kPartialStage,  ///< Stages a delta without its last section.
  kNoRepair,      ///< Neither retries pulls nor sends offers again.
};

/// Options of `distribution`. The defaults are the values of the design page.
struct distribution_options {
  duration anti_entropy_interval = std::chrono::seconds(5);
  /// Until the first version is in force.
  duration joining_offer_interval = std::chrono::seconds(1);
  duration pull_timeout = std::chrono::seconds(1);
  duration full_state_timeout = std::chrono::seconds(3);
  duration backoff_base = std::chrono::milliseconds(200);
  duration backoff_cap = std::chrono::seconds(5);
  std::size_t full_states_at_once = 2;
  /// A full state counts as being served for this time, unless the receiver
  /// offers the version earlier.
  duration full_state_time = std::chrono::seconds(2);
  /// Between two acks while a version waits for its commit.
  duration ack_repeat = std::chrono::seconds(1);
  /// Between two acks at rest; repairs the status after a lost ack.
  duration ack_refresh = std::chrono::seconds(30);
  duration confirm_timeout = std::chrono::seconds(1);
  /// The second-ranked aggregator counts after this time, so that the members
  /// answer one confirm for each version as a rule.
  duration second_aggregator_delay = std::chrono::milliseconds(500);
  duration fresh_query_interval = std::chrono::seconds(1);
  /// Silence of the readers after which the members are asked (R2).
  duration recover_query_after = std::chrono::seconds(3);
  duration recover_query_interval = std::chrono::seconds(2);
  /// Longer gaps between two ticks mean that the process was paused.
  duration pause_limit = std::chrono::seconds(3);
  duration status_interval = std::chrono::seconds(2);
  distribution_defect defect = distribution_defect::kNone;
};

}  // namespace pomelohall

#endif  // POMELOHALL_DISTRIBUTION_DISTRIBUTION_OPTIONS_H_
