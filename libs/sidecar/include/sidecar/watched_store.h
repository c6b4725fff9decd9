#ifndef POMELOHALL_SIDECAR_WATCHED_STORE_H_
#define POMELOHALL_SIDECAR_WATCHED_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/name_table.h"
#include "base/time.h"

namespace pomelohall {

/// Collections of objects that a sidecar uses.
enum class store_collection {
  kConfiguration,  ///< Written by operators, one object.
  kMembers,        ///< One object of each daemon, written by itself.
};

inline constexpr name_table<store_collection, 2> kStoreCollectionNames{{{
    {store_collection::kConfiguration, "configuration"},
    {store_collection::kMembers, "members"},
}}};

/// How current the answer to a read has to be.
enum class read_freshness {
  kLatest,      ///< Everything that the store has acknowledged.
  kMayBeStale,  ///< Seconds old at times; costs a tenth.
};

/// An object of the platform's store.
struct watched_object {
  std::string name;
  std::uint64_t revision = 0;  ///< Of its last change; 0 if not stored yet.
  std::string spec;            ///< JSON text.
};

/// All objects of a collection at one revision of the store.
struct object_listing {
  std::vector<watched_object> objects;
  std::uint64_t revision = 0;
};

/// A change of one object.
struct object_change {
  watched_object object;
  bool deleted = false;
};

/// Changes in order, up to a revision of the store.
struct object_changes {
  std::vector<object_change> changes;
  std::uint64_t revision = 0;
};

/// The platform's store with watches over collections. Every call answers
/// through its callback, exactly once, on the I/O thread and not from within
/// the call. Errors: `kNotFound` (no such object; of a watch: the revision is
/// too old and the collection has to be listed again), `kConflict` (exists
/// already, or has another revision) and `kPlatformUnavailable` (refused, timed
/// out, or the answer was lost: a write may still take effect, also later).
class watched_store {
 public:
  using list_callback = std::function<void(result<object_listing>)>;
  using watch_callback = std::function<void(result<object_changes>)>;
  using object_callback = std::function<void(result<watched_object>)>;

  virtual ~watched_store() = default;

  virtual void List(store_collection collection, read_freshness freshness,
                    list_callback done) = 0;
  /// Waits up to `wait` for changes after `revision`; none is a success.
  virtual void Watch(store_collection collection, std::uint64_t revision,
                     duration wait, read_freshness freshness,
                     watch_callback done) = 0;
  virtual void Get(store_collection collection, const std::string& name,
                   object_callback done) = 0;
  virtual void Create(store_collection collection, const watched_object& object,
                      object_callback done) = 0;
  /// Replaces the spec if the object still has the revision.
  virtual void Replace(store_collection collection,
                       const watched_object& object, object_callback done) = 0;
  /// Removes the object if it still has the revision.
  virtual void Remove(store_collection collection, const watched_object& object,
                      std::function<void(result<void>)> done) = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_WATCHED_STORE_H_
