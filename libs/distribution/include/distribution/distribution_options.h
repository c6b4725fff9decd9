#ifndef POMELOHALL_DISTRIBUTION_DISTRIBUTION_OPTIONS_H_
#define POMELOHALL_DISTRIBUTION_DISTRIBUTION_OPTIONS_H_

#include <cstddef>

#include "base/time.h"

namespace pomelohall {

/// Defects injected by tests to verify that a check detects them.
enum class distribution_defect {
  kNone,
  kNoFloor,       ///< Puts versions into force without recovery.
  kNoQuorum,      ///< Commits with a quorum of one member.
  kPartialStage,  ///< Stages a delta without its last section.
  kNoRepair,      ///< Neither retries pulls nor repeats offers.
};

/// Options of `distribution`. The defaults are those of the design document.
struct distribution_options {
  /// Interval of periodic offers.
  duration anti_entropy_interval = std::chrono::seconds(5);
  /// Interval of periodic offers until the first version is in force.
  duration joining_offer_interval = std::chrono::seconds(1);
  duration pull_timeout = std::chrono::seconds(1);
  duration full_state_pull_timeout = std::chrono::seconds(3);
  duration backoff_base = std::chrono::milliseconds(200);
  duration backoff_cap = std::chrono::seconds(5);
  /// Maximum number of concurrent transfers of the full state.
  std::size_t max_full_state_transfers = 2;
  /// Time for which a full state transfer counts as running, unless the
  /// receiver offers a version earlier.
  duration full_state_transfer_time = std::chrono::seconds(2);
  /// Interval of acks while the highest version held is not committed.
  duration ack_repeat_interval = std::chrono::seconds(1);
  /// Interval of acks while the highest version held is committed. These acks
  /// correct the status after a lost one.
  duration ack_refresh_interval = std::chrono::seconds(30);
  duration confirm_timeout = std::chrono::seconds(1);
  /// Delay before the second-ranked aggregator commits a version, so that the
  /// members usually get only one confirm message per version.
  duration second_aggregator_delay = std::chrono::milliseconds(500);
  duration fresh_query_interval = std::chrono::seconds(1);
  /// Time without an answer from a reader after which a recovering daemon
  /// queries the members.
  duration recover_query_delay = std::chrono::seconds(3);
  duration recover_query_interval = std::chrono::seconds(2);
  /// A longer gap between two ticks means that the process was paused.
  duration pause_limit = std::chrono::seconds(3);
  /// Minimum time between two writes of the status object.
  duration status_interval = std::chrono::seconds(2);
  distribution_defect defect = distribution_defect::kNone;
};

}  // namespace pomelohall

#endif  // POMELOHALL_DISTRIBUTION_DISTRIBUTION_OPTIONS_H_
