#ifndef POMELOHALL_PLATFORM_OBJECT_STORE_H_
#define POMELOHALL_PLATFORM_OBJECT_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/error.h"

namespace pomelohall {

/// An object of the platform's object API.
struct stored_object {
  std::string plural;  ///< Collection, for example "configheads".
  std::string name;
  std::string resource_version;  ///< Empty for an object not stored yet.
  std::string spec;              ///< JSON text.
};

/// The platform's object API. Every call invokes its callback exactly once, on
/// the thread that runs the store. Errors: `kNotFound`, `kConflict`
/// (exists already, or another resource version), `kBodyTooLarge`,
/// `kInvalidRequest`, and `kPlatformUnavailable` (rejected, timed out or no
/// response: a write may have taken effect, see error::ran).
class object_store {
 public:
  using object_callback = std::function<void(result<stored_object>)>;
  using list_callback = std::function<void(result<std::vector<stored_object>>)>;

  virtual ~object_store() = default;

  virtual void Get(const std::string& plural, const std::string& name,
                   object_callback done) = 0;
  virtual void List(const std::string& plural, list_callback done) = 0;
  virtual void Create(const stored_object& object, object_callback done) = 0;
  /// Updates the object if its resource version is the stored one.
  virtual void Update(const stored_object& object, object_callback done) = 0;
  virtual void Delete(const stored_object& object, object_callback done) = 0;

  /// Waits until the object has another resource version than `known` (empty:
  /// until it exists) and returns it, or returns the unchanged object after
  /// `timeout_ms`. The platform counts a waiting watch as one call.
  virtual void WaitForChange(const std::string& plural, const std::string& name,
                             const std::string& known, std::uint32_t timeout_ms,
                             object_callback done) = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_PLATFORM_OBJECT_STORE_H_
