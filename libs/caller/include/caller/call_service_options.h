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
#include "policy/call_plan.h"
#include "policy/retry_policy.h"
#include "quarantine/quarantine.h"
#include "routing/server_selector.h"

namespace pomelohall {

/// The backend server of this VM, as it announced itself.
struct backend_view {
  std::string address;  ///< "ip:port".
  std::string service;
  std::uint32_t slots = 0;
  backend_state state = backend_state::kNone;
};

/// Where a member takes calls and claims.
struct member_address {
  std::string forward_address;  ///< "ip:port".
  std::uint64_t incarnation = 0;
};

/// Collaborators and settings of a call_service. All functions are called on
/// the I/O thread; empty ones are not called.
struct call_service_options {
  std::string member;             ///< Unique name of this daemon.
  std::string data_centre;        ///< Its data centre.
  std::string region;             ///< Its region.
  std::uint64_t incarnation = 0;  ///< Start time in ms since the epoch.
  std::uint64_t seed = 0;         ///< Of random choices; differs per start.
  std::string caller_address = "127.0.0.1:0";   ///< "ip:port" for callers.
  std::string forward_address = "127.0.0.1:0";  ///< "ip:port" for daemons.

  /// Returns the backend server of this VM. Required.
  std::function<backend_view()> backend;
  /// Returns the address of a member, also of one without a backend server, or
  /// nothing if it is not known to be alive. Required for issued keys of other
  /// daemons.
  std::function<std::optional<member_address>(const std::string& member)>
      find_member;
  /// Told each change of the quarantine, for all other daemons.
  std::function<void(const suspect_event&)> on_suspect;
  /// Told each call that has a class, once its answer was written.
  std::function<void(const call_observation&)> on_observation;
  /// Keeps the claims of caller-chosen keys. Called on the I/O thread; may call
  /// back on any thread. Null: such keys are refused with
  /// `kLedgerUnavailable`. Must outlive the service.
  object_store* claims = nullptr;

  /// Deadline of a call without Pomelohall-Deadline-Ms.
  duration default_deadline = std::chrono::seconds(60);
  /// A connection on which no byte moves is closed after this time.
  duration progress_timeout = std::chrono::seconds(60);
  /// An idle connection of a caller or daemon is closed after this time.
  duration idle_timeout = std::chrono::seconds(60);
  /// A transaction that was sent runs on for this time after its caller has
  /// gone or its deadline has passed, so that its outcome is recorded.
  duration run_on_limit = std::chrono::seconds(60);
  /// Time in which the home of a key must answer.
  duration claim_timeout = std::chrono::seconds(2);
  /// Connections to the backend server.
  std::size_t max_backend_connections = 100;

  admission_options admission;
  retry_options retries;
  plan_options plan;
  quarantine_options quarantine;
  /// `local_data_centre` and `local_region` are set from above.
  selector_options selector;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_CALL_SERVICE_OPTIONS_H_
