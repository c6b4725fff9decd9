#ifndef POMELOHALL_MESH_LOCAL_SERVER_H_
#define POMELOHALL_MESH_LOCAL_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/name_table.h"
#include "base/time.h"
#include "mesh/mesh_member.h"

namespace pomelohall {

/// The state that a backend server reports about itself.
struct server_announcement {
  std::string instance;
  std::string service;
  std::string address;  ///< "ip:port".
  std::size_t slots = 1;
  bool draining = false;
  std::int64_t started_unix_ms = 0;  ///< By the clock of the backend server.
  std::uint64_t sequence = 0;        ///< Increases with each announcement.
  std::string version = {};  ///< Version of its software; empty if not used.
};

/// State of the backend server on the VM of a daemon.
enum class server_phase {
  kUnknown,      ///< It has not announced itself.
  kServing,      ///< It accepts requests.
  kLeaving,      ///< It is draining: it completes its requests, refuses others.
  kUnreachable,  ///< It refuses connections, or its announcements time out.
};

inline constexpr name_table<server_phase, 4> kServerPhaseNames{{{
    {server_phase::kUnknown, "unknown"},
    {server_phase::kServing, "serving"},
    {server_phase::kLeaving, "leaving"},
    {server_phase::kUnreachable, "unreachable"},
}}};

/// Result of an announcement.
enum class announcement_outcome {
  kAccepted,
  kOutdated,  ///< A later one of the same server or of its successor is known.
  kForeign,   ///< It is not of the backend server on this VM.
};

/// Settings of a local_server.
struct local_server_options {
  std::string address;  ///< "ip:port" of the backend server on this VM.
  std::string service;  ///< Service of that backend server.
  /// The backend server is considered unreachable if it sends no announcement
  /// for this time.
  duration announcement_timeout = std::chrono::seconds(10);
  /// Longest time that an announcement or a withdrawal is in transit.
  duration max_lateness = std::chrono::seconds(10);
  /// Whether an earlier process of the daemon may have acknowledged a departure
  /// that is not known yet. Until OnDeparturesKnown(), the backend server is
  /// then only offered once it has announced itself for longer than
  /// announcements can be late.
  bool awaits_departures = false;
};

/// Tracks whether the backend server on this VM accepts requests, based on its
/// announcements and on connection failures. Announcements can arrive late and
/// out of order, also across restarts of the backend server.
class local_server {
 public:
  explicit local_server(local_server_options options);

  /// Changes address and service after a reload of the settings. If one of them
  /// differs, the backend server is unknown until it announces itself.
  void SetServer(const std::string& address, const std::string& service,
                 instant now);

  /// Handles an announcement. Other programs may send announcements too: one
  /// that names another address or service than the settings is not of the
  /// backend server on this VM.
  announcement_outcome OnAnnounced(const server_announcement& announcement,
                                   instant now);

  /// Handles a withdrawal, which starts draining without an announcement. It
  /// does not tell which start of the instance has left: the announced one, a
  /// later one whose announcements are late, or an earlier one whose withdrawal
  /// is late. So the instance is not offered until an announcement arrives that
  /// must have been sent after the withdrawal.
  /// @return False if `instance` is not the current one.
  bool OnWithdrawn(const std::string& instance, instant now);

  /// Handles that nothing accepted connections at the address of the backend
  /// server: all starts up to then have ended, so an instance that left earlier
  /// and is announced again has been started again.
  /// @param checked_at When the connection was attempted.
  void OnEnded(instant checked_at, instant now);

  /// Returns whether a withdrawn instance may still be running, so that it is
  /// useful to know when its process ends.
  bool AwaitsEnd(instant now) const;

  /// Adds departures that an earlier process of the daemon acknowledged.
  void AddDepartures(const std::vector<departed_server>& departed, instant now);

  /// Handles that no further departure of an earlier process exists.
  void OnDeparturesKnown() { knows_departures_ = true; }

  /// Returns the backend servers that have left, the latest one last.
  std::vector<departed_server> Departures() const;

  /// Handles a refused connection or a response from another instance.
  /// @param instance The instance that the request was sent to.
  void OnUnreachable(const std::string& instance, instant now);

  /// Checks the announcement timeout. Must be called about once a second.
  void Tick(instant now);

  server_phase Phase() const { return phase_; }

  /// Returns the last accepted announcement, or nothing before the first one.
  const std::optional<server_announcement>& LastAnnouncement() const {
    return last_announcement_;
  }

  /// Returns the backend server as it may be offered to other daemons, or
  /// nothing unless it is serving and departures are known.
  std::optional<offered_server> OfferedServer() const;

  /// Returns the backend server if it is serving as far as is known.
  std::optional<offered_server> ServingServer() const;

  /// Returns when the current phase began.
  instant PhaseSince() const { return phase_since_; }

 private:
  struct departure {
    departed_server server;
    /// When this process acknowledged it or learned of it.
    instant known_at;
  };

  bool IsForeign(const server_announcement& announcement) const;
  /// Returns whether the announcement is of a start that has left, or may have
  /// been sent by one.
  bool HasLeft(const server_announcement& announcement, instant now) const;
  /// Returns whether exactly this start announced that it drains.
  bool HasDrained(const server_announcement& announcement) const;
  /// Returns whether the announcement is of the start before the current one.
  bool IsPrevious(const server_announcement& announcement) const;
  /// Returns whether announcements that were sent before the departure may
  /// still arrive.
  bool IsRecent(const departure& departure, instant now) const;
  void AddDeparture(const departure& added);
  /// Updates the phase if the current start has left.
  void ApplyDepartures(instant now);
  bool IsOutdated(const server_announcement& announcement, instant now) const;
  void SetPhase(server_phase phase, instant now);

  local_server_options options_;
  server_phase phase_ = server_phase::kUnknown;
  instant phase_since_;
  std::optional<server_announcement> last_announcement_;
  /// Last announcement of the start before the current one.
  std::optional<server_announcement> previous_start_;
  instant first_announced_at_;  ///< First announcement of the current start.
  instant last_announced_at_;
  std::vector<departure> departures_;  ///< The latest one last.
  bool knows_departures_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_LOCAL_SERVER_H_
