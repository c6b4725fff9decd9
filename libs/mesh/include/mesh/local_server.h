#ifndef POMELOHALL_MESH_LOCAL_SERVER_H_
#define POMELOHALL_MESH_LOCAL_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "base/name_table.h"
#include "base/time.h"
#include "mesh/mesh_member.h"

namespace pomelohall {

/// What a backend server says of itself.
struct server_announcement {
  std::string instance;
  std::string service;
  std::string address;  ///< "ip:port".
  std::size_t slots = 1;
  bool draining = false;
  std::int64_t started_unix_ms = 0;  ///< On the clock of the backend server.
  std::uint64_t sequence = 0;        ///< Grows with each announcement.
};

/// State of the backend server beside a daemon.
enum class server_phase {
  kUnknown,      ///< It has not announced itself.
  kServing,      ///< It takes work.
  kLeaving,      ///< It takes no new work; running work ends.
  kUnreachable,  ///< It refuses connections, or is silent.
};

inline constexpr name_table<server_phase, 4> kServerPhaseNames{{{
    {server_phase::kUnknown, "unknown"},
    {server_phase::kServing, "serving"},
    {server_phase::kLeaving, "leaving"},
    {server_phase::kUnreachable, "unreachable"},
}}};

/// Settings of a local_server.
struct local_server_options {
  std::string address;  ///< Of the backend server beside this daemon.
  /// Without an announcement for this time the backend server counts as
  /// unreachable.
  duration silence = std::chrono::seconds(10);
};

/// Decides from announcements and failures whether the backend server beside
/// this daemon takes work. Announcements arrive late and out of order, and one
/// of an earlier start can arrive after that of a later one.
class local_server {
 public:
  explicit local_server(local_server_options options);

  /// Changes the address, for example after a reload of the settings.
  void SetAddress(std::string address) {
    options_.address = std::move(address);
  }

  /// Takes an announcement.
  /// @return False if it is older than what is known, or names another address.
  bool OnAnnounced(const server_announcement& announcement, instant now);

  /// The backend server says that it leaves, without an announcement before.
  /// @return False if it is not the present one.
  bool OnWithdrawn(const std::string& instance, instant now);

  /// A connection was refused, or another instance answered.
  /// @param instance The one that the request was meant for.
  void OnUnreachable(const std::string& instance, instant now);

  /// Counts silence. To be called about once a second.
  void Tick(instant now);

  server_phase Phase() const { return phase_; }

  /// The last announcement; nothing before the first one.
  const std::optional<server_announcement>& Announced() const {
    return announced_;
  }

  /// What other daemons may use; nothing unless it is serving.
  std::optional<offered_server> Offer() const;

  /// Since when it is in its phase.
  instant Since() const { return since_; }

 private:
  bool IsOutdated(const server_announcement& announcement, instant now) const;
  void Enter(server_phase phase, instant now);

  local_server_options options_;
  server_phase phase_ = server_phase::kUnknown;
  instant since_;
  std::optional<server_announcement> announced_;
  instant heard_at_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_LOCAL_SERVER_H_
