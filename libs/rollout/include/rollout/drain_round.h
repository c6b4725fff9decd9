#ifndef POMELOHALL_ROLLOUT_DRAIN_ROUND_H_
#define POMELOHALL_ROLLOUT_DRAIN_ROUND_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"

namespace pomelohall {

/// Settings of a drain_round.
struct drain_round_options {
  /// Pause between two questions to the same member.
  duration poll_interval = std::chrono::milliseconds(100);
  /// Consecutive questions without an answer after which a member counts as
  /// gone: its requests ended with it.
  std::size_t max_failures = 3;
};

/// Finds out when no daemon has a request at a server of another version than
/// the target of a roll-out any more. Each member is asked until it has none;
/// from its first answer on, it sends none there.
class drain_round {
 public:
  explicit drain_round(drain_round_options options = {}) : options_(options) {}

  /// Sets the members. One that is new is asked as well.
  void SetMembers(const std::set<std::string>& names);

  /// Returns the members to ask now.
  std::vector<std::string> Due(instant now);

  /// Handles an answer.
  /// @param requests Requests that the member has at such servers.
  void OnAnswer(const std::string& name, std::size_t requests, instant now);
  void OnNoAnswer(const std::string& name, instant now);

  /// Returns whether all members have answered that they have no such requests,
  /// or are gone.
  bool IsDrained() const;
  /// Returns the members that it waits for.
  std::size_t Pending() const;

 private:
  struct member_state {
    bool is_done = false;
    bool is_asked = false;
    std::size_t failures = 0;
    instant next_at;
  };

  const drain_round_options options_;
  std::map<std::string, member_state> members_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_ROLLOUT_DRAIN_ROUND_H_
