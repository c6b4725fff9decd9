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

/// The membership of one daemon: member table, failure detection in the own
/// data centre, announcements and the exchange between data centres. A pure
/// state machine: every input takes the time and returns actions, which the
/// owner carries out in order. Not thread-safe.
///
/// `Tick` is called at least every 100 ms. Messages of other kinds than hello,
/// ping, ping_ack, probe_request, member_event, member_digest, member_sync and
/// reachability are ignored.
class membership {
 public:
  /// @param options `self` states name, region, data centre, addresses and
  ///     incarnation; its other fields are ignored.
  membership(membership_options options, std::uint64_t seed);

  /// @param from Name of the sender, from the envelope.
  membership_actions OnMessage(const std::string& from,
                               const peer_message& message, instant now);
  membership_actions Tick(instant now);

  /// Announces the backend server beside this daemon.
  membership_actions SetBackend(const backend_record& backend, instant now);

  /// Announces that this daemon leaves; it does not come back.
  membership_actions Leave(instant now);

  const member_record& Self() const { return self_; }
  std::vector<member_record> Records() const { return table_.Records(); }

  /// Returns the record of a member, or null. Valid until the next input.
  const member_record* Find(std::string_view name) const {
    return table_.Find(name);
  }

  /// Overlay links of this daemon: stable connections.
  const std::vector<std::string>& Neighbours() const {
    return topology_.neighbours;
  }
  /// Readers (and aggregators) of the own data centre, first-ranked first.
  const std::vector<std::string>& Readers() const { return topology_.readers; }
  /// Readers of every other data centre.
  std::vector<std::string> OtherReaders() const;
  bool IsReader() const;

  /// Names of the data centres that no reader of this one reaches.
  const std::vector<std::string>& UnreachableDataCentres() const {
    return unreachable_;
  }

  /// N of the commit quorum: members of the own data centre that are alive,
  /// suspect, or dead or left for less than `quorum_memory`.
  std::size_t QuorumMembers(instant now) const;

  /// True if this daemon may rely on knowing all members.
  bool Complete() const { return complete_; }

  membership_view View(instant now) const;

 private:
  struct topology {
    std::vector<std::string> ring;  ///< Own data centre, from the successor on.
    std::vector<std::string> neighbours;
    std::vector<std::string> readers;
    std::map<std::string, std::vector<std::string>> other_readers;  ///< By DC.
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
  void GreetStranger(const std::string& member);
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

  bool Learn(const member_record& record, instant now);
  void LearnAll(const std::vector<member_record>& records, instant now);
  void LearnAboutSelf(const member_record& record, instant now);
  void NoteState(const member_record& record, instant now);
  void ChangeSelf(instant now);
  void DetectPause(instant now);
  void Heartbeat(instant now);
  void ProbeIndirectly(const std::string& target, instant now);
  void ExpireSuspects(instant now);
  void ContactSeeds(instant now);
  void SendHello(const std::string& address);
  void CheckSeed();
  void AskForTable();
  void Settle(instant now);
  void ExchangeDigests(instant now);
  void WatchDataCentres(instant now);
  void PingDataCentre(const std::string& data_centre,
                      const std::vector<std::string>& readers, instant now);
  void ReportReachability(instant now);
  void UpdateUnreachable(instant now);
  void HeardFrom(const std::string& member, instant now);
  void ForgetOld(instant now);
  void RefreshTopology(instant now);
  std::vector<std::string> LiveMembers(std::string_view data_centre) const;
  std::vector<member_record> BootstrapRecords(const std::string& data_centre);
  bool AdmitFullSync(instant now);
  void Flood(const peer_message& message, const std::string& except);
  void Send(const std::string& member, peer_message message);
  void NoteChange() { changed_ = true; }
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
  std::vector<member_record> events_;  ///< To be flooded by Finish().
  bool changed_ = false;
  std::size_t last_quorum_ = 0;

  std::optional<instant> started_;
  std::optional<instant> last_tick_;
  bool left_ = false;
  bool complete_ = false;
  bool pinged_by_stranger_ = false;
  std::uint64_t absences_ = 0;
  std::uint64_t next_seq_ = 1;
  std::map<std::uint64_t, forwarded_probe> forwarded_;
  std::set<std::string> suspects_;           ///< Own data centre.
  std::map<std::string, instant> departed_;  ///< Dead or left, own DC.
  std::set<std::string> seeds_answered_;     ///< Addresses.
  std::optional<instant> announce_again_;
  std::deque<instant> full_syncs_;  ///< Recent ones, oldest first.

  instant next_seed_{};
  instant next_digest_{};
  instant next_forget_{};
  instant next_data_centre_ping_{};
  instant next_report_{};
  std::map<std::string, instant> heard_;  ///< Other data centres, as reader.
  std::map<std::string, reader_report> reports_;
  std::vector<std::string> unreachable_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MEMBERSHIP_MEMBERSHIP_H_
