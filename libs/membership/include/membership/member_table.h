#ifndef POMELOHALL_MEMBERSHIP_MEMBER_TABLE_H_
#define POMELOHALL_MEMBERSHIP_MEMBER_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "membership/member_record.h"

namespace pomelohall {

/// The records of all members, merged from event and sync messages.
///
/// Merging is commutative and idempotent. A record of a higher incarnation
/// replaces the whole record. Within an incarnation the content with the higher
/// sequence and the later liveness state (in the order alive, suspect, dead,
/// left) take precedence.
class member_table {
 public:
  /// The digest has one hash per bucket of names, so that a repair transfers
  /// only the records of the buckets that differ.
  static constexpr std::size_t kBuckets = 32;

  struct entry {
    member_record record;
    instant state_since;    ///< When this daemon received the current state.
    bool in_digest = true;  ///< False for old dead and left records.
  };
  using entries = std::map<std::string, entry, std::less<>>;

  /// @param tombstone_lifetime Time for which dead and left records are kept.
  ///     After half of it they are excluded from digests and syncs, so that
  ///     daemons do not restore expired records in each other's tables.
  explicit member_table(duration tombstone_lifetime)
      : tombstone_lifetime_(tombstone_lifetime) {}

  /// Merges a record and returns whether the table changed.
  bool Merge(const member_record& incoming, instant now);

  /// Merges a state into the record of a known member. Returns whether the
  /// record changed.
  bool SetState(std::string_view name, member_state state, instant now);

  /// Removes expired records. Returns whether any was removed.
  bool DropExpired(instant now);

  /// Restarts the suspicion timeout of every suspect, after this process was
  /// paused.
  void RestartSuspicionTimers(instant now);

  /// Returns the record of a member, or null. The pointer is valid until the
  /// next change of the table.
  const member_record* Find(std::string_view name) const;

  const entries& Entries() const { return entries_; }
  std::vector<member_record> Records() const;

  /// Incremented when a member is added or its state or incarnation changes.
  std::uint64_t Revision() const { return revision_; }

  /// Returns the digest: 8 bytes per bucket.
  std::string Digest() const;
  /// Returns the number of records that the digest covers.
  std::size_t DigestCount() const { return digest_count_; }

  /// Returns the records in buckets whose hash differs from that in `digest`,
  /// or all records of the digest if `digest` has another size.
  std::vector<member_record> DifferingRecords(std::string_view digest) const;

 private:
  void RemoveFromDigest(entry& item);
  void AddToDigest(entry& item);

  duration tombstone_lifetime_;
  entries entries_;
  std::array<std::uint64_t, kBuckets> digests_{};
  std::size_t digest_count_ = 0;
  std::uint64_t revision_ = 0;
};

/// Returns whether a member in this state counts as live.
constexpr bool IsLive(member_state state) {
  return state == member_state::kAlive || state == member_state::kSuspect;
}

}  // namespace pomelohall

#endif  // POMELOHALL_MEMBERSHIP_MEMBER_TABLE_H_
