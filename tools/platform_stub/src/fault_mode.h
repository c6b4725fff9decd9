#ifndef POMELOHALL_PLATFORM_STUB_FAULT_MODE_H_
#define POMELOHALL_PLATFORM_STUB_FAULT_MODE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "api_request.h"
#include "base/error.h"
#include "base/time.h"

namespace pomelohall {

/// Fault that the stub injects. platform_api describes the effects.
enum class fault_kind { kNone, kDown, kSlow, kLoseAnswers };

/// The active fault and the number of calls that it still affects.
class fault_mode {
 public:
  /// Sets the fault from `{mode, delay_ms, count}`. On an invalid value, fails
  /// with `kInvalidRequest`, names the field and changes nothing.
  result<void> Set(std::string_view json_text);

  /// Returns the fault that affects a call. An affected call counts towards the
  /// limit of the fault.
  fault_kind Apply(api_verb verb);

  bool IsDown() const { return kind_ == fault_kind::kDown; }
  duration Delay() const { return delay_; }
  /// Returns `{mode, delay_ms, count}`.
  std::string FormatJson() const;

 private:
  bool Affects(api_verb verb) const;

  fault_kind kind_ = fault_kind::kNone;
  duration delay_{0};
  std::uint64_t remaining_ = 0;  // 0: unlimited.
};

}  // namespace pomelohall

#endif  // POMELOHALL_PLATFORM_STUB_FAULT_MODE_H_
