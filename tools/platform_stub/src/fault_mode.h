#ifndef POMELOHALL_PLATFORM_STUB_FAULT_MODE_H_
#define POMELOHALL_PLATFORM_STUB_FAULT_MODE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "api_request.h"
#include "base/error.h"
#include "base/time.h"

namespace pomelohall {

/// How the stand-in fails.
enum class fault_kind { kNone, kDown, kSlow, kLoseAnswers };

/// The fault in effect and the number of calls it still affects.
class fault_mode {
 public:
  /// Reads `{mode, delay_ms, count}`. Fails with `kInvalidRequest`, naming the
  /// field, and leaves the mode as it is.
  result<void> Set(std::string_view json_text);

  /// Returns the fault for a call and counts the call if it is affected.
  fault_kind Take(api_verb verb);

  bool IsDown() const { return kind_ == fault_kind::kDown; }
  duration Delay() const { return delay_; }
  /// Returns `{mode, delay_ms, count}`.
  std::string Format() const;

 private:
  bool Affects(api_verb verb) const;

  fault_kind kind_ = fault_kind::kNone;
  duration delay_{0};
  std::uint64_t remaining_ = 0;  // 0: until changed
};

}  // namespace pomelohall

#endif  // POMELOHALL_PLATFORM_STUB_FAULT_MODE_H_
