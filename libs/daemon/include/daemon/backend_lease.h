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

/// Body of a `PUT /v1/backend` request from a backend server.
struct backend_announcement {
  std::string address;  ///< "ip:port" on which it accepts calls.
  std::string service;
  std::uint32_t slots = 0;        ///< Concurrent requests, 1 to 10,000.
  std::uint32_t connections = 0;  ///< Maximum connections; 0 if not specified.
  std::uint64_t incarnation = 0;  ///< Changes with each start of the process.
  backend_state state = backend_state::kReady;

  bool operator==(const backend_announcement&) const = default;
};

/// Parses the JSON body of an announcement. Fails with `kInvalidRequest`, and a
/// message that names the field, on unknown fields, wrong types and values out
/// of range.
result<backend_announcement> ParseAnnouncement(std::string_view json_text);

/// Lease of the backend server on the daemon's VM. The backend server renews
/// the lease by repeating its announcement. Performs no I/O and reads no clock;
/// not thread-safe.
class backend_lease {
 public:
  /// Time for which an announcement is valid unless it is renewed.
  static constexpr duration kLeaseDuration = std::chrono::seconds(3);

  /// Acquires or renews the lease. Fails with `kConflict` if a backend server
  /// with another address holds it.
  result<void> Announce(backend_announcement announcement, instant now);

  /// Releases the lease because the backend server has stopped.
  void Withdraw();

  /// Marks the current backend server as draining until another incarnation
  /// announces itself. Fails with `kNotFound` if no backend server holds the
  /// lease.
  result<void> Drain();

  /// Expires the lease if it was not renewed in time.
  void Tick(instant now);

  /// Returns the current announcement, with state kDraining after Drain(), or
  /// nullopt if no backend server holds the lease.
  const std::optional<backend_announcement>& Current() const {
    return current_;
  }

  /// Returns the backend part of this daemon's member record.
  backend_record Record() const;

 private:
  std::optional<backend_announcement> current_;
  std::optional<std::uint64_t> drained_incarnation_;
  bool had_backend_ = false;
  instant expiry_{};
};

}  // namespace pomelohall

#endif  // POMELOHALL_DAEMON_BACKEND_LEASE_H_
