#ifndef POMELOHALL_LEDGER_KEY_LEDGER_H_
#define POMELOHALL_LEDGER_KEY_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/random.h"
#include "base/time.h"

namespace pomelohall {

/// Largest response body that is stored for resends, in bytes.
inline constexpr std::size_t kMaxStoredBodyBytes = 65'536;

/// A key expires this long after its last state change.
inline constexpr duration kKeyLifetime{600'000'000};

/// Maximum number of keys. 273 transactions/s for 10 min are 163,800.
inline constexpr std::size_t kMaxLedgerKeys = 200'000;

/// Maximum total size of the stored responses, in bytes. With about 300 bytes
/// per key the ledger stays under 92 MB of the 256 MB that a daemon may use.
inline constexpr std::size_t kMaxStoredBytes = 33'554'432;

/// The first response to a request, stored for resends.
struct stored_response {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers = {};
  std::string body = {};
  /// False if the body exceeded kMaxStoredBodyBytes or did not arrive
  /// completely; the body is then empty.
  bool complete = true;

  bool operator==(const stored_response&) const = default;
};

/// Result of a grant request at the home daemon of a key.
enum class grant_verdict {
  kGranted,         ///< Send the request; no other holder may.
  kFirstAnswer,     ///< The request ran; `response` is the first response.
  kOutcomeUnknown,  ///< Granted to another holder, or unknown key.
  kRanNotKept,      ///< The request ran; its response was not stored.
  kUnavailable,     ///< The home daemon is unreachable. Never returned by a
                    ///< key_ledger.
};

/// Returns "granted", "first_answer", "outcome_unknown", "ran_not_kept" or
/// "unavailable".
std::string_view GrantVerdictName(grant_verdict verdict);

/// Returns the verdict called `name`, or nothing.
std::optional<grant_verdict> FindGrantVerdict(std::string_view name);

struct grant_result {
  grant_verdict verdict = grant_verdict::kOutcomeUnknown;
  /// Set with kFirstAnswer only.
  std::optional<stored_response> response = std::nullopt;
};

/// The parts of an issued key `phk1.<member>.<incarnation>.<random>`.
struct issued_key {
  std::string member;
  std::uint64_t incarnation = 0;
  std::string random;  ///< 32 lower-case hexadecimal digits.

  bool operator==(const issued_key&) const = default;
};

/// Returns the parts of `key`, or nothing if it is not an issued key.
std::optional<issued_key> ParseIssuedKey(std::string_view key);

/// In-memory table of the idempotency keys that one daemon issued. That daemon
/// is the home daemon of these keys. Their states are issued -> granted ->
/// completed or released. A key that is not in the table is never granted. Not
/// thread-safe.
///
/// A `holder` identifies one call at an entry daemon and must be unique over
/// all daemons and their restarts. It prevents a delayed or repeated release of
/// one call from releasing the key while another call holds it.
class key_ledger {
 public:
  /// @param member Name of this daemon, without control characters.
  /// @param incarnation Start time of this daemon in ms since the epoch.
  /// @param seed Seed of the random parts of the keys; must differ at each
  ///     start.
  key_ledger(std::string member, std::uint64_t incarnation, std::uint64_t seed);

  /// Issues a new key. Evicts the oldest key if the table is full.
  std::string Issue(instant now);

  /// Grants the key to `holder` if it is issued or released. Repeated requests
  /// of the same holder are granted while it holds the key, and get
  /// kOutcomeUnknown after its release.
  grant_result Grant(const std::string& key, std::string_view holder,
                     instant now);

  /// Stores the response of a granted key. Ignored in other states and for
  /// other holders.
  void Complete(const std::string& key, std::string_view holder,
                stored_response response, instant now);

  /// Releases a granted key after a definite `not_run`. A release that arrives
  /// before its own grant makes that grant fail. Ignored for other holders.
  void Release(const std::string& key, std::string_view holder, instant now);

  /// Returns the number of keys in the table.
  std::size_t KeyCount() const { return entries_.size(); }

  /// Returns the total size of the stored responses in bytes.
  std::size_t StoredBytes() const { return stored_bytes_; }

 private:
  enum class key_state { kIssued, kGranted, kCompleted, kReleased };

  struct entry {
    std::string key;
    key_state state = key_state::kIssued;
    instant changed_at;
    std::string holder = {};           ///< Of the grant.
    std::string released_holder = {};  ///< Of the last release.
    stored_response response = {};
    std::size_t response_bytes = 0;
  };

  using entry_list = std::list<entry>;

  void Expire(instant now);
  void Erase(entry_list::iterator position);
  void UpdateChangedAt(entry_list::iterator position, instant now);
  void DropResponse(entry& item);
  void EvictResponses();
  entry_list::iterator Find(const std::string& key);
  std::string RandomPart();

  std::string prefix_;
  random_source random_;
  /// Ordered by `changed_at`, oldest first.
  entry_list entries_;
  std::unordered_map<std::string_view, entry_list::iterator> by_key_;
  /// Keys with stored responses, in order of completion; may contain expired
  /// keys.
  std::list<std::string> completion_order_;
  std::size_t stored_bytes_ = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_LEDGER_KEY_LEDGER_H_
