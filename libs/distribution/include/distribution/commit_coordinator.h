#ifndef POMELOHALL_DISTRIBUTION_COMMIT_COORDINATOR_H_
#define POMELOHALL_DISTRIBUTION_COMMIT_COORDINATOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "distribution/distribution_options.h"
#include "distribution/in_force_summary.h"
#include "membership/membership_view.h"
#include "messages/message.h"

namespace pomelohall {

/// Coordinates the two-phase commit of versions on an aggregator: a version is
/// committed when a quorum of members has acked it and then confirmed it. Also
/// records which version each member has in force.
///
/// A member that holds a higher version also counts towards the quorum of a
/// lower one, as it reports at least the lower one to a recovering member. Acks
/// and confirmations count only if their incarnation is the member's current
/// one, and a confirmation only if it has the same incarnation as the ack
/// before it.
class commit_coordinator {
 public:
  /// A second phase (a round) to start: the confirm message and its receivers.
  struct confirm_request {
    confirm_message confirm;
    std::vector<std::string> members;
  };

  /// @param first_round Id of the first round. Random, so that an answer to a
  ///     confirm message of an earlier process does not count.
  commit_coordinator(const distribution_options& options,
                     std::uint64_t first_round);

  void OnAck(const std::string& from, const ack_message& ack);

  /// Handles an answer of the second phase. Returns the version that it
  /// commits, if any.
  std::optional<config_version> OnConfirmed(const std::string& from,
                                            const confirmed_message& answer,
                                            const membership_view& view);

  /// Starts a second phase if a commit quorum acked a version above `committed`
  /// and no second phase is running or the running one timed out.
  std::optional<confirm_request> StartRound(config_version committed,
                                            const membership_view& view,
                                            instant now);

  /// Removes the acks of members that are not in the view.
  void OnMembership(const membership_view& view);

  /// Returns the versions that the members in the view have in force.
  in_force_summary Status(const membership_view& view) const;

 private:
  struct running_round {
    config_version version = 0;
    std::uint64_t id = 0;
    instant deadline;
    std::size_t quorum_members = 0;
    std::map<std::string, std::uint64_t> asked;  ///< Incarnations by name.
    std::set<std::string> confirmed;
  };

  bool IsCurrent(const std::string& member, const ack_message& ack,
                 const membership_view& view) const;
  config_version AckedByQuorum(const membership_view& view) const;

  distribution_options options_;
  std::map<std::string, ack_message> acks_;
  std::optional<running_round> round_;
  std::uint64_t next_round_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_DISTRIBUTION_COMMIT_COORDINATOR_H_
