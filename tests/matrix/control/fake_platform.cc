#include "matrix/control/fake_platform.h"

#include <algorithm>
#include <iterator>

namespace pomelohall::matrix {

void fake_platform::AddFault(fault_mode which, instant from, instant until) {
  faults_.push_back({which, from, until});
}

bool fake_platform::IsFaultActive(fault_mode which, instant now) const {
  return std::any_of(faults_.begin(), faults_.end(), [&](const window& item) {
    return item.which == which && item.from <= now && now < item.until;
  });
}

config_version fake_platform::Version() const {
  return accepted_.empty() ? 0 : std::prev(accepted_.end())->first;
}

result<config_head> fake_platform::Head() const {
  if (accepted_.empty())
    return Fail(error_kind::kNotFound, "the platform has no head");
  return std::prev(accepted_.end())->second->head;
}

result<void> fake_platform::UpdateHead(config_version expected,
                                       const config_image_ptr& image) {
  if (Version() != expected) {
    return Fail(error_kind::kConflict, "the version of the head has changed");
  }
  for (std::size_t i = 0; i < kSectionCount; ++i) {
    sections_[image->head.sections[i].digest] = image->sections[i];
  }
  accepted_[image->head.version] = image;
  return {};
}

result<std::vector<config_delta::item>> fake_platform::Sections(
    const config_head& head, const std::vector<std::size_t>& indexes) const {
  std::vector<config_delta::item> items;
  for (const std::size_t index : indexes) {
    const auto found = sections_.find(head.sections[index].digest);
    if (found == sections_.end()) {
      return Fail(error_kind::kNotFound, "the platform has no such section");
    }
    items.push_back({.index = index, .bytes = found->second});
  }
  return items;
}

}  // namespace pomelohall::matrix
