#ifndef POMELOHALL_BACKEND_BODY_SOURCE_H_
#define POMELOHALL_BACKEND_BODY_SOURCE_H_

#include <functional>
#include <string_view>

#include "base/error.h"

namespace pomelohall {

/// A part of a body.
struct body_part {
  /// Valid until the next Read() or Cancel() of the source. Empty only together
  /// with `last`.
  std::string_view bytes;
  bool last = false;  ///< The body is complete.
};

/// A body that is read in parts. The reader requests each part, which limits
/// the memory in use and propagates back-pressure to the sender. Used on the
/// I/O thread only.
class body_source {
 public:
  using callback = std::function<void(result<body_part>)>;

  virtual ~body_source() = default;

  /// Reads the next part. Calls `done` once, possibly before Read() returns. An
  /// error means that the body ended early; the reader must not treat the parts
  /// received so far as a complete body. At most one Read() may be pending, and
  /// none may follow the last part or an error.
  virtual void Read(callback done) = 0;

  /// Stops the sender when the rest is not needed. A pending callback is
  /// dropped.
  virtual void Cancel() = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_BACKEND_BODY_SOURCE_H_
