#ifndef POMELOHALL_MESH_MESH_MEMBER_H_
#define POMELOHALL_MESH_MESH_MEMBER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "quarantine/crash_history.h"
#include "rollout/rollout_record.h"

namespace pomelohall {

/// The backend server on the VM of a daemon, as offered to other daemons.
struct offered_server {
  std::string instance;  ///< Changes with most restarts of a backend server.
  std::string service;
  std::size_t slots = 1;
  /// Version of its software; empty if it is not known or not used.
  std::string version = {};

  bool operator==(const offered_server&) const = default;
};

/// A backend server that has left. A start that announced that it drains does
/// not serve again, whatever is announced late. A withdrawal names the instance
/// only; see local_server::OnWithdrawn().
struct departed_server {
  std::string instance;
  /// The start that drains, by the clock of its VM. For a withdrawal the one
  /// that was announced last, 0 if none was.
  std::int64_t start_unix_ms = 0;
  bool withdrawn = false;

  bool operator==(const departed_server&) const = default;
};

/// Longest instance of a server that is kept after it has left.
constexpr std::size_t kMaxInstanceBytes = 256;

/// Longest version of a server's software.
constexpr std::size_t kMaxServerVersionBytes = 256;

/// Largest number of slots and link rate that a record may state. Far above
/// those of any VM; a larger value would attract all requests of a service, or
/// make a member the reader of its data centre although it is none.
constexpr std::uint64_t kMaxServerSlots = 65'536;
constexpr double kMaxLinkMbps = 1'000'000;

/// A daemon and the backend server that it offers. Each daemon updates its own
/// record in the platform's store.
struct mesh_member {
  std::string name;               ///< Unique; from the settings.
  std::string data_centre;        ///< From the settings.
  std::string address;            ///< "ip:port" for requests of other daemons.
  double link_mbps = 0;           ///< Bandwidth of its VM; 0 if unknown.
  std::uint64_t incarnation = 0;  ///< Differs for each start of the daemon.
  /// Rises with each change of the record in one incarnation.
  std::uint64_t sequence = 0;
  std::optional<offered_server> server;  ///< Nothing while it is not serving.
  /// Backend servers of this VM that have left, the latest one last. Kept for
  /// the next process of the daemon.
  std::vector<departed_server> departed = {};
  /// Crashes of backend servers of this VM, for all daemons and the next
  /// process of this one.
  std::vector<crash_report> crashes = {};
  /// Fingerprints of suspects that have completed at this daemon.
  std::vector<std::uint64_t> cleared = {};
  /// Roll-out whose target version its backend server has. Tells whoever learns
  /// of the server that it may get a share of the requests only.
  std::optional<rollout_record> rollout = {};

  bool operator==(const mesh_member&) const = default;

  /// Returns whether this record was written before `other` by the same daemon.
  bool IsOlderThan(const mesh_member& other) const {
    return std::tie(incarnation, sequence) <
           std::tie(other.incarnation, other.sequence);
  }
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_MESH_MEMBER_H_
