#ifndef POMELOHALL_DISTRIBUTION_DISTRIBUTION_H_
#define POMELOHALL_DISTRIBUTION_DISTRIBUTION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "distribution/commit_coordinator.h"
#include "distribution/distribution_action.h"
#include "distribution/distribution_options.h"
#include "distribution/head_reader.h"
#include "distribution/puller.h"
#include "distribution/recovery.h"
#include "distribution/version_store.h"
#include "membership/membership_view.h"
#include "messages/message.h"

namespace pomelohall {

/// Distribution of configuration versions as performed by one daemon: offers,
/// pulls, staging, commit, recovery and the roles of reader and aggregator. A
/// state machine without I/O: every input takes the current time and returns
/// actions, which the owner executes in order. Not thread-safe.
///
/// `OnMembership` must be called once before any other input and after each
/// membership_changed, and `Tick` at least every 100 ms. Only offer, pull,
/// delta, busy, ack, confirm, confirmed, fresh_* and recover_* messages are
/// handled; all others are ignored.
///
/// A version is put into force only if it is committed in this data centre, is
/// higher than the one in force and, for the first one, is not below the floor
/// found by recovery.
class distribution {
 public:
  /// @param seed Differs between processes.
  distribution(distribution_options options, std::uint64_t seed);

  distribution_actions OnMembership(const membership_view& view, instant now);

  /// @param from Name of the sender, from the envelope.
  distribution_actions OnMessage(const std::string& from,
                                 const peer_message& message, instant now);
  distribution_actions Tick(instant now);

  /// @param head `kNotFound` means that no version has been accepted yet.
  /// @param read_started_at Time when the call was sent to the platform.
  distribution_actions OnPlatformHead(head_source source,
                                      const result<config_head>& head,
                                      instant read_started_at, instant now);
  distribution_actions OnPlatformSections(
      config_version version,
      const result<std::vector<config_delta::item>>& items, instant now);

  /// Reports that the snapshot of this version is in use.
  distribution_actions OnImageInForce(config_version version, instant now);

  /// The version in force, or null before the first one.
  const config_image_ptr& InForce() const { return store_.InForce(); }
  /// The highest version held; 0 if none.
  config_version StagedVersion() const {
    return store_.Highest()->head.version;
  }
  /// The highest version known to be committed in this data centre.
  config_version CommittedVersion() const { return committed_; }
  /// Returns whether the floor is known and a version at least as high is held.
  bool Recovered() const;
  bool IsReader() const;

 private:
  struct full_state_transfer {
    std::string member;
    instant expiry;
  };

  void On(const std::string& from, const offer_message& message, instant now);
  void On(const std::string& from, const pull_message& message, instant now);
  void On(const std::string& from, const delta_message& message, instant now);
  void On(const std::string& from, const busy_message& message, instant now);
  void On(const std::string& from, const ack_message& message, instant now);
  void On(const std::string& from, const confirm_message& message, instant now);
  void On(const std::string& from, const confirmed_message& message,
          instant now);
  void On(const std::string& from, const fresh_query_message& message,
          instant now);
  void On(const std::string& from, const fresh_answer_message& message,
          instant now);
  void On(const std::string& from, const recover_query_message& message,
          instant now);
  void On(const std::string& from, const recover_answer_message& message,
          instant now);
  template <typename Other>
  void On(const std::string& /*from*/, const Other& /*message*/,
          instant /*now*/) {}

  void BeginRecovery(instant now);
  void Stage(config_image_ptr image, const std::string& source);
  void AdvanceCommitted(config_version version);
  void TryPutInForce();
  void OfferToNeighbours(const std::string& except);
  offer_message OwnOffer() const;
  result<config_image_ptr> Apply(const config_delta& delta) const;
  bool AdmitFullStateTransfer(const std::string& member, instant now);
  void RunAntiEntropy(instant now);
  void RunRecovery(instant now);
  void RunPull(instant now);
  void SendAck(instant now);
  void RunCommit(instant now);
  void WriteStatus(instant now);
  void Send(const std::string& member, peer_message message);
  distribution_actions Finish(instant now);
  duration Jitter(duration span);

  distribution_options options_;
  random_source random_;
  membership_view view_;
  version_store store_;
  puller puller_;
  recovery recovery_;
  head_reader head_reader_;
  commit_coordinator coordinator_;

  distribution_actions actions_;
  bool started_ = false;
  std::optional<instant> last_tick_;
  config_version committed_ = 0;
  config_version reported_in_force_ = 0;
  std::vector<full_state_transfer> transfers_;  ///< Transfers in progress.
  instant next_offer_{};

  std::optional<ack_message> last_ack_;
  std::vector<std::string> last_aggregators_;
  instant next_ack_{};
  /// Time since when this aggregator has held an uncommitted version.
  std::optional<instant> uncommitted_since_;
  std::optional<in_force_summary> last_status_;
  instant next_status_{};
};

}  // namespace pomelohall

#endif  // POMELOHALL_DISTRIBUTION_DISTRIBUTION_H_
