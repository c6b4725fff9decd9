#ifndef POMELOHALL_PLATFORM_OBJECT_TABLE_H_
#define POMELOHALL_PLATFORM_OBJECT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/error.h"
#include "platform/object_store.h"

namespace pomelohall {

/// Largest spec that the object API stores, in bytes of JSON text.
inline constexpr std::size_t kMaxObjectBytes = 1'048'576;

/// The kind of change made to an object.
enum class change_type { kAdded, kModified, kDeleted };

/// A change of one object.
struct object_change {
  std::uint64_t version = 0;  ///< Resource version that the change created.
  change_type type = change_type::kAdded;
  stored_object object;  ///< After the change; before it if deleted.
};

/// In-memory objects with resource versions, for the fake store and the
/// platform stub. Each change is assigned the next resource version, counted
/// from 1 over all objects. Not thread-safe.
class object_table {
 public:
  using listener = std::function<void(const object_change&)>;

  /// Fails with `kNotFound` if there is no such object.
  result<stored_object> Get(const std::string& plural,
                            const std::string& name) const;

  /// Returns the objects of a collection, sorted by name.
  std::vector<stored_object> List(const std::string& plural) const;

  /// Fails with `kConflict` if the object exists, `kBodyTooLarge` if its spec
  /// is larger than kMaxObjectBytes, and `kInvalidRequest` if it has no name.
  result<stored_object> Create(const stored_object& object);

  /// Replaces the object. Fails with `kNotFound`, `kConflict` if the stored
  /// resource version differs, `kBodyTooLarge` as Create(), and
  /// `kInvalidRequest` if the name or the resource version is empty.
  result<stored_object> Update(const stored_object& object);

  /// Deletes the object and returns it as it was. Fails with `kNotFound`, and
  /// with `kConflict` if the stored resource version differs; an empty resource
  /// version matches every version.
  result<stored_object> Delete(const stored_object& object);

  /// Returns the resource version of the latest change, 0 before the first.
  std::uint64_t Version() const { return version_; }

  /// Returns the changes of a collection after `version`, oldest first, or
  /// nullopt if the history, the latest 1,000 changes, no longer has all of
  /// them.
  std::optional<std::vector<object_change>> ChangesSince(
      const std::string& plural, std::uint64_t version) const;

  /// Calls `on_change` synchronously for every later change.
  void SetListener(listener on_change) { listener_ = std::move(on_change); }

 private:
  using key = std::pair<std::string, std::string>;  // plural, name

  stored_object Store(change_type type, stored_object object);
  /// Finds the stored object by name and compares its resource version as
  /// Delete() does.
  result<stored_object*> FindVersion(const stored_object& object);

  std::map<key, stored_object> objects_;
  std::deque<object_change> history_;
  std::uint64_t version_ = 0;
  listener listener_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_PLATFORM_OBJECT_TABLE_H_
