#ifndef POMELOHALL_CALLER_CALL_SERVICE_OPTIONS_H_
#define POMELOHALL_CALLER_CALL_SERVICE_OPTIONS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/time.h"
#include "caller/call_observation.h"
#include "membership/member_record.h"
#include "platform/object_store.h"
#include "policy/admission_controller.h"
#include "policy/call_state_machine.h"
#include "policy/retry_policy.h"
#include "quarantine/quarantine.h"
#include "routing/server_selector.h"

namespace pomelohall {

/// State of the backend server of this VM, from its announcement.
struct backend_view {
  std::string address;  ///< "ip:port".
  std::string service;
  std::uint32_t slots = 0;
  backend_state state = backend_state::kNone;
};

/// Address at which a daemon accepts forwarded calls and claims.
struct member_address {
  std::string forward_address;  ///< "ip:port".
  std::uint64_t incarnation = 0;
};

/// Dependencies and settings of a call_service. All callbacks run on the I/O
/// thread and may be empty unless required.
struct call_service_options {
  std::string member;             ///< Unique name of this daemon.
  std::string data_centre;        ///< Data centre of this daemon.
  std::string region;             ///< Region of this daemon.
  std::uint64_t incarnation = 0;  ///< Start time in ms since the epoch.
  std::uint64_t seed = 0;         ///< Random seed; must differ between starts.
  /// Listen address for callers, "ip:port".
  std::string caller_address = "127.0.0.1:0";
  /// Listen address for other daemons, "ip:port".
  std::string forward_address = "127.0.0.1:0";

  /// Returns the backend server of this VM. Required.
  std::function<backend_view()> backend;
  /// Returns the address of a member, with or without a backend server, or
  /// nothing if the member is not known to be alive. Needed to claim
  /// idempotency keys that other daemons issued.
  std::function<std::optional<member_address>(const std::string& member)>
      find_member;
  /// Receives each local quarantine change, to be sent to all other daemons.
  std::function<void(const suspect_event&)> on_suspect;
  /// Receives each classified call after its response was written.
  std::function<void(const call_observation&)> on_observation;
  /// Stores the claims of idempotency keys that callers chose. Called on the
  /// I/O thread; may call back on any thread. If null, such keys are rejected
  /// with `kLedgerUnavailable`. Must outlive the service.
  object_store* claims = nullptr;

  /// Deadline of calls without the Pomelohall-Deadline-Ms field.
  duration default_deadline = std::chrono::seconds(60);
  /// A connection is closed if a transfer makes no progress for this time.
  duration progress_timeout = std::chrono::seconds(60);
  /// An idle connection of a caller or daemon is closed after this time.
  duration idle_timeout = std::chrono::seconds(60);
  /// A transaction that was already sent continues for up to this time after
  /// its caller disconnected or its deadline passed, so that its outcome is
  /// recorded.
  duration detached_call_timeout = std::chrono::seconds(60);
  /// Timeout of a claim request to the daemon that issued the key.
  duration claim_timeout = std::chrono::seconds(2);
  /// Time from Stop() after which all connections are closed. Calls have their
  /// responses 200 ms earlier at the latest. The default leaves the default
  /// deadline to calls that arrive just before Stop().
  duration stop_time = std::chrono::milliseconds(60'500);
  /// Maximum number of connections to the backend server.
  std::size_t max_backend_connections = 100;

  admission_options admission;
  retry_options retries;
  call_options call;
  quarantine_options quarantine;
  /// `local_data_centre` and `local_region` are overwritten with `data_centre`
  /// and `region`.
  selector_options selector;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_CALL_SERVICE_OPTIONS_H_
