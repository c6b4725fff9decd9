#ifndef POMELOHALL_MEMBERSHIP_MEMBERSHIP_H_
#define POMELOHALL_MEMBERSHIP_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "membership/failure_detector.h"
#include "membership/member_table.h"
#include "membership/membership_action.h"
#include "membership/membership_options.h"
#include "membership/membership_view.h"
#include "messages/message.h"

namespace pomelohall {

/// Cluster membership as seen by one daemon: member table, failure detection
/// within its own data centre, gossip of record changes and exchange between
/// data centres. A state machine without I/O: every input takes the current
/// time and returns actions, which the owner executes in order. Not
/// thread-safe.
///
/// `Tick` must be called at least every 100 ms. Only hello, ping, ping_ack,
/// probe_request, member_event, member_digest, member_sync and reachability
/// messages are handled; all others are ignored.
class membership {
 public:
  /// @param options `self` provides name, region, data centre, addresses and
  ///     incarnation; its sequence and state are ignored.
  membership(membership_options options, std::uint64_t seed);

  /// @param from Name of the sender, from the envelope.
  membership_actions OnMessage(const std::string& from,
                               const peer_message& message, instant now);
  membership_actions Tick(instant now);

  /// Announces the backend server on the VM of this daemon.
  membership_actions SetBackend(const backend_record& backend, instant now);

  /// Announces that this daemon leaves the cluster. Cannot be undone.
  membership_actions Leave(instant now);

  const member_record& Self() const { return self_; }
  std::vector<member_record> Records() const { return table_.Records(); }

  /// Returns the record of a member, or null. The pointer is valid until the
  /// next input.
  const member_record* Find(std::string_view name) const {
    return table_.Find(name);
  }

  /// Members to which this daemon keeps overlay links.
  const std::vector<std::string>& Neighbours() const {
    return topology_.neighbours;
  }
  /// Readers (also the aggregators) of this daemon's data centre, by rank.
  const std::vector<std::string>& Readers() const { return topology_.readers; }
  /// Readers of all other data centres.
  std::vector<std::string> RemoteReaders() const;
  bool IsReader() const;

  /// Names of the data centres that no reader of this data centre reaches.
  const std::vector<std::string>& UnreachableDataCentres() const {
    return unreachable_;
  }

  /// Returns the number of members of this data centre from which the size of
  /// the commit quorum is computed: alive and suspect members, and those dead
  /// or left for less than `departed_quorum_time`.
  std::size_t QuorumMembers(instant now) const;

  /// Returns whether the member table is assumed to list all members.
  bool Complete() const { return complete_; }

  membership_view View(instant now) const;

 private:
  struct topology {
    /// Other live members of this data centre in ring order, starting at the
    /// successor of this daemon.
    std::vector<std::string> ring;
    std::vector<std::string> neighbours;
    std::vector<std::string> readers;
    /// Readers of each other data centre.
    std::map<std::string, std::vector<std::string>> remote_readers;
  };
  struct forwarded_probe {
    std::string requester;
    std::uint64_t seq = 0;
    instant expiry;
  };
  struct reader_report {
    std::uint64_t incarnation = 0;
    std::uint64_t seq = 0;
    std::vector<std::string> unreachable;
    instant received;
  };

  void On(const std::string& from, const hello_message& message, instant now);
  void On(const std::string& from, const ping_message& message, instant now);
  /// Exchanges tables with a sender that is not in the member table.
  void SyncWithUnknownMember(const std::string& member);
  void On(const std::string& from, const ping_ack_message& message,
          instant now);
  void On(const std::string& from, const probe_request_message& message,
          instant now);
  void On(const std::string& from, const member_event_message& message,
          instant now);
  void On(const std::string& from, const member_digest_message& message,
          instant now);
  void On(const std::string& from, const member_sync_message& message,
          instant now);
  void On(const std::string& from, const reachability_message& message,
          instant now);
  template <typename Other>
  void On(const std::string& /*from*/, const Other& /*message*/,
          instant /*now*/) {}

  bool MergeRecord(const member_record& record, instant now);
  void MergeRecords(const std::vector<member_record>& records, instant now);
  void HandleOwnRecord(const member_record& record, instant now);
  void TrackState(const member_record& record, instant now);
  void PublishOwnRecord(instant now);
  void DetectPause(instant now);
  /// Pings the successors and marks those that failed their probes as suspect.
  void RunFailureDetector(instant now);
  void ProbeIndirectly(const std::string& target, instant now);
  void ExpireSuspects(instant now);
  void ContactSeeds(instant now);
  void SendHello(const std::string& address);
  void ContactMissingSeed();
  void RequestTable();
  /// Assumes that the table is complete after the bootstrap time.
  void CheckBootstrapTimeout(instant now);
  void ExchangeDigests(instant now);
  /// On a reader, pings the readers of the other data centres and reports which
  /// of them are unreachable.
  void MonitorDataCentres(instant now);
  void PingDataCentre(const std::string& data_centre,
                      const std::vector<std::string>& readers, instant now);
  void ReportReachability(instant now);
  void UpdateUnreachable(instant now);
  void RecordContact(const std::string& member, instant now);
  void PurgeExpired(instant now);
  void RefreshTopology(instant now);
  std::vector<std::string> LiveMembers(std::string_view data_centre) const;
  std::vector<member_record> BootstrapRecords(const std::string& data_centre);
  /// Returns whether the rate limit permits another full sync.
  bool AdmitFullSync(instant now);
  /// Sends a message to all overlay neighbours but `except`.
  void Flood(const peer_message& message, const std::string& except);
  void Send(const std::string& member, peer_message message);
  void MarkChanged() { changed_ = true; }
  /// Sends the pending events and returns the actions of the current input.
  membership_actions Finish(const std::string& from, instant now);
  duration Jitter(duration span);

  membership_options options_;
  random_source random_;
  member_record self_;
  member_table table_;
  failure_detector detector_;
  topology topology_;
  std::optional<std::uint64_t> topology_revision_;

  membership_actions actions_;
  std::vector<member_record> pending_events_;  ///< Sent by Finish().
  bool changed_ = false;
  std::size_t last_quorum_members_ = 0;

  std::optional<instant> started_at_;
  std::optional<instant> last_tick_;
  bool left_ = false;
  bool complete_ = false;
  bool pinged_by_unknown_member_ = false;
  std::uint64_t interruptions_ = 0;
  std::uint64_t next_seq_ = 1;
  std::map<std::uint64_t, forwarded_probe> forwarded_probes_;
  std::set<std::string> suspects_;  ///< Suspect members of this data centre.
  /// Dead and left members of this data centre, with the time of the change.
  std::map<std::string, instant> departed_;
  std::set<std::string> answered_seeds_;  ///< Peer addresses.
  std::optional<instant> reannounce_at_;
  std::deque<instant> full_syncs_;  ///< Within kFullSyncWindow, oldest first.

  instant next_seed_contact_{};
  instant next_digest_exchange_{};
  instant next_purge_{};
  instant next_data_centre_ping_{};
  instant next_report_{};
  /// Times of the last message from each other data centre.
  std::map<std::string, instant> last_contacts_;
  std::map<std::string, reader_report> reader_reports_;
  std::vector<std::string> unreachable_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MEMBERSHIP_MEMBERSHIP_H_
