#ifndef POMELOHALL_SIDECAR_ROLLOUT_FORMAT_H_
#define POMELOHALL_SIDECAR_ROLLOUT_FORMAT_H_

#include <optional>
#include <string>

#include "base/error.h"
#include "rollout/rollout_record.h"

namespace pomelohall {

/// Status of a roll-out in the store.
struct rollout_status {
  std::string target_version;
  /// kCanary until the outcome is known, kCompleted or kRolledBack then.
  rollout_state state = rollout_state::kCanary;
};

/// Format of the roll-out objects in the platform's store.
class rollout_format {
 public:
  virtual ~rollout_format() = default;
  /// Decodes an order; its `created` is not set. Fails with
  /// `kInvalidConfiguration`.
  virtual result<rollout_order> DecodeOrder(const std::string& spec) const = 0;
  /// Returns nothing if there is no status, or it is not one of a roll-out.
  virtual std::optional<rollout_status> DecodeStatus(
      const std::string& status) const = 0;
  virtual std::string EncodeStatus(const rollout_status& status) const = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_ROLLOUT_FORMAT_H_
