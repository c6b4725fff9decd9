#ifndef POMELOHALL_SIDECAR_STORE_REVISION_H_
#define POMELOHALL_SIDECAR_STORE_REVISION_H_

#include <compare>
#include <cstdint>

namespace pomelohall {

/// Position in the history of the store. A store that is restored from a copy
/// gives revisions out again, and its era rises. Within an era a higher number
/// is later; numbers of different eras do not compare.
struct store_revision {
  std::uint64_t era = 0;  ///< 0 if the store does not report eras.
  std::uint64_t number = 0;

  bool operator==(const store_revision&) const = default;
  std::strong_ordering operator<=>(const store_revision& other) const {
    return era == other.era ? number <=> other.number : era <=> other.era;
  }

  /// Returns whether it is the revision of an object or a read.
  bool IsKnown() const { return number > 0; }
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_STORE_REVISION_H_
