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

/// How a head was read.
enum class head_source {
  kRead,   ///< Answer to read_head.
  kWatch,  ///< Answer to watch_head.
};

/// Read the head now; answer by OnPlatformHead(kRead), exactly once.
struct read_head {};

/// Wait for a head above `known` (long poll); answer by OnPlatformHead(kWatch),
/// exactly once, also when the wait ends without a change.
struct watch_head {
  config_version known = 0;
};

/// Read the sections with these indexes that `head` names; answer by
/// OnPlatformSections(), exactly once.
struct read_sections {
  config_head head;
  std::vector<std::size_t> indexes;
};

/// Build the snapshot of this image and swap it in, then call OnImageInForce().
struct put_in_force {
  config_image_ptr image;
};

/// Write the status object of the data centre.
struct write_status {
  in_force_summary status;
};

/// A member sent a delta that was refused whole; for log and metrics.
struct delta_refused {
  std::string from;
  error reason;
};

/// An action that `distribution` asks its owner to carry out.
using distribution_action =
    std::variant<send_to_member, read_head, watch_head, read_sections,
                 put_in_force, write_status, delta_refused>;
using distribution_actions = std::vector<distribution_action>;

}  // namespace pomelohall

#endif  // POMELOHALL_DISTRIBUTION_DISTRIBUTION_ACTION_H_
