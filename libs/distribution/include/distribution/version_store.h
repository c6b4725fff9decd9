#ifndef POMELOHALL_DISTRIBUTION_VERSION_STORE_H_
#define POMELOHALL_DISTRIBUTION_VERSION_STORE_H_

#include <map>

#include "model/image.h"

namespace pomelohall {

/// The complete, validated versions that a daemon holds: the one in force and
/// those staged above it. Versions share unchanged sections.
class version_store {
 public:
  /// Number of versions kept above the one in force. More than one, so that a
  /// burst of changes does not replace every version before its commit.
  static constexpr std::size_t kMaxStaged = 4;

  /// Returns the highest version held; EmptyImage() (version 0) if none.
  const config_image_ptr& Highest() const { return highest_; }

  /// Returns the version in force, or null.
  const config_image_ptr& InForce() const { return in_force_; }

  /// Adds a version, which must be above Highest().
  void Stage(config_image_ptr image);

  /// Returns the highest version held that is at most `limit` and above the
  /// one in force, or null.
  config_image_ptr HighestUpTo(config_version limit) const;

  /// Sets the version in force and drops the versions below it.
  void SetInForce(config_image_ptr image);

 private:
  config_image_ptr highest_ = EmptyImage();
  config_image_ptr in_force_;
  std::map<config_version, config_image_ptr> staged_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_DISTRIBUTION_VERSION_STORE_H_
