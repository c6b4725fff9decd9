#ifndef POMELOHALL_MESH_SERVER_DIRECTORY_H_
#define POMELOHALL_MESH_SERVER_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/name_table.h"
#include "base/random.h"
#include "base/time.h"
#include "mesh/mesh_config.h"
#include "mesh/mesh_member.h"
#include "mesh/work_queue.h"
#include "rollout/rollout_registry.h"

namespace pomelohall {

/// Settings of a server_directory.
struct server_directory_options {
  std::string member;       ///< Name of this daemon.
  std::string data_centre;  ///< Data centre of this daemon.
  /// Time for which an unreachable member receives no requests. Doubles with
  /// each consecutive failure.
  duration suspension = std::chrono::milliseconds(500);
  /// Upper limit of a suspension, and so of the time until a recovered member
  /// is used again.
  duration max_suspension = std::chrono::seconds(2);
  /// Fraction of the latency target that is added to the score of servers in
  /// other data centres, as operators pay for traffic between data centres.
  double remote_penalty = 0.15;
  /// The same for downloads, which are most of that traffic.
  double remote_download_penalty = 1.0;
  /// Load reports older than this no longer tell how many requests a server
  /// runs. What was learned about its speed is forgotten gradually from then
  /// on, so that a server that recovered is used again.
  duration report_lifetime = std::chrono::seconds(2);
  /// Time in which 63% of an observed slowness, delay or failure share is
  /// forgotten while no new response confirms it.
  duration memory = std::chrono::seconds(2);
  /// Maximum number of servers that are sampled and compared for a request:
  /// this many in the data centre of the daemon, and this many in all others
  /// together. Comparing more makes all daemons choose the few servers that are
  /// fastest when idle, as most load reports are outdated.
  std::size_t max_compared = 5;
  /// Time in which 63% of a VM's present slowness or speed is forgotten: other
  /// programs on its machine come and go within some hundred milliseconds.
  duration work_memory = std::chrono::milliseconds(300);
  /// Reports that are passed on with one message, and their maximum age.
  std::size_t shared_loads = 8;
  duration max_shared_age = std::chrono::milliseconds(400);
};

/// Outcome of a request that was sent to a server.
enum class send_outcome {
  kServed,       ///< The backend server responded.
  kFailed,       ///< It responded with a failure, or closed the connection.
  kRefused,      ///< It or its daemon refused the request, which did not run.
  kUnreachable,  ///< The daemon was unreachable or did not respond.
};

inline constexpr name_table<send_outcome, 4> kSendOutcomeNames{{{
    {send_outcome::kServed, "served"},
    {send_outcome::kFailed, "failed"},
    {send_outcome::kRefused, "refused"},
    {send_outcome::kUnreachable, "unreachable"},
}}};

/// The server chosen for a request, with the data behind the choice.
struct server_choice {
  mesh_member member;
  duration expected_time{0};   ///< Expected time until the response.
  duration report_age{0};      ///< Age of the load report; 0 without one.
  std::size_t candidates = 0;  ///< Number of eligible members.
};

/// Requirements of a request for a server.
struct server_demand {
  std::string service;
  request_kind kind = request_kind::kSafe;
  duration latency_target{0};
  std::set<std::string> excluded;  ///< Members that were already tried.
  version_choice versions = {};    ///< Versions of servers that may run it.
  /// Selects the server of a canary request; see version_choice::is_canary.
  std::uint64_t canary_turn = 0;
  /// Selects the server of a request on trial: daemons that may use the same
  /// servers select the same one, so that it runs at one server at a time.
  std::optional<std::uint64_t> trial = {};
};

/// Directory of the daemons and their backend servers that selects a server for
/// each request. It balances by load and observed failures because
/// - backend servers of one service differ up to threefold in speed, so that
///   equal shares overload the slow ones, and
/// - requests would pile up on a server that slows down, fails or disappears
///   until the member list is updated.
class server_directory {
 public:
  server_directory(server_directory_options options, std::uint64_t seed);

  /// Adds or replaces a record. The load and failures recorded for a member are
  /// kept as long as its incarnation and backend server are the same.
  void Put(const mesh_member& member, instant now);
  void Remove(const std::string& name);
  /// Removes all members that are not in `names`.
  void Retain(const std::set<std::string>& names);

  /// Returns the record of a member, or nothing if it is unknown.
  std::optional<mesh_member> Record(const std::string& name) const;
  /// Returns the number of members, with or without a backend server.
  std::size_t Size() const { return members_.size(); }

  /// Returns the server for a request, or nothing if none is eligible.
  std::optional<server_choice> Choose(const server_demand& demand, instant now);

  /// Records a request sent to a member. Each call must be followed by a call
  /// of OnEnded().
  void OnSent(const std::string& name, instant now);
  void OnEnded(const std::string& name, send_outcome outcome, instant now);

  /// Records the load that a daemon reported with a response.
  void OnLoadReport(const std::string& name, const work_load& load,
                    instant now);

