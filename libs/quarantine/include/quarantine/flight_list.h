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

/// The requests that one backend server may be running, for
/// quarantine::OnCrash(). Not thread-safe.
class flight_list {
 public:
  /// Call it when the first byte is sent. `id` must not be in use.
  void Start(std::uint64_t id, std::uint64_t fingerprint);

  /// Call it when the answer ended. Unknown ids are ignored.
  void End(std::uint64_t id);

  /// Call it when the request was cancelled before its answer ended.
  void Cancel(std::uint64_t id, instant now);

  /// Returns the fingerprints that may be running and forgets all requests.
  /// Call it when the server crashed.
  std::vector<std::uint64_t> TakeAll(instant now);

 private:
  struct cancelled_request {
    std::uint64_t fingerprint = 0;
    instant at;
  };

  void Expire(instant now);

  std::unordered_map<std::uint64_t, std::uint64_t> running_;
  /// Oldest first.
  std::vector<cancelled_request> cancelled_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_QUARANTINE_FLIGHT_LIST_H_
