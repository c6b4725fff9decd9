#ifndef POMELOHALL_TESTS_MATRIX_CONTROL_FAKE_PLATFORM_H_
#define POMELOHALL_TESTS_MATRIX_CONTROL_FAKE_PLATFORM_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "model/image.h"

namespace pomelohall::matrix {

/// The part of the platform that the control plane uses: sections, and a head
/// with conditional update. Faults are time windows.
class fake_platform {
 public:
  enum class mode { kDown, kSlow, kLoseAnswers };

  void AddFault(mode which, instant from, instant until);
  bool Has(mode which, instant now) const;

  /// Returns the head, or `kNotFound` before the first version.
  result<config_head> Head() const;

  /// Replaces the head if its version is `expected`, and stores the sections
  /// of the new version. Fails with `kConflict`.
  result<void> UpdateHead(config_version expected,
                          const config_image_ptr& image);

  result<std::vector<config_delta::item>> Sections(
      const config_head& head, const std::vector<std::size_t>& indexes) const;

  /// Returns every version that was accepted, by version.
  const std::map<config_version, config_image_ptr>& Accepted() const {
    return accepted_;
  }
  config_version Version() const;

 private:
  struct window {
    mode which;
    instant from;
    instant until;
  };

  std::vector<window> faults_;
  std::map<config_version, config_image_ptr> accepted_;
  std::map<std::string, section_bytes, std::less<>> sections_;
};

}  // namespace pomelohall::matrix

#endif  // POMELOHALL_TESTS_MATRIX_CONTROL_FAKE_PLATFORM_H_
