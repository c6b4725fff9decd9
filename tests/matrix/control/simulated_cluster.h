#ifndef POMELOHALL_TESTS_MATRIX_CONTROL_SIMULATED_CLUSTER_H_
#define POMELOHALL_TESTS_MATRIX_CONTROL_SIMULATED_CLUSTER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "distribution/distribution.h"
#include "matrix/control/fake_platform.h"
#include "matrix/control/guarantee_checker.h"
#include "membership/membership.h"

namespace pomelohall::matrix {

/// Faults of the network between the daemons, each active in a time window.
enum class link_fault { kLost, kDuplicated, kDelayed, kReordered, kPartition };

/// Discrete-event simulation of daemons in two data centres, a fake platform
/// and operators. The daemons run the production membership and distribution
/// code. Runs with the same seed are identical.
class simulated_cluster {
 public:
  static constexpr std::size_t kMembersPerDataCentre = 4;

  /// @param defect Name of the defect to inject, "" for none.
  simulated_cluster(std::uint64_t seed, std::string_view defect);

  /// Starts all daemons at the same time.
  void Start();

  void RunFor(duration span);
  /// Runs until `condition` is true, at most for `limit`. Returns whether it is
  /// true.
  bool RunUntil(const std::function<bool()>& condition, duration limit);

  /// Applies the next configuration change as an operator.
  void ApplyChange();
  /// Applies two changes by different operators at the same time.
  void ApplyConflictingChanges();

  void Kill(const std::string& member);
  /// Kills a process and starts it again after `down_for`.
  void Restart(const std::string& member, duration down_for);
  void Freeze(const std::string& member, duration span);
  void AddLinkFault(link_fault which, duration span,
                    std::string data_centre = {});
  void AddPlatformFault(fake_platform::fault_mode which, duration span);
  /// Delays offers, deltas and platform answers to random members, so that the
  /// members of a data centre reach the steps of a version at different times.
  void SlowMembers(duration span);

  void SetBackend(const std::string& member, backend_state state);
  void Leave(const std::string& member);

  /// Returns the time at which the last fault injected so far ends.
  instant FaultsEnd() const { return faults_end_; }
  instant Now() const { return now_; }
  std::vector<std::string> Members() const;
  /// Returns the members whose process runs or is frozen.
  std::vector<std::string> Running() const;
  bool IsFrozen(const std::string& member) const;
  /// Returns whether no change is pending and the platform's version is in
  /// force on every running daemon.
  bool AllInForce() const;
  bool IsStagedAnywhere(config_version version) const;
  std::optional<std::string> FirstInForce(config_version version) const;
  const membership* MemberTable(const std::string& member) const;
  const routing_state* Routing(const std::string& member) const;
  fake_platform& Platform() { return platform_; }
  guarantee_checker& Checker() { return checker_; }
  std::string Describe() const;

 private:
  struct daemon {
    std::string name;
    std::string data_centre;
    std::uint64_t epoch = 0;  ///< Number of starts of this member.
    std::unique_ptr<membership> table;
    std::unique_ptr<distribution> config_distribution;
    routing_state routing;
    backend_record backend;
    std::optional<instant> frozen_until;
    std::vector<std::function<void(daemon&)>> inbox;  ///< Used while frozen.
  };
  struct event {
    instant at;
    std::uint64_t order = 0;
    std::function<void()> run;
  };
  struct runs_later {
    bool operator()(const event& a, const event& b) const {
      return std::pair(a.at, a.order) > std::pair(b.at, b.order);
    }
  };
  struct link_window {
    link_fault which;
    instant until;
    std::string data_centre;
  };
  struct change {
    std::string id;
    config_image_ptr image;
  };

  void ScheduleAt(instant when, std::function<void()> run);
  void StartProcess(const std::string& member);
  void StopProcess(daemon& target);
  void TickAll();
  void Resume(daemon& target);
  void RunAtProcess(const std::string& member, std::uint64_t epoch,
                    std::function<void(daemon&)> input);
  void ExecuteAll(daemon& from, const membership_actions& actions);
  void ExecuteAll(daemon& from, const distribution_actions& actions);
  void Execute(daemon& from, const send_to_member& action);
  void Execute(daemon& from, const send_to_address& action);
  void Execute(daemon& from, const membership_changed& action);
  void Execute(daemon& from, const read_head& action);
  void Execute(daemon& from, const watch_head& action);
  void Execute(daemon& from, const read_sections& action);
  void Execute(daemon& from, const put_in_force& action);
  void Execute(daemon& /*from*/, const write_status& /*action*/) {}
  void Execute(daemon& /*from*/, const delta_refused& /*action*/) {}
  void SendMessage(const std::string& from, const std::string& to,
                   const peer_message& message);
  void Deliver(const std::string& from, const std::string& to,
               const peer_message& message, instant when);
  void AnswerHead(const std::string& member, std::uint64_t epoch,
                  head_source source, instant started);
  void WaitForHead(const std::string& member, std::uint64_t epoch,
                   config_version known, instant started, instant deadline);
  bool PlatformFails(const std::string& data_centre) const;
  duration PlatformDelay() const;
  duration PlatformDelayFor(const std::string& member) const;
  bool IsPartitioned(const std::string& data_centre) const;
  bool HasLinkFault(link_fault which) const;
  void WriteChange(const std::string& id);
  void ResolveChange(const std::string& id);
  void ExtendFaults(duration span);
  duration Random(duration limit);

  random_source random_;
  std::string defect_;
  instant now_{};
  instant next_tick_{};
  instant faults_end_{};
  std::uint64_t next_order_ = 0;
  std::priority_queue<event, std::vector<event>, runs_later> events_;
  std::map<std::string, daemon> daemons_;
  std::map<std::pair<std::string, std::string>, instant> last_delivery_;
  std::vector<link_window> link_faults_;
  std::map<std::string, duration> slow_members_;
  instant slow_until_{};
  fake_platform platform_;
  guarantee_checker checker_;
  std::size_t changes_ = 0;
  std::size_t pending_changes_ = 0;  ///< Without an answer yet.
};

}  // namespace pomelohall::matrix

#endif  // POMELOHALL_TESTS_MATRIX_CONTROL_SIMULATED_CLUSTER_H_
