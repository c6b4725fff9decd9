#ifndef POMELOHALL_MESH_SERVER_DIRECTORY_H_
#define POMELOHALL_MESH_SERVER_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
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

namespace pomelohall {

/// Settings of a server_directory.
struct server_directory_options {
  std::string member;       ///< Name of this daemon.
  std::string data_centre;  ///< Data centre of this daemon.
  /// A member that could not be reached gets no request for this time, doubled
  /// with each further failure.
  duration suspension = std::chrono::milliseconds(500);
  /// Longest suspension. A member that returns is back in use after it at the
  /// latest.
  duration max_suspension = std::chrono::seconds(2);
  /// Share of the latency target that an answer may take longer to stay in the
  /// data centre, as operators pay for bytes between data centres.
  double remote_penalty = 0.15;
  /// The same for large answers, which are most of those bytes.
  double remote_download_penalty = 1.0;
  /// A load report older than this says nothing about the load of now.
  duration report_lifetime = std::chrono::seconds(2);
  /// Servers of one data centre that are compared for a request: with more of
  /// them, most reports are old, and all daemons would choose the few servers
  /// that are fastest when they are idle.
  std::size_t max_compared = 5;
};

/// How a request that was sent to a server ended, for the choice of later ones.
enum class send_outcome {
  kServed,       ///< The backend server answered.
  kFailed,       ///< It answered with a failure, or broke off.
  kRefused,      ///< Its daemon or itself refused; the request did not run.
  kUnreachable,  ///< The daemon could not be reached, or did not answer.
};

inline constexpr name_table<send_outcome, 4> kSendOutcomeNames{{{
    {send_outcome::kServed, "served"},
    {send_outcome::kFailed, "failed"},
    {send_outcome::kRefused, "refused"},
    {send_outcome::kUnreachable, "unreachable"},
}}};

/// The choice of a server, with the inputs that decided it.
struct server_choice {
  mesh_member member;
  duration expected{0};    ///< Time to the answer, as expected.
  duration report_age{0};  ///< Age of the load report; 0 without one.
  std::size_t candidates = 0;
};

/// What a request needs of a server.
struct server_demand {
  std::string service;
  request_kind kind = request_kind::kSafe;
  duration latency_target{0};
  std::set<std::string> excluded;  ///< Members that were tried already.
};

/// Knows the daemons and their backend servers, and places requests. Answers
/// two load patterns: backend servers of one service that differ threefold in
/// speed, where equal shares overload the slow one; and a server that turns
/// slow, fails or vanishes, where requests pile up on it until a list of
/// members tells.
class server_directory {
 public:
  server_directory(server_directory_options options, std::uint64_t seed);

  /// Replaces a record; the load known of a member is kept as long as its
  /// incarnation and backend server are the same.
  void Put(const mesh_member& member, instant now);
  void Remove(const std::string& name);
  /// Removes all members that are not in `names`.
  void Retain(const std::set<std::string>& names);

  /// Number of members, with or without a backend server.
  std::size_t Size() const { return members_.size(); }

  /// Returns the server for a request, or nothing if none can take it.
  std::optional<server_choice> Choose(const server_demand& demand, instant now);

  /// Tells that a request was sent to a member. Each call is followed by one of
  /// OnEnded().
  void OnSent(const std::string& name);
  void OnEnded(const std::string& name, send_outcome outcome, instant now);

  /// Takes the load that a daemon reported with an answer.
  void OnLoad(const std::string& name, const work_load& load, instant now);

  /// A daemon said that its backend server takes no work now.
  void OnNotServing(const std::string& name, instant now);

  /// Returns the place of a member in an order on which all daemons agree that
  /// know the same members. Members that cannot be reached keep their place.
  std::size_t Rank(const std::string& name) const;

  /// Returns whether requests to the member fail at present.
  bool IsSuspended(const std::string& name, instant now) const;

 private:
  struct known_member {
    mesh_member member;
    work_load load;
    instant reported_at;
    bool reported = false;
    std::size_t sent_since_report = 0;
    std::size_t outstanding = 0;
    double failure_share = 0;  ///< Smoothed, 0 to 1.
    std::size_t failures_in_a_row = 0;
    instant suspended_until;
  };
  struct candidate {
    const known_member* known = nullptr;
    duration expected{0};
    double score_us = 0;
  };

  candidate Rate(const known_member& known, const server_demand& demand,
                 duration typical_time, instant now) const;
  std::vector<const known_member*> Usable(const server_demand& demand,
                                          instant now) const;
  // Draws servers by their capacity, at most `max_compared`.
  std::vector<const known_member*> Draw(
      const std::vector<const known_member*>& members, duration typical_time);
  static duration TypicalTime(const std::vector<const known_member*>& members);
  known_member* Find(const std::string& name);
  void Suspend(known_member& known, instant now) const;

  const server_directory_options options_;
  random_source random_;
  std::map<std::string, known_member> members_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_SERVER_DIRECTORY_H_
