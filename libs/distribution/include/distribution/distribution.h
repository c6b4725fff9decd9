#ifndef POMELOHALL_DISTRIBUTION_DISTRIBUTION_H_
#define POMELOHALL_DISTRIBUTION_DISTRIBUTION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "distribution/commit_counter.h"
#include "distribution/distribution_action.h"
#include "distribution/distribution_options.h"
#include "distribution/head_reader.h"
#include "distribution/puller.h"
#include "distribution/recovery.h"
#include "distribution/version_store.h"
#include "membership/membership_view.h"
#include "messages/message.h"

namespace pomelohall {

/// The distribution of configuration versions at one daemon: offers, pulls,
/// staging, commit, recovery and the roles of reader and aggregator. A pure
/// state machine: every input takes the time and returns actions, which the
/// owner carries out in order. Not thread-safe.
///
/// `OnMembership` is called once before any other input and after each
/// membership_changed, `Tick` at least every 100 ms. Messages of other kinds
/// than offer, pull, delta, busy, ack, confirm(ed), fresh_* and recover_* are
/// ignored.
///
/// A version goes into force only if it is committed in this data centre, is
/// higher than the one in force and not below the floor of the recovery.
class distribution {
 public:
  /// @param seed Differs between processes.
  distribution(distribution_options options, std::uint64_t seed);

  distribution_actions OnMembership(const membership_view& view, instant now);

  /// @param from Name of the sender, from the envelope.
  distribution_actions OnMessage(const std::string& from,
                                 const peer_message& message, instant now);
  distribution_actions Tick(instant now);

  /// @param head `kNotFound` means that no version was accepted yet.
  /// @param read_started_at When the call was sent to the platform.
  distribution_actions OnPlatformHead(head_source source,
                                      const result<config_head>& head,
                                      instant read_started_at, instant now);
  distribution_actions OnPlatformSections(
      config_version version,
      const result<std::vector<config_delta::item>>& items, instant now);

  /// The snapshot of this version was swapped in.
  distribution_actions OnImageInForce(config_version version, instant now);

  /// The version in force, or null while joining.
  const config_image_ptr& InForce() const { return store_.InForce(); }
  /// The highest version held staged; 0 if none.
  config_version StagedVersion() const {
    return store_.Highest()->head.version;
  }
  /// The highest version known as committed in this data centre.
  config_version CommittedVersion() const { return committed_; }
  /// True once the floor is known and a version at least as high is staged.
  bool Recovered() const;
  bool IsReader() const;

 private:
  struct served_state {
    std::string member;
    instant until;
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
  void NoteCommitted(config_version version);
  void TryPutInForce();
  void OfferToNeighbours(const std::string& except);
  offer_message OwnOffer() const;
  result<config_image_ptr> Apply(const config_delta& delta) const;
  bool AdmitFullState(const std::string& member, instant now);
  void AntiEntropy(instant now);
  void RunRecovery(instant now);
  void RunPull(instant now);
  void SendAck(instant now);
  void CountCommit(instant now);
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
  commit_counter counter_;

  distribution_actions actions_;
  bool started_ = false;
  std::optional<instant> last_tick_;
  config_version committed_ = 0;
  config_version reported_in_force_ = 0;
  std::vector<served_state> served_;
  instant next_offer_{};

  std::optional<ack_message> last_ack_;
  std::vector<std::string> last_aggregators_;
  instant next_ack_{};
  std::optional<instant> count_since_;  ///< First quorum seen, second-ranked.
  std::optional<in_force_summary> last_status_;
  instant next_status_{};
};

}  // namespace pomelohall

#endif  // POMELOHALL_DISTRIBUTION_DISTRIBUTION_H_
