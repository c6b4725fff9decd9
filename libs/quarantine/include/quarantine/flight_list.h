#ifndef POMELOHALL_QUARANTINE_FLIGHT_LIST_H_
#define POMELOHALL_QUARANTINE_FLIGHT_LIST_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace pomelohall {

/// A cancelled request counts as in flight for this long. Its backend server
/// may still run it: a request that crashes servers and whose caller goes away
/// at once would otherwise never become a suspect.
inline constexpr duration kCancelledInFlight{2'000'000};

/// What a backend server may have been running when it crashed.
struct crash_scene {
  std::vector<std::uint64_t> running;    ///< Fingerprints, ascending.
  std::vector<std::uint64_t> cancelled;  ///< Fingerprints, ascending.
  /// One request was running, and it was started as `kAlone`.
  bool ran_alone = false;
};

/// The requests that one backend server may be running, for
/// quarantine::OnCrash(). Not thread-safe.
class flight_list {
 public:
  /// Call it when the first byte is sent. `id` must not be in use.
  /// @param alone Whether it was started to run alone.
  void Start(std::uint64_t id, std::uint64_t fingerprint, bool alone);

  /// Call it when the answer ended. Unknown ids are ignored.
  void End(std::uint64_t id);

  /// Call it when the request was cancelled before its answer ended.
  void Cancel(std::uint64_t id, instant now);

  /// Returns what may be running and forgets it. Call it when the server
  /// crashed.
  crash_scene TakeAll(instant now);

 private:
  struct running_request {
    std::uint64_t fingerprint = 0;
    bool alone = false;
  };
  struct cancelled_request {
    std::uint64_t fingerprint = 0;
    instant at;
  };

  void Expire(instant now);

  std::unordered_map<std::uint64_t, running_request> running_;
  /// Oldest first.
  std::vector<cancelled_request> cancelled_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_QUARANTINE_FLIGHT_LIST_H_
