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

/// In-memory substitute for the parts of the platform that the control plane
/// uses: sections, and a head that is updated conditionally. Faults are active
/// in time windows.
class fake_platform {
 public:
  enum class fault_mode { kDown, kSlow, kLoseAnswers };

  void AddFault(fault_mode which, instant from, instant until);
  bool IsFaultActive(fault_mode which, instant now) const;

  /// Returns the head, or `kNotFound` before the first version.
  result<config_head> Head() const;

  /// Replaces the head and stores the sections of the new version. Fails with
  /// `kConflict` if the version of the head is not `expected`.
  result<void> UpdateHead(config_version expected,
                          const config_image_ptr& image);

  result<std::vector<config_delta::item>> Sections(
      const config_head& head, const std::vector<std::size_t>& indexes) const;

  /// Returns the images of all accepted versions.
  const std::map<config_version, config_image_ptr>& Accepted() const {
    return accepted_;
  }
  config_version Version() const;

 private:
  struct window {
    fault_mode which;
    instant from;
    instant until;
  };

  std::vector<window> faults_;
  std::map<config_version, config_image_ptr> accepted_;
  std::map<std::string, section_bytes, std::less<>> sections_;
};

}  // namespace pomelohall::matrix

#endif  // POMELOHALL_TESTS_MATRIX_CONTROL_FAKE_PLATFORM_H_
