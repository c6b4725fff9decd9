#ifndef POMELOHALL_DAEMON_BACKEND_LEASE_H_
#define POMELOHALL_DAEMON_BACKEND_LEASE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/time.h"
#include "membership/member_record.h"

namespace pomelohall {

/// What a backend server states in `PUT /v1/backend`.
struct backend_announcement {
  std::string address;  ///< "ip:port" on which it takes calls.
  std::string service;
  std::uint32_t slots = 0;        ///< Requests it runs at once, 1 to 10,000.
  std::uint32_t connections = 0;  ///< Connections it accepts; 0: not stated.
  std::uint64_t incarnation = 0;  ///< Differs for each start of its process.
  backend_state state = backend_state::kReady;

  bool operator==(const backend_announcement&) const = default;
};

/// Parses the JSON body of an announcement. Unknown fields, wrong types and
/// values out of range give `kInvalidRequest` that names the field.
result<backend_announcement> ParseAnnouncement(std::string_view json_text);

/// The lease of the backend server beside this daemon: it is held by renewing
/// the announcement. Pure; not thread-safe.
class backend_lease {
 public:
  /// Time for which an announcement is valid.
  static constexpr duration kLease = std::chrono::seconds(3);

  /// Takes or renews the lease. Fails with `kConflict` if a backend server with
  /// another address holds it.
  result<void> Announce(backend_announcement announcement, instant now);

  /// Gives the lease up: the backend server has gone.
  void Withdraw();

  /// Marks the present backend server as draining. It stays so until another
  /// incarnation announces itself. Fails with `kNotFound` if there is none.
  result<void> Drain();

  /// Ends the lease when it was not renewed in time.
  void Tick(instant now);

  /// Returns the announcement in force, with state kDraining after Drain(), or
  /// nothing if there is no backend server.
  const std::optional<backend_announcement>& Current() const {
    return current_;
  }

  /// Returns what the member record says of the backend server.
  backend_record Record() const;

 private:
  std::optional<backend_announcement> current_;
  std::optional<std::uint64_t> drained_incarnation_;
  bool had_backend_ = false;
  instant expiry_{};
};

}  // namespace pomelohall

#endif  // POMELOHALL_DAEMON_BACKEND_LEASE_H_
