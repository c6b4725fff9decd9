#ifndef POMELOHALL_DISTRIBUTION_COMMIT_COUNTER_H_
#define POMELOHALL_DISTRIBUTION_COMMIT_COUNTER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "distribution/in_force_summary.h"
#include "distribution/distribution_options.h"
#include "membership/membership_view.h"
#include "messages/message.h"

namespace pomelohall {

/// Counts the two phases of a commit on an aggregator, and keeps what the
/// members have in force.
///
/// A member that holds a version above the counted one counts as well: it
/// reports at least that version to a recovering member. Acks and confirms
/// count only with the incarnation that the membership states, and a confirm
/// only with the incarnation of the ack before it.
class commit_counter {
 public:
  /// A second phase to start: the confirm and its receivers.
  struct confirm_round {
    confirm_message confirm;
    std::vector<std::string> members;
  };

  /// @param first_round Random, so that an answer to a confirm of an earlier
  ///     process never counts.
  commit_counter(const distribution_options& options,
                 std::uint64_t first_round);

  void OnAck(const std::string& from, const ack_message& ack);

  /// Notes an answer of the second phase. Returns the version that is
  /// committed by it, if any.
  std::optional<config_version> OnConfirmed(const std::string& from,
                                            const confirmed_message& answer,
                                            const membership_view& view);

  /// Starts a second phase if W members acked a version above `committed` and
  /// no phase is running (or it timed out).
  std::optional<confirm_round> Next(config_version committed,
                                    const membership_view& view, instant now);

  /// Forgets the members that are not in the view.
  void OnMembership(const membership_view& view);

  in_force_summary Status(const membership_view& view) const;

 private:
  struct running_round {
    config_version version = 0;
    std::uint64_t id = 0;
    instant deadline;
    std::size_t quorum_members = 0;
    std::map<std::string, std::uint64_t> asked;  ///< With their incarnations.
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

#endif  // POMELOHALL_DISTRIBUTION_COMMIT_COUNTER_H_
