#ifndef POMELOHALL_ROLLOUT_ROLLOUT_RECORD_H_
#define POMELOHALL_ROLLOUT_ROLLOUT_RECORD_H_

#include <cstdint>
#include <string>

#include "base/name_table.h"
#include "base/time.h"

namespace pomelohall {

/// An operator's request to move the traffic of a service to backend servers of
/// one version.
struct rollout_order {
  std::string service;
  std::string target_version;
  /// Revision at which the object of the order was created. Orders with the
  /// same object and target version are the same.
  std::uint64_t created = 0;
  /// Time from the order until the traffic should have moved.
  duration time_limit{0};

  bool operator==(const rollout_order&) const = default;
  bool IsSameAs(const rollout_order& other) const {
    return service == other.service && target_version == other.target_version &&
           created == other.created;
  }
};

/// Progress of a roll-out. Of two states of one order, the later one in this
/// list holds; no state is left for an earlier one, so that all daemons end in
/// the same state in whatever order they hear of it.
enum class rollout_state {
  kCanary,      ///< A small share of the requests goes to the target version.
  kSwitching,   ///< All requests go to it; those at other servers end.
  kFailed,      ///< A daemon found it bad; not stored yet.
  kCompleted,   ///< Stored: the other servers stop.
  kRolledBack,  ///< Stored: the servers of the target version leave.
  kWithdrawn,   ///< The operator deleted or replaced the order.
};

inline constexpr name_table<rollout_state, 6> kRolloutStateNames{{{
    {rollout_state::kCanary, "canary"},
    {rollout_state::kSwitching, "switching"},
    {rollout_state::kFailed, "failed"},
    {rollout_state::kCompleted, "completed"},
    {rollout_state::kRolledBack, "rolled_back"},
    {rollout_state::kWithdrawn, "withdrawn"},
}}};

/// Returns whether the store holds the outcome, which then never changes.
constexpr bool IsFinal(rollout_state state) {
  return state == rollout_state::kCompleted ||
         state == rollout_state::kRolledBack;
}

/// What a daemon tells others about a roll-out.
struct rollout_record {
  rollout_order order;
  /// Revision of the object when the order was read. Of two orders for one
  /// service, the one of the later revision replaces the other.
  std::uint64_t revision = 0;
  rollout_state state = rollout_state::kCanary;
  duration elapsed{0};  ///< Time since the order, as far as is known.

  bool operator==(const rollout_record&) const = default;
};

}  // namespace pomelohall

#endif  // POMELOHALL_ROLLOUT_ROLLOUT_RECORD_H_
