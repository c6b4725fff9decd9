#ifndef POMELOHALL_DAEMON_CONTROL_EFFECTS_H_
#define POMELOHALL_DAEMON_CONTROL_EFFECTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "distribution/in_force_summary.h"
#include "distribution/distribution_action.h"
#include "membership/member_record.h"
#include "model/image.h"
#include "quarantine/quarantine.h"
#include "routing/snapshot.h"

namespace pomelohall {

/// Members that may be asked about issued keys, by name.
using member_directory = std::map<std::string, member_record>;

/// Everything that the control side hands to the data path at once.
struct published_state {
  snapshot_ptr routes;  ///< Null until a version is in force.
  std::shared_ptr<const member_directory> members;
};

/// What control_core asks of its surroundings. Calls return at once; answers
/// come back as inputs of control_core.
class control_effects {
 public:
  virtual ~control_effects() = default;

  /// Sends a frame to the daemon that listens at `address`.
  virtual void SendFrame(const std::string& address, std::string frame) = 0;
  /// Answered by control_core::OnHead() with `source`.
  virtual void ReadHead(head_source source) = 0;
  /// Answered by control_core::OnSections().
  virtual void ReadSections(const config_head& head,
                            const std::vector<std::size_t>& indexes) = 0;
  virtual void WriteStatus(const in_force_summary& status) = 0;
  /// Hands a new state to the data path, which answers with
  /// control_core::OnPublished() if `state.routes` is set.
  virtual void Publish(const published_state& state) = 0;
  /// A suspect event of another daemon.
  virtual void ApplySuspect(const suspect_event& event) = 0;
  /// A window of another daemon; this one is the aggregator.
  virtual void OnSloWindow(const std::string& payload) = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_DAEMON_CONTROL_EFFECTS_H_
