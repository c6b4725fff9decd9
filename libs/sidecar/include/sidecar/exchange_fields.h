#ifndef POMELOHALL_SIDECAR_EXCHANGE_FIELDS_H_
#define POMELOHALL_SIDECAR_EXCHANGE_FIELDS_H_

#include <array>
#include <string>
#include <string_view>

namespace pomelohall {

/// Names of the header fields that callers and backend servers use.
struct exchange_fields {
  std::string attempt_id;  ///< Unique for each attempt of a caller; echoed.
  std::string deadline;    ///< Milliseconds that the receiver still has.
  std::string expected_instance;  ///< Backend server that alone may run it.
  std::string caller_service;     ///< Service of the VM of the caller.
  std::string signature;          ///< Of answers that a backend server made.
  std::string not_executed;  ///< The backend server did not run the request.
  std::string instance;      ///< Instance that answered.
};

/// Fields between daemons; they never reach a caller or a backend server.
inline constexpr std::string_view kMeshInstanceField =
    "Pomelohall-Mesh-Instance";
inline constexpr std::string_view kMeshClassField = "Pomelohall-Mesh-Class";
inline constexpr std::string_view kMeshKindField = "Pomelohall-Mesh-Kind";
inline constexpr std::string_view kMeshPriorityField =
    "Pomelohall-Mesh-Priority";
/// Milliseconds until the latency target is missed; may be negative.
inline constexpr std::string_view kMeshTargetField = "Pomelohall-Mesh-Target";
/// Longest wait in milliseconds before the request starts; without it, any.
inline constexpr std::string_view kMeshMaxWaitField =
    "Pomelohall-Mesh-Max-Wait";
/// Version of the configuration that the sender has in force.
inline constexpr std::string_view kMeshVersionField = "Pomelohall-Mesh-Version";
/// Address at which the sender answers fetches of that configuration.
inline constexpr std::string_view kMeshSenderField = "Pomelohall-Mesh-Sender";
/// Marks a fetch of the configuration in force; the version of the sender.
inline constexpr std::string_view kMeshFetchField = "Pomelohall-Mesh-Fetch";
/// "running,waiting,slots,mean microseconds,link wait in microseconds" of the
/// answering daemon's server.
inline constexpr std::string_view kMeshLoadField = "Pomelohall-Mesh-Load";

/// All fields between daemons.
inline constexpr std::array kMeshFields{kMeshInstanceField, kMeshClassField,
                                        kMeshKindField,     kMeshPriorityField,
                                        kMeshTargetField,   kMeshMaxWaitField,
                                        kMeshVersionField,  kMeshSenderField,
                                        kMeshFetchField,    kMeshLoadField};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_EXCHANGE_FIELDS_H_
