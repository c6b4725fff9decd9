#ifndef POMELOHALL_SIDECAR_HEADER_FIELD_NAMES_H_
#define POMELOHALL_SIDECAR_HEADER_FIELD_NAMES_H_

#include <string>
#include <string_view>

namespace pomelohall {

/// Names of the HTTP header fields that daemons exchange with callers and
/// backend servers.
struct header_field_names {
  std::string attempt_id;  ///< Unique per attempt of a caller; answers echo it.
  std::string deadline;    ///< Milliseconds left to answer the request.
  /// The only instance that may run the request.
  std::string expected_instance;
  std::string caller_service;  ///< Service that runs on the VM of the caller.
  std::string signature;       ///< Marks answers made by a backend server.
  std::string not_executed;    ///< Set if the request was not run.
  std::string instance;        ///< Instance that answered.
  std::string tenant;          ///< Name of the tenant of the request.
  std::string server_load;     ///< Load that a backend server reports.
};

/// Header fields between daemons; they never reach a caller or a backend
/// server.
inline constexpr std::string_view kMeshInstanceField =
    "Pomelohall-Mesh-Instance";
inline constexpr std::string_view kMeshClassField = "Pomelohall-Mesh-Class";
inline constexpr std::string_view kMeshKindField = "Pomelohall-Mesh-Kind";
inline constexpr std::string_view kMeshPriorityField =
    "Pomelohall-Mesh-Priority";
/// Milliseconds until the latency target is missed; negative if it was.
inline constexpr std::string_view kMeshTargetField = "Pomelohall-Mesh-Target";
/// Maximum time in the queue in milliseconds; unlimited if absent.
inline constexpr std::string_view kMeshMaxWaitField =
    "Pomelohall-Mesh-Max-Wait";
/// Version of the active configuration of the sender.
inline constexpr std::string_view kMeshVersionField = "Pomelohall-Mesh-Version";
/// Last confirmation of that configuration: "ERA REVISION AGE", the era and
/// revision of the store and the milliseconds since. The time counts on answers
/// only.
inline constexpr std::string_view kMeshConfirmedField =
    "Pomelohall-Mesh-Confirmed";
/// Address at which the sender serves that configuration.
inline constexpr std::string_view kMeshSenderField = "Pomelohall-Mesh-Sender";
/// Marks the notice of a daemon that it stops. The value is the number of
/// milliseconds until the latest deadline of the requests that it has passed
/// on.
inline constexpr std::string_view kMeshStopField = "Pomelohall-Mesh-Stop";
/// Marks a request of a daemon that stops soon after its deadline, and that can
/// deliver no response then.
inline constexpr std::string_view kMeshStoppingField =
    "Pomelohall-Mesh-Stopping";
/// Marks a fetch of the active configuration. The value is the version that the
/// fetching daemon has.
inline constexpr std::string_view kMeshFetchField = "Pomelohall-Mesh-Fetch";
/// Load of the backend server beside the answering daemon:
/// "running,waiting,slots,mean run time,link wait", both times in microseconds.
inline constexpr std::string_view kMeshLoadField = "Pomelohall-Mesh-Load";
/// Time in microseconds from the receipt of a request by the answering daemon
/// to its answer. The rest of the time until the answer arrives is delay.
inline constexpr std::string_view kMeshHeldField = "Pomelohall-Mesh-Held";

/// Crashes of backend servers that the request may have caused: "ID:TIME,..."
/// with hexadecimal IDs and Unix milliseconds, "ID:TIME:trial" for one at which
/// it was on trial. On requests and error responses.
inline constexpr std::string_view kMeshCrashesField = "Pomelohall-Mesh-Crashes";
/// Tells that the request has completed at the sender since it ran at crashes.
inline constexpr std::string_view kMeshClearedField = "Pomelohall-Mesh-Cleared";
/// Marks a request that the sender offers on trial, see crash_verdict.
inline constexpr std::string_view kMeshTrialField = "Pomelohall-Mesh-Trial";

/// Active roll-outs that the sender knows, on requests and answers.
inline constexpr std::string_view kMeshRolloutField = "Pomelohall-Mesh-Rollout";
/// Counts of the responses of the answering backend server, by route, while its
/// service has an active roll-out.
inline constexpr std::string_view kMeshVersionReportField =
    "Pomelohall-Mesh-Version-Report";
/// Marks a notice about a roll-out of the daemon that decided on it.
inline constexpr std::string_view kMeshRolloutNoticeField =
    "Pomelohall-Mesh-Rollout-Notice";
/// Marks an exchange of quota tokens.
inline constexpr std::string_view kMeshQuotaField = "Pomelohall-Mesh-Quota";
/// How long work takes now on the VM of the answering daemon, in percent of the
/// usual time.
inline constexpr std::string_view kMeshSpeedField = "Pomelohall-Mesh-Speed";
/// Recent loads of other backend servers of the data centre, on messages within
/// it: "HASH:BUSY:PERCENT:AGE,..." with the age in microseconds.
inline constexpr std::string_view kMeshLoadsField = "Pomelohall-Mesh-Loads";

/// Prefix of all header fields between daemons, those of later versions
/// included.
inline constexpr std::string_view kMeshFieldPrefix = "Pomelohall-Mesh-";

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_HEADER_FIELD_NAMES_H_
