#ifndef POMELOHALL_BACKEND_BODY_SOURCE_H_
#define POMELOHALL_BACKEND_BODY_SOURCE_H_

#include <functional>
#include <string_view>

#include "base/error.h"

namespace pomelohall {

/// A piece of a body.
struct body_part {
  /// Valid until the next Read() or Cancel() of the source. Empty only together
  /// with `last`.
  std::string_view bytes;
  bool last = false;  ///< The body has ended whole.
};

/// A body that is read piece by piece. The reader asks for each piece, which
/// bounds the memory in use and gives back-pressure up to the sender. Used on
/// the I/O thread only.
class body_source {
 public:
  using callback = std::function<void(result<body_part>)>;

  virtual ~body_source() = default;

  /// Reads the next piece. `done` is called once, possibly before Read()
  /// returns. An error means that the body stopped early; the reader must not
  /// present what it has got as a whole body. At most one Read() is pending,
  /// and none follows the last part or an error.
  virtual void Read(callback done) = 0;

  /// Stops the sender, because nobody reads on. A pending callback is dropped.
  virtual void Cancel() = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_BACKEND_BODY_SOURCE_H_
