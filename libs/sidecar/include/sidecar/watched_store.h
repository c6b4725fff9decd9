#ifndef POMELOHALL_SIDECAR_WATCHED_STORE_H_
#define POMELOHALL_SIDECAR_WATCHED_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/name_table.h"
#include "base/time.h"
#include "sidecar/store_revision.h"

namespace pomelohall {

/// Store collections that a sidecar uses.
enum class store_collection {
  kConfiguration,  ///< A single object, written by operators.
  kMembers,        ///< One object per daemon, written by that daemon.
  /// One object per service, written by operators. Daemons write its status.
  kRollouts,
};

inline constexpr name_table<store_collection, 3> kStoreCollectionNames{{{
    {store_collection::kConfiguration, "configuration"},
    {store_collection::kMembers, "members"},
    {store_collection::kRollouts, "rollouts"},
}}};

/// Consistency of a read.
enum class read_consistency {
  kLatest,      ///< Includes every acknowledged write.
  kMayBeStale,  ///< May lag by seconds; costs a tenth of `kLatest`.
};

/// An object in the platform's store.
struct watched_object {
  std::string name;
  /// Revision of the last change; not known if not stored.
  store_revision revision = {};
  std::string spec;  ///< JSON text.
  /// JSON text of the status; empty if there is none. Not written by Create()
  /// and Replace().
  std::string status = {};
  /// Revision at which the object was created; 0 if not known.
  std::uint64_t created = 0;
};

/// All objects of a collection at one store revision.
struct object_listing {
  std::vector<watched_object> objects;
  store_revision revision = {};
};

/// A change of one object.
struct object_change {
  watched_object object;
  bool deleted = false;
};

/// Changes in order, up to and including a store revision.
struct object_changes {
  std::vector<object_change> changes;
  store_revision revision = {};
};

/// Asynchronous interface to the platform's store, with watches on collections.
/// Each callback runs exactly once, on the I/O thread, and never from within
/// the call. Calls that have not ended when the store is destroyed fail
/// afterwards.
/// Errors: `kNotFound` (no such object; for a watch, the revision is too old or
/// of another era and the collection has to be listed again), `kConflict` (the
/// object exists already, or has another revision) and `kPlatformUnavailable`
/// (refused, timed out, or the answer was lost: a write may still take effect,
/// even later).
class watched_store {
 public:
  using list_callback = std::function<void(result<object_listing>)>;
  using watch_callback = std::function<void(result<object_changes>)>;
  using object_callback = std::function<void(result<watched_object>)>;

  virtual ~watched_store() = default;

  virtual void List(store_collection collection, read_consistency consistency,
                    list_callback done) = 0;
  /// Waits up to `wait` for changes after `revision`. Succeeds with an empty
  /// list if there are none.
  virtual void Watch(store_collection collection, store_revision revision,
                     duration wait, read_consistency consistency,
                     watch_callback done) = 0;
  virtual void Get(store_collection collection, const std::string& name,
                   object_callback done) = 0;
  virtual void Create(store_collection collection, const watched_object& object,
                      object_callback done) = 0;
  /// Replaces the spec if the revision of the object still matches.
  virtual void Replace(store_collection collection,
                       const watched_object& object, object_callback done) = 0;
  /// Replaces the status if the revision of the object still matches.
  virtual void ReplaceStatus(store_collection collection,
                             const watched_object& object,
                             object_callback done) = 0;
  /// Removes the object if its revision still matches.
  virtual void Remove(store_collection collection, const watched_object& object,
                      std::function<void(result<void>)> done) = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_WATCHED_STORE_H_
