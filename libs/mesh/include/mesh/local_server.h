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

  /// Handles a withdrawal, which starts draining without an announcement. A
  /// daemon that was restarted may get it before an announcement that was sent
  /// earlier.
  /// @param unix_ms Current time by the clock of this VM, which its backend
  ///     server shares, in milliseconds.
  /// @return False if `instance` is not the current one.
  bool OnWithdrawn(const std::string& instance, std::int64_t unix_ms,
                   instant now);

  /// Adds departures that an earlier process of the daemon acknowledged.
  void AddDepartures(const std::vector<departed_server>& departed, instant now);

  /// Handles that no further departure of an earlier process exists.
  void OnDeparturesKnown() { knows_departures_ = true; }

  /// Returns the backend servers that have left, the latest one last.
  const std::vector<departed_server>& Departures() const { return departed_; }

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
  bool IsForeign(const server_announcement& announcement) const;
  bool HasLeft(const server_announcement& announcement) const;
  void AddDeparture(const departed_server& departure);
  /// Updates the phase if the current start has left.
  void ApplyDepartures(instant now);
  bool IsOutdated(const server_announcement& announcement, instant now) const;
  void SetPhase(server_phase phase, instant now);

  local_server_options options_;
  server_phase phase_ = server_phase::kUnknown;
  instant phase_since_;
  std::optional<server_announcement> last_announcement_;
  instant first_announced_at_;  ///< First announcement of the current start.
  instant last_announced_at_;
  std::vector<departed_server> departed_;
  bool knows_departures_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_LOCAL_SERVER_H_
