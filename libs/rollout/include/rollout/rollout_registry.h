#ifndef POMELOHALL_ROLLOUT_ROLLOUT_REGISTRY_H_
#define POMELOHALL_ROLLOUT_ROLLOUT_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "rollout/exposure_limiter.h"
#include "rollout/rollout_plan.h"
#include "rollout/rollout_record.h"

namespace pomelohall {

/// Number of servers of a target version that are tried out: the majority of
/// three decides although one of them is disturbed.
inline constexpr std::size_t kCanaryServers = 3;

/// Which servers of a service a request may use.
enum class version_rule {
  kAny,           ///< There is no roll-out of the service.
  kExceptTarget,  ///< Servers of other versions than the target version.
  kOnlyTarget,    ///< Servers of the target version.
};

/// Servers that a request may use.
struct version_choice {
  version_rule rule = version_rule::kAny;
  std::string target_version = {};
  /// Whether it is one of the requests that try out the target version.
  /// OnNotSent() has to follow if it is not sent to one.
  bool is_canary = false;

  /// Returns whether a server of `version` may be used.
  bool Allows(const std::string& version) const {
    switch (rule) {
      case version_rule::kAny:
        return true;
      case version_rule::kExceptTarget:
        return version != target_version;
      case version_rule::kOnlyTarget:
        return version == target_version;
    }
    return false;
  }
};

/// The roll-outs that a daemon knows of, and where its requests go meanwhile.
///
/// Daemons hear of orders and decisions from the store, from records of members
/// and from each other, in any order and repeatedly. Merging is commutative and
/// never goes back, so all of them end in the same state.
class rollout_registry {
 public:
  /// @param max_share Share of the requests of a service that a bad version may
  ///     get until the time limit of its roll-out.
  explicit rollout_registry(double max_share) : max_share_(max_share) {}

  /// Merges what the store or another daemon says of a roll-out. Returns
  /// whether it changed the state here.
  bool Merge(const rollout_record& record, instant now);

  /// Handles that the order of a service does not exist at a revision.
  bool OnAbsent(const std::string& service, std::uint64_t revision,
                instant now);

  /// Changes the state of the present order of a service. No effect if that
  /// would go back.
  bool Advance(const std::string& service, rollout_state state, instant now);

  /// Returns which servers the next request of a service may use.
  version_choice Choose(const std::string& service, instant now);
  /// Returns which servers it may use after an offer was refused or failed, and
  /// a server has not been tried before. Tries out nothing.
  version_choice ChooseAgain(const std::string& service, instant now) const;
  /// Returns a canary request that was not sent.
  void OnNotSent(const std::string& service);
  /// Counts a request that has reached a server of another version than the
  /// target.
  void OnReachedOther(const std::string& service);

  /// Returns whether a server may run requests, as far as is known here.
  bool MayRun(const std::string& service, const std::string& version,
              instant now) const;

  /// Returns the present roll-out of a service.
  std::optional<rollout_record> Find(const std::string& service,
                                     instant now) const;
  /// Returns all roll-outs, those that have ended included.
  std::vector<rollout_record> Records(instant now) const;
  /// Returns those that others may not know yet: active ones, and for some time
  /// those that have ended.
  std::vector<rollout_record> RecentRecords(instant now) const;
  bool IsEmpty() const { return entries_.empty(); }
  /// Returns whether the service has a roll-out without a stored outcome.
  bool IsActive(const std::string& service) const;
  /// Returns whether traffic should switch now.
  bool IsSwitchDue(const std::string& service, instant now) const;

 private:
  // Time for which an ended roll-out is told to others. The other servers of a
  // completed one have stopped by then, and a later release may bring servers
  // of any version.
  static constexpr duration kRecentTime = std::chrono::seconds(20);

  struct entry {
    rollout_record record;
    rollout_plan plan;
    instant ordered_at;
    instant changed_at;
    exposure_limiter limiter;
  };

  rollout_record RecordOf(const entry& entry, instant now) const;
  const entry* FindEntry(const std::string& service) const;

  double max_share_;
  std::map<std::string, entry> entries_;  ///< By service.
};

}  // namespace pomelohall

#endif  // POMELOHALL_ROLLOUT_ROLLOUT_REGISTRY_H_
