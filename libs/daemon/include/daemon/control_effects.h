#ifndef POMELOHALL_DAEMON_CONTROL_EFFECTS_H_
#define POMELOHALL_DAEMON_CONTROL_EFFECTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "distribution/distribution_action.h"
#include "distribution/in_force_summary.h"
#include "membership/member_record.h"
#include "model/image.h"
#include "quarantine/quarantine.h"
#include "routing/snapshot.h"

namespace pomelohall {

/// Live members by name. Used to find the member that issued an idempotency
/// key.
using member_directory = std::map<std::string, member_record>;

/// State that the control plane publishes to the data path as a unit.
struct published_state {
  snapshot_ptr routes;  ///< Null until a version is in force.
  std::shared_ptr<const member_directory> members;
};

/// Side effects requested by control_core. Calls do not block; results are
/// passed back through the member functions of control_core.
class control_effects {
 public:
  virtual ~control_effects() = default;

  /// Sends a frame to the daemon that listens at `address`.
  virtual void SendFrame(const std::string& address, std::string frame) = 0;
  /// Reads the head (kRead) or waits for it to change (kWatch). The result is
  /// passed to control_core::OnHead() with `source`.
  virtual void ReadHead(head_source source) = 0;
  /// Reads the sections of `head` with these indexes. The result is passed to
  /// control_core::OnSections().
  virtual void ReadSections(const config_head& head,
                            const std::vector<std::size_t>& indexes) = 0;
  virtual void WriteStatus(const in_force_summary& status) = 0;
  /// Publishes a new state to the data path. control_core::OnPublished() is
  /// called when the data path uses a new version of `state.routes`.
  virtual void Publish(const published_state& state) = 0;
  /// Applies a suspect event reported by another daemon.
  virtual void ApplySuspect(const suspect_event& event) = 0;
  /// Handles an encoded SLO window sent to this daemon as an aggregator.
  virtual void OnSloWindow(const std::string& payload) = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_DAEMON_CONTROL_EFFECTS_H_
