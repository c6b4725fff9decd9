#ifndef POMELOHALL_MEMBERSHIP_MEMBER_RECORD_H_
#define POMELOHALL_MEMBERSHIP_MEMBER_RECORD_H_

#include <cstdint>
#include <string>

namespace pomelohall {

/// Liveness of a member as determined by the members of its data centre.
enum class member_state {
  kAlive,
  kSuspect,  ///< Answers no pings; still a live member that gets calls.
  kDead,     ///< Did not refute the suspicion in time.
  kLeft,     ///< Shut down in an orderly way.
};

/// State of the backend server on the VM of a member.
enum class backend_state {
  kNone,      ///< No backend server has announced itself.
  kStarting,  ///< Announced; receives no requests yet.
  kReady,
  kDraining,  ///< Completes running requests and receives no new ones.
  kGone,      ///< Its announcement expired or was withdrawn.
};

/// What a backend server announced to the daemon of its VM.
struct backend_record {
  std::string service;
  std::uint32_t slots = 0;  ///< Maximum number of concurrent requests.
  backend_state state = backend_state::kNone;

  bool operator==(const backend_record&) const = default;
};

/// Replicated record of one member. Of two records of a member the one with the
/// higher (incarnation, sequence) is newer; the liveness state is merged
/// separately (see member_table.h).
struct member_record {
  std::string name;  ///< Unique in the cluster; set in the settings file.
  std::string region;
  std::string data_centre;
  std::string forward_address;  ///< "ip:port" for calls.
  std::string peer_address;     ///< "ip:port" for control messages.
  /// Start time in ms since the Unix epoch; increased to refute a suspicion.
  std::uint64_t incarnation = 0;
  /// Incremented with each change that the member makes to its own record.
  std::uint64_t sequence = 0;
  member_state state = member_state::kAlive;
  backend_record backend;

  bool operator==(const member_record&) const = default;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MEMBERSHIP_MEMBER_RECORD_H_
