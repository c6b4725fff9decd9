#ifndef POMELOHALL_MEMBERSHIP_MEMBER_RECORD_H_
#define POMELOHALL_MEMBERSHIP_MEMBER_RECORD_H_

#include <cstdint>
#include <string>

namespace pomelohall {

/// Liveness of a member as its data centre sees it.
enum class member_state {
  kAlive,
  kSuspect,  ///< Missed its heartbeats; still counted and routed to.
  kDead,     ///< Did not refute the suspicion in time.
  kLeft,     ///< Stopped as planned.
};

/// State of the backend server beside a member.
enum class backend_state {
  kNone,      ///< No backend server has announced itself.
  kStarting,  ///< Announced, gets no work yet.
  kReady,
  kDraining,  ///< Finishes its work, gets no new work.
  kGone,      ///< Its announcement expired or was withdrawn.
};

/// What a backend server announced to the daemon of its VM.
struct backend_record {
  std::string service;
  std::uint32_t slots = 0;  ///< Requests it runs at once.
  backend_state state = backend_state::kNone;

  bool operator==(const backend_record&) const = default;
};

/// What all daemons know of one member. Of two records of a member the one with
/// the higher (incarnation, sequence) is newer; the liveness state is merged
/// apart (see membership.h).
struct member_record {
  std::string name;  ///< Unique in the cluster, from the settings.
  std::string region;
  std::string data_centre;
  std::string forward_address;  ///< "ip:port" for calls.
  std::string peer_address;     ///< "ip:port" for control messages.
  /// Start time in ms since the epoch; raised to refute a suspicion.
  std::uint64_t incarnation = 0;
  /// Grows with each change that the member makes to its own record.
  std::uint64_t sequence = 0;
  member_state state = member_state::kAlive;
  backend_record backend;

  bool operator==(const member_record&) const = default;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MEMBERSHIP_MEMBER_RECORD_H_
