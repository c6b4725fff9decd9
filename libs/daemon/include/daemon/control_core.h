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
  /// Time between two calls of Tick() by the actor.
  duration tick_interval = std::chrono::milliseconds(100);
  /// Shortest time between two snapshots after membership changes, so that a
  /// herd of joins does not rebuild the snapshot for each record.
  duration publish_interval = std::chrono::milliseconds(100);
};

/// What `GET /status` and the metrics show of the control side.
struct control_status {
  config_version version_in_force = 0;  ///< 0: none.
  config_version staged_version = 0;
  bool recovered = false;
  bool reader = false;
  std::size_t members_alive = 0;  ///< Alive and suspect, all data centres.
  std::map<std::string, std::size_t> members_by_data_centre;
  std::map<std::string, std::size_t> backend_servers;  ///< Ready, by service.
  std::vector<std::string> unreachable_data_centres;
  std::uint64_t deltas_refused = 0;
};

/// Owns the membership and the distribution of one daemon, connects them, and
/// relays suspect events and figures. No I/O, no clock, no threads.
class control_core {
 public:
  /// @param effects Must outlive the core.
  control_core(const control_options& options, control_effects& effects,
               std::uint64_t seed);

  /// @param from_address Peer address of the link that carried the message.
  void OnMessage(const std::string& from_address, const envelope& message,
                 instant now);
  /// To be called each control_options::tick_interval.
  void Tick(instant now);
  void OnHead(head_source source, const result<config_head>& head,
              instant read_started_at, instant now);
  void OnSections(config_version version,
                  const result<std::vector<config_delta::item>>& items,
                  instant now);
  /// The data path works with the snapshot of this version.
  void OnPublished(config_version version, instant now);
  void SetBackend(const backend_record& backend, instant now);
  /// Announces that this daemon leaves.
  void Leave(instant now);
  /// Tells all daemons of a change of the quarantine.
  void ReportSuspect(const suspect_event& event, instant now);
  /// Sends an encoded window to every aggregator of the data centre, so that
  /// the death of one loses none that it had not written.
  void ReportSloWindow(const std::string& payload);

  /// Members of the own data centre that count, for the aggregator.
  std::vector<member_record> Records() const { return membership_.Records(); }
  const std::string& Name() const { return name_; }
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
  bool NoteEvent(std::uint64_t id);
  void Relay(const suspect_event_message& message, const std::string& except,
             instant now);
  std::string AddressOf(const std::string& member) const;
  std::string Encode(const peer_message& body) const;
  void PublishIfChanged(instant now);

  control_options options_;
  control_effects& effects_;
  random_source random_;
  std::string name_;
  membership membership_;
  distribution distribution_;

  /// Addresses of senders whose record has not arrived yet.
  std::map<std::string, std::string> link_addresses_;
  configuration document_;  ///< Of the version to publish.
  config_version document_version_ = 0;
  bool members_changed_ = false;
  instant next_publish_{};
  std::set<std::uint64_t> seen_events_;
  std::deque<std::uint64_t> seen_order_;
  std::uint64_t deltas_refused_ = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_DAEMON_CONTROL_CORE_H_
