#ifndef POMELOHALL_DISTRIBUTION_DISTRIBUTION_ACTION_H_
#define POMELOHALL_DISTRIBUTION_DISTRIBUTION_ACTION_H_

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "base/error.h"
#include "distribution/in_force_summary.h"
#include "membership/membership_action.h"
#include "model/image.h"

namespace pomelohall {

/// The kind of platform call that returned a head.
enum class head_source {
  kRead,   ///< Answer to read_head.
  kWatch,  ///< Answer to watch_head.
};

/// Read the head now. Answered by exactly one OnPlatformHead(kRead).
struct read_head {};

/// Wait for a head above `known` (long poll). Answered by exactly one
/// OnPlatformHead(kWatch), also when the wait ends without a change.
struct watch_head {
  config_version known = 0;
};

/// Read the sections of `head` with these indexes. Answered by exactly one
/// OnPlatformSections().
struct read_sections {
  config_head head;
  std::vector<std::size_t> indexes;
};

/// Build the snapshot of this image and start to use it, then call
/// OnImageInForce().
struct put_in_force {
  config_image_ptr image;
};

/// Write the status object of the data centre.
struct write_status {
  in_force_summary status;
};

/// A delta from a member was rejected and not applied. For logs and metrics.
struct delta_refused {
  std::string from;
  error reason;
};

/// An action that the owner of `distribution` executes.
using distribution_action =
    std::variant<send_to_member, read_head, watch_head, read_sections,
                 put_in_force, write_status, delta_refused>;
using distribution_actions = std::vector<distribution_action>;

}  // namespace pomelohall

#endif  // POMELOHALL_DISTRIBUTION_DISTRIBUTION_ACTION_H_
