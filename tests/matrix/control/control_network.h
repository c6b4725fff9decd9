#ifndef POMELOHALL_TESTS_MATRIX_CONTROL_CONTROL_NETWORK_H_
#define POMELOHALL_TESTS_MATRIX_CONTROL_CONTROL_NETWORK_H_

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
#include "matrix/control/promise_checker.h"
#include "membership/membership.h"

namespace pomelohall::matrix {

/// Faults of the links, each active in a window of time.
enum class link_fault { kLost, kDuplicated, kDelayed, kCrossed, kPartition };

/// A handful of daemons (real membership and distribution machines) in two data
/// centres, a fake platform and operators, connected by a seeded message queue
/// in logical time. The same seed gives the same run.
class control_network {
 public:
  static constexpr std::size_t kMembersPerDataCentre = 4;

  /// @param defect Name of a planted defect, "" for none.
  control_network(std::uint64_t seed, std::string_view defect);

  /// Starts all daemons at once.
  void Start();

  void RunFor(duration span);
  /// Runs until `condition` holds, at most for `limit`. Returns whether it
  /// holds.
  bool RunUntil(const std::function<bool()>& condition, duration limit);

  /// An operator applies the next change.
  void Accept();
  /// Two operators apply a change each at the same time.
  void AcceptRace();

  void Kill(const std::string& member);
  /// Ends a process and starts it again after `down_for`.
  void Restart(const std::string& member, duration down_for);
  void Freeze(const std::string& member, duration span);
  void AddLinkFault(link_fault which, duration span,
                    std::string data_centre = {});
  void AddPlatformFault(fake_platform::mode which, duration span);
  /// Delays offers, deltas and platform answers to some members, so that the
  /// members of a data centre pass through the steps of a version at different
  /// times.
  void SlowMembers(duration span);

  void SetBackend(const std::string& member, backend_state state);
  void Leave(const std::string& member);

  /// Time at which the last fault so far ends.
  instant FaultsEnd() const { return faults_end_; }
  instant Now() const { return now_; }
  std::vector<std::string> Members() const;
  /// Members whose process runs, frozen ones included.
  std::vector<std::string> Running() const;
  bool IsFrozen(const std::string& member) const;
  /// True if no operator waits and the platform's version is in force on every
  /// daemon that runs.
  bool AllInForce() const;
  bool AnyHolds(config_version version) const;
  std::optional<std::string> FirstInForce(config_version version) const;
  const membership* Table(const std::string& member) const;
  const routing_state* Routing(const std::string& member) const;
  fake_platform& Platform() { return platform_; }
  promise_checker& Checker() { return checker_; }
  std::string Describe() const;

 private:
  struct daemon {
    std::string name;
    std::string data_centre;
    std::uint64_t process = 0;  ///< Counts the processes of this member.
    std::unique_ptr<membership> table;
    std::unique_ptr<distribution> versions;
    routing_state routing;
    backend_record backend;
    std::optional<instant> frozen_until;
    std::vector<std::function<void(daemon&)>> inbox;  ///< While frozen.
  };
  struct event {
    instant at;
    std::uint64_t order = 0;
    std::function<void()> run;
  };
  struct later {
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

  void At(instant when, std::function<void()> run);
  void StartProcess(const std::string& member);
  void StopProcess(daemon& target);
  void TickAll();
  void Wake(daemon& target);
  void ToProcess(const std::string& member, std::uint64_t process,
                 std::function<void(daemon&)> input);
  void Carry(daemon& from, const membership_actions& actions);
  void Carry(daemon& from, const distribution_actions& actions);
  void Do(daemon& from, const send_to_member& action);
  void Do(daemon& from, const send_to_address& action);
  void Do(daemon& from, const membership_changed& action);
  void Do(daemon& from, const read_head& action);
  void Do(daemon& from, const watch_head& action);
  void Do(daemon& from, const read_sections& action);
  void Do(daemon& from, const put_in_force& action);
  void Do(daemon& /*from*/, const write_status& /*action*/) {}
  void Do(daemon& /*from*/, const delta_refused& /*action*/) {}
  void Transmit(const std::string& from, const std::string& to,
                const peer_message& message);
  void Deliver(const std::string& from, const std::string& to,
               const peer_message& message, instant when);
  void AnswerHead(const std::string& member, std::uint64_t process,
                  head_source source, instant started);
  void WaitForHead(const std::string& member, std::uint64_t process,
                   config_version known, instant started, instant deadline);
  bool PlatformFails(const std::string& data_centre) const;
  duration PlatformDelay() const;
  duration PlatformDelayFor(const std::string& member) const;
  bool Cut(const std::string& data_centre) const;
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
  std::priority_queue<event, std::vector<event>, later> events_;
  std::map<std::string, daemon> daemons_;
  std::map<std::pair<std::string, std::string>, instant> last_delivery_;
  std::vector<link_window> link_faults_;
  std::map<std::string, duration> slow_members_;
  instant slow_until_{};
  fake_platform platform_;
  promise_checker checker_;
  std::size_t changes_ = 0;
  std::size_t open_changes_ = 0;  ///< Operators that have no answer yet.
};

}  // namespace pomelohall::matrix

#endif  // POMELOHALL_TESTS_MATRIX_CONTROL_CONTROL_NETWORK_H_
