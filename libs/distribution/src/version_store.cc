#include "distribution/version_store.h"

#include <cassert>
#include <iterator>
#include <utility>

namespace pomelohall {

void version_store::Stage(config_image_ptr image) {
  assert(image->head.version > highest_->head.version);
  // The oldest versions are the next to be committed and the newest is the base
  // of the next delta, so the second newest is removed.
  if (staged_.size() == kMaxStaged) staged_.erase(std::prev(staged_.end()));
  highest_ = image;
  staged_[image->head.version] = std::move(image);
}

config_image_ptr version_store::HighestUpTo(config_version limit) const {
  const auto above = staged_.upper_bound(limit);
  return above == staged_.begin() ? nullptr : std::prev(above)->second;
}

void version_store::SetInForce(config_image_ptr image) {
  staged_.erase(staged_.begin(), staged_.upper_bound(image->head.version));
  in_force_ = std::move(image);
}

}  // namespace pomelohall
