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

/// Largest body that is kept for resends, in bytes.
inline constexpr std::size_t kMaxKeptBodyBytes = 65'536;

/// A key is forgotten this long after its last change of state.
inline constexpr duration kKeyLifetime{600'000'000};

/// Bound of the number of keys. 273 transactions/s for 10 min are 163,800.
inline constexpr std::size_t kMaxLedgerKeys = 200'000;

/// Bound of the kept answers, in bytes. With about 300 bytes a key the ledger
/// stays under 92 MB of the 256 MB that a daemon may use.
inline constexpr std::size_t kMaxKeptBytes = 33'554'432;

/// The first answer to a request, kept for resends.
struct kept_answer {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers = {};
  std::string body = {};
  /// False if the body exceeded kMaxKeptBodyBytes or did not arrive whole; the
  /// body is then empty.
  bool complete = true;

  bool operator==(const kept_answer&) const = default;
};

/// What the home of a key answers to a grant.
enum class grant_verdict {
  kGranted,         ///< Send the request; this holder alone may.
  kFirstAnswer,     ///< The request ran; `answer` is the first answer.
  kOutcomeUnknown,  ///< Granted to another holder, or the key is not known.
  kRanNotKept,      ///< The request ran; its answer was not kept.
  kUnavailable,     ///< The home could not be asked. Never from a key_ledger.
};

/// Returns "granted", "first_answer", "outcome_unknown", "ran_not_kept" or
/// "unavailable".
std::string_view GrantVerdictName(grant_verdict verdict);

/// Returns the verdict called `name`, or nothing.
std::optional<grant_verdict> FindGrantVerdict(std::string_view name);

struct grant_answer {
  grant_verdict verdict = grant_verdict::kOutcomeUnknown;
  std::optional<kept_answer> answer =
      std::nullopt;  ///< Set with kFirstAnswer only.
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

/// The home of the idempotency keys that one daemon issued. Keeps their state
/// in memory: issued -> granted -> done or released. A key that is not in the
/// table is never granted. Not thread-safe.
///
/// A `holder` names one call at an entry daemon and must be unique over all
/// daemons and their restarts. It keeps a delayed or repeated release of one
/// call from freeing the key while another call holds it.
class key_ledger {
 public:
  /// @param member Name of this daemon, without control characters.
  /// @param incarnation Start time of this daemon in ms since the epoch.
  /// @param seed Seed of the random parts; differs per start.
  key_ledger(std::string member, std::uint64_t incarnation, std::uint64_t seed);

  /// Issues a new key. Forgets the oldest key if the table is full.
  std::string Issue(instant now);

  /// Grants the key to `holder` if it is issued or released. The same holder
  /// gets the same answer again while it holds the key, and
  /// kOutcomeUnknown after its release.
  grant_answer Grant(const std::string& key, std::string_view holder,
                     instant now);

  /// Keeps the answer of a granted key. Other states and other holders are
  /// ignored.
  void Complete(const std::string& key, std::string_view holder,
                kept_answer answer, instant now);

  /// Frees a granted key after a definite `not_run`. A release that overtakes
  /// its own grant makes that grant fail. Other holders are ignored.
  void Release(const std::string& key, std::string_view holder, instant now);

  /// Returns the number of keys in the table.
  std::size_t KeyCount() const { return entries_.size(); }

  /// Returns the bytes of all kept answers.
  std::size_t KeptBytes() const { return kept_bytes_; }

 private:
  enum class key_state { kIssued, kGranted, kDone, kReleased };

  struct entry {
    std::string key;
    key_state state = key_state::kIssued;
    instant changed_at;
    std::string holder = {};           ///< Of the grant.
    std::string released_holder = {};  ///< Of the last release.
    kept_answer answer = {};
    std::size_t answer_bytes = 0;
  };

  using entry_list = std::list<entry>;

  void Expire(instant now);
  void Forget(entry_list::iterator position);
  void Touch(entry_list::iterator position, instant now);
  void DropAnswer(entry& item);
  void LimitKeptBytes();
  entry_list::iterator Find(const std::string& key);
  std::string RandomPart();

  std::string prefix_;
  random_source random_;
  /// Ordered by `changed_at`, oldest first.
  entry_list entries_;
  std::unordered_map<std::string_view, entry_list::iterator> by_key_;
  /// Keys whose answers are kept, oldest first; may name forgotten keys.
  std::list<std::string> kept_order_;
  std::size_t kept_bytes_ = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_LEDGER_KEY_LEDGER_H_