  /// Returns the most recent reports of servers in the data centre of this
  /// daemon, to pass them on to others there.
  std::vector<load_summary> RecentLoads(instant now) const;
  /// Records a report that another daemon has passed on, unless a later one is
  /// known. Only for servers that have reported here before.
  void OnLoadSummary(const load_summary& summary, instant now);
  /// Returns whether backend servers tell how long their work takes now, which
  /// changes faster than own reports arrive.
  bool SharesLoads(instant now) const {
    return now - work_percent_at_ < kSharingTime;
  }

  /// Records the time that a member's daemon and the network added to a
  /// request, apart from its wait for a slot and its run. A VM that is slow or
  /// has more offers than its daemon can handle adds to every request, although
  /// its backend server reports free slots.
  void OnDelay(const std::string& name, duration delay, instant now);

  /// Suspends a member whose daemon reported that its backend server is not
  /// serving.
  void OnNotServing(const std::string& name, instant now);

  /// Returns the member with the fastest link in the data centre of this
  /// daemon, a random one among equals. All daemons with the same members
  /// choose the same one. Suspended members are left out.
  std::optional<mesh_member> FastestMember(instant now) const;

  /// Returns the member with the fastest link of all, as FastestMember().
  /// @param filter Returns whether a member may be chosen; all if empty.
  std::optional<mesh_member> FastestMemberOfAll(
      instant now,
      const std::function<bool(const mesh_member&)>& filter = nullptr) const;

  /// Returns a member that is chosen at random. Suspended members are left out.
  /// @param filter Returns whether a member may be chosen.
  std::optional<mesh_member> RandomMember(
      instant now, const std::function<bool(const mesh_member&)>& filter);

  std::vector<mesh_member> Members() const;
  /// Returns the number of known servers of a service and of some versions.
  std::size_t CountServers(const std::string& service,
                           const version_choice& versions) const;

  /// Returns whether the member currently receives no requests because it was
  /// unreachable or not serving.
  bool IsSuspended(const std::string& name, instant now) const;

 private:
  struct member_state {
    mesh_member member;
    work_load load;
    instant reported_at;
    bool reported = false;
    std::size_t sent_since_report = 0;
    std::size_t outstanding = 0;
    std::uint32_t hash = 0;  ///< Of the name.
    double work_percent = 100;
    instant work_percent_at;
    double failure_share = 0;  ///< Moving average, 0 to 1.
    instant failure_share_at;
    double delay_us = 0;  ///< Moving average of OnDelay().
    instant delay_at;
    /// Since when requests are outstanding without any response.
    instant silent_since;
    std::size_t consecutive_failures = 0;
    instant suspended_until;
  };
  struct candidate {
    const member_state* state = nullptr;
    duration expected_time{0};
    double score_us = 0;
  };

  // Returns `value`, which was learned at `at`, or less of it if it is old and
  // no outstanding request will soon confirm or refute it.
  double Remembered(const member_state& state, double value, instant at,
                    duration memory, instant now) const;
  // Mean run time to expect, which approaches `typical_time` while the server
  // is not used.
  duration MeanTime(const member_state& state, duration typical_time,
                    instant now) const;
  // Time that passes in addition to the wait for a slot and the run.
  double DelayUs(const member_state& state, duration expected,
                 instant now) const;
  candidate Score(const member_state& state, const server_demand& demand,
                  duration typical_time, instant now) const;
  std::vector<const member_state*> EligibleMembers(const server_demand& demand,
                                                   instant now) const;
  // Returns at most `max_compared` servers, sampled in proportion to their
  // capacity.
  std::vector<const member_state*> Sample(
      const std::vector<const member_state*>& members, duration typical_time,
      instant now);
  // Returns the mean time of the servers that reported recently, or of all if
  // none did.
  duration TypicalTime(const std::vector<const member_state*>& members,
                       instant now) const;
  // Returns the server that runs a request on trial.
  static const member_state* TrialServer(
      const std::vector<const member_state*>& members, std::uint64_t trial);
  // Returns one of the few servers that try out a version, all daemons the same
  // one.
  static std::vector<const member_state*> CanaryServer(
      std::vector<const member_state*> members, std::uint64_t turn);
  template <typename Filter>
  std::optional<mesh_member> FastestMember(instant now, Filter filter) const;
  member_state* Find(const std::string& name);
  void Suspend(member_state& state, instant now) const;

  // Time without a report of how long work takes after which none is shared.
  static constexpr duration kSharingTime = std::chrono::seconds(10);

  // Factor of the mean time that the present speed of the VM adds.
  double WorkFactor(const member_state& state, instant now) const;
  static std::uint32_t HashOf(const std::string& name);

  const server_directory_options options_;
  instant work_percent_at_ = instant() - std::chrono::hours(1);
  random_source random_;
  std::map<std::string, member_state> members_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_SERVER_DIRECTORY_H_
