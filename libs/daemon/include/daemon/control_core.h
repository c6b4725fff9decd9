#ifndef POMELOHALL_DAEMON_CONTROL_CORE_H_
#define POMELOHALL_DAEMON_CONTROL_CORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "daemon/control_effects.h"
#include "distribution/distribution.h"
#include "membership/membership.h"
#include "messages/message.h"

namespace pomelohall {

struct control_options {
  membership_options membership;
  distribution_options distribution;
  /// Interval at which the actor calls Tick().
  duration tick_interval = std::chrono::milliseconds(100);
  /// Minimum interval between two snapshots after membership changes, so that
  /// many members joining at once do not rebuild the snapshot for each record.
  duration publish_interval = std::chrono::milliseconds(100);
};

/// State of the control plane as shown by `GET /status` and the metrics.
struct control_status {
  config_version version_in_force = 0;  ///< 0 if there is none.
  config_version staged_version = 0;
  bool recovered = false;
  bool reader = false;            ///< This daemon reads the platform.
  std::size_t members_alive = 0;  ///< Alive and suspect, all data centres.
  std::map<std::string, std::size_t> members_by_data_centre;
  std::map<std::string, std::size_t> backend_servers;  ///< Ready, by service.
  std::vector<std::string> unreachable_data_centres;
  std::uint64_t deltas_refused = 0;
};

/// Control-plane logic of one daemon. Owns its membership and configuration
/// distribution, passes events between them, and relays suspect events and SLO
/// windows. Performs no I/O, reads no clock and starts no threads.
class control_core {
 public:
  /// @param effects Must outlive the core.
  control_core(const control_options& options, control_effects& effects,
               std::uint64_t seed);

  /// Handles a message from another daemon.
  /// @param from_address Peer address of the connection that delivered it.
  void OnMessage(const std::string& from_address, const envelope& message,
                 instant now);
  /// Must be called every control_options::tick_interval.
  void Tick(instant now);
  /// Handles the result of control_effects::ReadHead().
  /// @param read_started_at Time when the call was sent to the platform.
  void OnHead(head_source source, const result<config_head>& head,
              instant read_started_at, instant now);
  /// Handles the result of control_effects::ReadSections().
  void OnSections(config_version version,
                  const result<std::vector<config_delta::item>>& items,
                  instant now);
  /// Reports that the data path uses the snapshot of this version.
  void OnPublished(config_version version, instant now);
  void SetBackend(const backend_record& backend, instant now);
  /// Announces to the cluster that this daemon is leaving.
  void Leave(instant now);
  /// Broadcasts a change of the quarantine to all daemons.
  void ReportSuspect(const suspect_event& event, instant now);
  /// Sends an encoded window to every aggregator of the data centre, so that no
  /// window is lost when one aggregator fails before writing it.
  void ReportSloWindow(const std::string& payload);

  /// Returns the records of all known members, for the SLO aggregator.
  std::vector<member_record> Records() const { return membership_.Records(); }
  const std::string& Name() const { return name_; }
  /// Returns whether this daemon is one of its data centre's SLO aggregators,
  /// which are also the readers. True as long as no reader is known.
  bool IsAggregator() const;
  bool IsFirstAggregator() const;
  control_status Status(instant now) const;

 private:
  void Run(const membership_actions& actions, instant now);
  void Run(const distribution_actions& actions, instant now);
  void Run(const send_to_member& action, instant now);
  void Run(const send_to_address& action, instant now);
  void Run(const membership_changed& action, instant now);
  void Run(const read_head& action, instant now);
  void Run(const watch_head& action, instant now);
  void Run(const read_sections& action, instant now);
  void Run(const put_in_force& action, instant now);
  void Run(const write_status& action, instant now);
  void Run(const delta_refused& action, instant now);

  void Deliver(const std::string& from, const peer_message& body, instant now);
  void OnSuspectEvent(const std::string& from,
                      const suspect_event_message& message, instant now);
  bool MarkEventSeen(std::uint64_t id);
  void Relay(const suspect_event_message& message, const std::string& except,
             instant now);
  std::string PeerAddressOf(const std::string& member) const;
  std::string Encode(const peer_message& body) const;
  void PublishIfChanged(instant now);

  control_options options_;
  control_effects& effects_;
  random_source random_;
  std::string name_;
  membership membership_;
  distribution distribution_;

  /// Peer addresses of senders whose member record has not arrived yet.
  std::map<std::string, std::string> unknown_sender_addresses_;
  configuration configuration_;  ///< The configuration to publish.
  config_version configuration_version_ = 0;
  bool members_changed_ = false;
  instant next_publish_{};
  std::set<std::uint64_t> seen_event_ids_;
  std::deque<std::uint64_t> seen_event_order_;
  std::uint64_t deltas_refused_ = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_DAEMON_CONTROL_CORE_H_
