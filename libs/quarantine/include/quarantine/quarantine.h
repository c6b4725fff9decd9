#ifndef POMELOHALL_QUARANTINE_QUARANTINE_H_
#define POMELOHALL_QUARANTINE_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "quarantine/in_flight_tracker.h"

namespace pomelohall {

/// How a request may run.
enum class quarantine_verdict {
  kAllow,
  kExclusive,  ///< As the only request on its backend server.
  kRefuse,     ///< Respond with `kPoisonSuspected` (not run).
};

/// State of a fingerprint.
enum class suspect_state {
  kSuspect,  ///< In flight when a backend server crashed.
  kCulprit,  ///< Crashed a backend server that ran nothing else.
  kCleared,  ///< Completed without a crash.
};

/// Returns "suspect", "culprit" or "cleared".
std::string_view SuspectStateName(suspect_state state);

/// Returns the state called `name`, or nothing.
std::optional<suspect_state> FindSuspectState(std::string_view name);

/// A state change to be sent to all daemons.
struct suspect_event {
  std::string service;
  std::uint64_t fingerprint = 0;
  suspect_state state = suspect_state::kSuspect;

  bool operator==(const suspect_event&) const = default;
};

/// Settings of a quarantine.
struct quarantine_options {
  duration entry_lifetime{600'000'000};
  /// Maximum number of entries. Suspects are evicted before culprits, the
  /// oldest first.
  std::size_t max_entries = 4096;
  /// Whether a request that ran exclusively on a crashed server becomes a
  /// culprit at its first crash. Otherwise it must have been a suspect before,
  /// so that a server killed for another reason does not make an unrelated
  /// request a culprit.
  bool culprit_at_first_crash = false;
};

/// Quarantine of requests that crash backend servers, by fingerprint and
/// service. One instance per daemon; the daemons exchange the events. Not
/// thread-safe.
class quarantine {
 public:
  explicit quarantine(quarantine_options options = {});

  /// Returns how a request may run.
  quarantine_verdict Check(std::string_view service, std::uint64_t fingerprint,
                           instant now);

  /// Records the crash of a backend server. Every request that it may have been
  /// running becomes a suspect. A suspect that ran exclusively becomes a
  /// culprit, unless a cancelled request that is also a suspect may have
  /// crashed the server.
  /// @return The state changes, for the other daemons.
  std::vector<suspect_event> OnCrash(std::string_view service,
                                     const crash_snapshot& crash, instant now);

  /// Overload without an in_flight_tracker: a single request counts as run
  /// exclusively.
  /// @param in_flight Fingerprints of the requests of which a byte was sent to
  ///     the server and whose response had not ended.
  /// @return The state changes, for the other daemons.
  std::vector<suspect_event> OnCrash(std::string_view service,
                                     std::span<const std::uint64_t> in_flight,
                                     instant now);

  /// Records that a request completed and its server is still alive. Clears a
  /// suspect; a culprit is kept.
  std::vector<suspect_event> OnSuccess(std::string_view service,
                                       std::uint64_t fingerprint, instant now);

  /// Applies a state change of another daemon. A culprit is never downgraded.
  void Apply(const suspect_event& event, instant now);

  /// Returns the number of suspects and culprits.
  std::size_t EntryCount() const { return entries_.size(); }

 private:
  struct entry_key {
    std::string service;
    std::uint64_t fingerprint = 0;
  };
  struct entry_key_view {
    std::string_view service;
    std::uint64_t fingerprint = 0;
  };
  struct key_less {
    using is_transparent = void;
    template <typename Left, typename Right>
    bool operator()(const Left& left, const Right& right) const {
      if (left.fingerprint != right.fingerprint) {
        return left.fingerprint < right.fingerprint;
      }
      const std::string_view left_service = left.service;
      const std::string_view right_service = right.service;
      return left_service < right_service;
    }
  };
  struct entry {
    suspect_state state = suspect_state::kSuspect;
    instant changed_at;
  };
  using entry_map = std::map<entry_key, entry, key_less>;

  entry_map::iterator FindUnexpired(std::string_view service,
                                    std::uint64_t fingerprint, instant now);
  void SetState(std::string_view service, std::uint64_t fingerprint,
                suspect_state state, instant now);
  void EvictOldest(instant now);
  bool Contains(std::string_view service, std::uint64_t fingerprint,
                instant now);
  /// Sets the state and adds the change to `events`, unless the request is a
  /// culprit already.
  void MarkUnlessCulprit(std::string_view service, std::uint64_t fingerprint,
                         suspect_state state, instant now,
                         std::vector<suspect_event>& events);

  quarantine_options options_;
  entry_map entries_;
};

/// Returns the fingerprint of a request.
/// @param length Length of the whole body in bytes.
/// @param body_start First bytes of the body; at most 4 KiB are used.
std::uint64_t RequestFingerprint(std::string_view method,
                                 std::string_view target, std::uint64_t length,
                                 std::string_view body_start);

}  // namespace pomelohall

#endif  // POMELOHALL_QUARANTINE_QUARANTINE_H_
