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

/// The records of all members, merged from events and syncs.
///
/// Merging is commutative and idempotent: the higher incarnation wins whole;
/// within an incarnation the content of the higher sequence and the later
/// liveness state (alive, suspect, dead, left) win.
class member_table {
 public:
  /// The table's digest has one value for each bucket of names, so that a
  /// repair carries the records of the differing buckets only.
  static constexpr std::size_t kBuckets = 32;

  struct entry {
    member_record record;
    instant state_since;    ///< When this daemon learned of the state.
    bool in_digest = true;  ///< False for old dead and left records.
  };
  using entries = std::map<std::string, entry, std::less<>>;

  /// @param tombstone Time for which dead and left records are kept. They
  ///     leave digest and syncs after half of it, so that two daemons never
  ///     hand an expired record back and forth.
  explicit member_table(duration tombstone) : tombstone_(tombstone) {}

  /// Merges a record and returns whether the table changed.
  bool Merge(const member_record& incoming, instant now);

  /// Sets the state of a known member and returns whether it changed.
  bool SetState(std::string_view name, member_state state, instant now);

  /// Drops expired records. Returns whether any was dropped.
  bool DropExpired(instant now);

  /// Restarts the suspicion time of every suspect (after a pause).
  void RestartSuspicions(instant now);

  /// Returns the record of a member, or null. Valid until the next change.
  const member_record* Find(std::string_view name) const;

  const entries& All() const { return entries_; }
  std::vector<member_record> Records() const;

  /// Grows with each change of a name, state or incarnation.
  std::uint64_t Revision() const { return revision_; }

  /// Returns the digest, 8 bytes for each bucket.
  std::string Digest() const;
  std::size_t DigestCount() const { return digest_count_; }

  /// Returns the records in buckets whose digest differs from `digest`; all
  /// records if `digest` has another size.
  std::vector<member_record> DifferingRecords(std::string_view digest) const;

 private:
  void RemoveFromDigest(entry& item);
  void AddToDigest(entry& item);

  duration tombstone_;
  entries entries_;
  std::array<std::uint64_t, kBuckets> digests_{};
  std::size_t digest_count_ = 0;
  std::uint64_t revision_ = 0;
};

/// Returns whether a member in this state is counted as live.
constexpr bool IsLive(member_state state) {
  return state == member_state::kAlive || state == member_state::kSuspect;
}

}  // namespace pomelohall

#endif  // POMELOHALL_MEMBERSHIP_MEMBER_TABLE_H_
