#ifndef POMELOHALL_QUARANTINE_IN_FLIGHT_TRACKER_H_
#define POMELOHALL_QUARANTINE_IN_FLIGHT_TRACKER_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace pomelohall {

/// A cancelled request counts as in flight for this long. Its backend server
/// may still run it: a request that crashes servers and whose caller
/// disconnects at once would otherwise never become a suspect.
inline constexpr duration kCancelledInFlight{2'000'000};

/// The requests that a backend server may have been running when it crashed.
struct crash_snapshot {
  std::vector<std::uint64_t> running;    ///< Fingerprints, ascending.
  std::vector<std::uint64_t> cancelled;  ///< Fingerprints, ascending.
  /// Whether exactly one request was running and was started as `kExclusive`.
  bool ran_exclusively = false;
};

/// Tracks the requests that one backend server may be running, for
/// quarantine::OnCrash(). Not thread-safe.
class in_flight_tracker {
 public:
  /// Must be called when the first byte is sent. `id` must not be in use.
  /// @param exclusive Whether the request was started for exclusive execution.
  void Start(std::uint64_t id, std::uint64_t fingerprint, bool exclusive);

  /// Must be called when the response ended. Unknown ids are ignored.
  void End(std::uint64_t id);

  /// Must be called when the request was cancelled before its response ended.
  void Cancel(std::uint64_t id, instant now);

  /// Returns the requests that may be running and clears the tracker. Must be
  /// called when the server crashed.
  crash_snapshot TakeAll(instant now);

 private:
  struct running_request {
    std::uint64_t fingerprint = 0;
    bool exclusive = false;
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

#endif  // POMELOHALL_QUARANTINE_IN_FLIGHT_TRACKER_H_
