#include "distribution/distribution.h"

#include <algorithm>
#include <cassert>
#include <memory>
#include <utility>

namespace pomelohall {
distribution::distribution(distribution_options options, std::uint64_t seed)
    : options_(options),
      random_(seed),
      puller_(options, random_.Next()),
      recovery_(options),
      head_reader_(options, random_.Next()),
      coordinator_(options, random_.Next()) {}

distribution_actions distribution::OnMembership(const membership_view& view,
                                                instant now) {
  const bool interrupted = view.interruptions > view_.interruptions;
  // A joining daemon sends an offer as soon as it knows its neighbours. Those
  // that are ahead answer with an offer of their own version.
  if (view.complete && !view_.complete) next_offer_ = now;
  view_ = view;
  coordinator_.OnMembership(view_);
  if (!started_ || interrupted) BeginRecovery(now);
  started_ = true;
  return Finish(now);
}

distribution_actions distribution::OnMessage(const std::string& from,
                                             const peer_message& message,
                                             instant now) {
  assert(started_);
  std::visit([&](const auto& body) { On(from, body, now); }, message);
  return Finish(now);
}

distribution_actions distribution::Tick(instant now) {
  assert(started_);
  if (last_tick_ && now - *last_tick_ > options_.pause_limit) {
    BeginRecovery(now);
  }
  last_tick_ = now;
  std::erase_if(transfers_,
                [&](const auto& item) { return now >= item.expiry; });
  RunAntiEntropy(now);
  return Finish(now);
}

distribution_actions distribution::OnPlatformHead(
    head_source source, const result<config_head>& head,
    instant read_started_at, instant now) {
  for (const auto& reply :
       head_reader_.OnHead(source, head, read_started_at, now)) {
    if (reply.to == view_.self) {
      recovery_.OnFreshAnswer(reply.answer);
    } else {
      Send(reply.to, reply.answer);
    }
  }
  return Finish(now);
}

distribution_actions distribution::OnPlatformSections(
    config_version version,
    const result<std::vector<config_delta::item>>& items, instant now) {
  auto image = head_reader_.OnSections(version, items, *store_.Highest(), now);
  if (image && *image != nullptr) Stage(std::move(*image), {});
  return Finish(now);
}

distribution_actions distribution::OnImageInForce(config_version version,
                                                  instant now) {
  reported_in_force_ = std::max(reported_in_force_, version);
  return Finish(now);
}

bool distribution::Recovered() const {
  return recovery_.Floor() && StagedVersion() >= *recovery_.Floor();
}

// With an incomplete view a starting daemon could rank itself as a reader, and
// after a mass restart every daemon would read the whole state from the
// platform.
bool distribution::IsReader() const {
  return view_.complete && std::find(view_.readers.begin(), view_.readers.end(),
                                     view_.self) != view_.readers.end();
}

// --- Messages ---------------------------------------------------------------

void distribution::On(const std::string& from, const offer_message& message,
                      instant now) {
  const bool same_data_centre = view_.members.contains(from);
  if (same_data_centre) AdvanceCommitted(message.committed);
  if (message.version > StagedVersion()) {
    puller_.OnOffer(from, message.version);
    return;
  }
  // A source that has no higher version answers a pull with an offer.
  puller_.OnRefused(from, now);
  std::erase_if(transfers_, [&](const auto& item) {
    return item.member == from && message.version > 0;
  });
  const bool sender_is_behind =
      message.version < StagedVersion() ||
      (same_data_centre && message.committed < committed_);
  if (sender_is_behind) Send(from, OwnOffer());
}

void distribution::On(const std::string& from, const pull_message& message,
                      instant now) {
  if (StagedVersion() <= message.base) return Send(from, OwnOffer());
  if (message.base == 0 && !AdmitFullStateTransfer(from, now)) {
    return Send(from, busy_message{});
  }
  Send(from, delta_message{MakeDelta(*store_.Highest(), message.base)});
}

void distribution::On(const std::string& from, const delta_message& message,
                      instant now) {
  if (message.delta.head.version <= StagedVersion()) return;
  auto image = Apply(message.delta);
  if (image) return Stage(std::move(*image), from);
  puller_.OnRefused(from, now);
  actions_.emplace_back(delta_refused{from, image.error()});
}

void distribution::On(const std::string& from, const busy_message& /*message*/,
                      instant now) {
  puller_.OnRefused(from, now);
}

void distribution::On(const std::string& from, const ack_message& message,
                      instant /*now*/) {
  coordinator_.OnAck(from, message);
}

// The staged version never decreases, so a member that acked a version and
// confirms it with the same incarnation has held it since the ack.
void distribution::On(const std::string& from, const confirm_message& message,
                      instant /*now*/) {
  if (StagedVersion() < message.version) return;
  Send(from, confirmed_message{.version = message.version,
                               .round = message.round,
                               .incarnation = view_.incarnation});
}

void distribution::On(const std::string& from, const confirmed_message& message,
                      instant /*now*/) {
  const auto version = coordinator_.OnConfirmed(from, message, view_);
  if (version) AdvanceCommitted(*version);
}

void distribution::On(const std::string& from,
                      const fresh_query_message& message, instant now) {
  head_reader_.OnFreshQuery(from, message.id, now);
}

void distribution::On(const std::string& /*from*/,
                      const fresh_answer_message& message, instant /*now*/) {
  recovery_.OnFreshAnswer(message);
}

void distribution::On(const std::string& from,
                      const recover_query_message& message, instant /*now*/) {
  Send(from, recover_answer_message{.id = message.id,
                                    .version = StagedVersion(),
                                    .recovered = Recovered() && view_.complete,
                                    .member_count = view_.quorum_members});
}

void distribution::On(const std::string& from,
                      const recover_answer_message& message, instant /*now*/) {
  recovery_.OnRecoverAnswer(from, message, view_);
}

// --- Versions ---------------------------------------------------------------

void distribution::BeginRecovery(instant now) {
  // A random id, so that answers to an earlier process are ignored.
  recovery_.Begin(random_.Next(), now);
}

result<config_image_ptr> distribution::Apply(const config_delta& delta) const {
  if (options_.defect == distribution_defect::kPartialStage &&
      !delta.items.empty()) {
    auto image = std::make_shared<config_image>();
    image->head = delta.head;
    image->sections = store_.Highest()->sections;
    for (std::size_t i = 0; i + 1 < delta.items.size(); ++i) {
      image->sections[delta.items[i].index] = delta.items[i].bytes;
    }
    return image;
  }
  return ApplyDelta(*store_.Highest(), delta);
}

void distribution::Stage(config_image_ptr image, const std::string& source) {
  const config_version version = image->head.version;
  store_.Stage(std::move(image));
  puller_.OnStaged(version);
  OfferToNeighbours({});
  if (!source.empty() && !view_.members.contains(source)) {
    Send(source, OwnOffer());
  }
  if (IsReader()) {
    for (const auto& reader : view_.remote_readers) Send(reader, OwnOffer());
  }
}

void distribution::AdvanceCommitted(config_version version) {
  if (version <= committed_) return;
  committed_ = version;
  OfferToNeighbours({});
}

// The commit of a version also permits lower ones to be put into force, as any
// later recovery finds a floor that is at least as high as the committed one.
void distribution::TryPutInForce() {
  const auto image = store_.HighestUpTo(committed_);
  if (image == nullptr) return;
  const bool allowed =
      store_.InForce() != nullptr ||
      options_.defect == distribution_defect::kNoFloor ||
      (recovery_.Floor() && image->head.version >= *recovery_.Floor());
  if (!allowed) return;
  store_.SetInForce(image);
  actions_.emplace_back(put_in_force{image});
}

offer_message distribution::OwnOffer() const {
  const auto& head = store_.Highest()->head;
  return {
      .version = head.version, .digest = head.digest, .committed = committed_};
}

void distribution::OfferToNeighbours(const std::string& except) {
  for (const auto& name : view_.neighbours) {
    if (name != except) Send(name, OwnOffer());
  }
}

bool distribution::AdmitFullStateTransfer(const std::string& member,
                                          instant now) {
  std::erase_if(transfers_,
                [&](const auto& item) { return item.member == member; });
  if (transfers_.size() >= options_.max_full_state_transfers) return false;
  transfers_.push_back({member, now + options_.full_state_transfer_time});
  return true;
}

// --- Periodic work ----------------------------------------------------------

void distribution::RunAntiEntropy(instant now) {
  if (now < next_offer_ || options_.defect == distribution_defect::kNoRepair) {
    return;
  }
  next_offer_ = now + Jitter(store_.InForce() == nullptr
                                 ? options_.joining_offer_interval
                                 : options_.anti_entropy_interval);
  if (!view_.neighbours.empty()) {
    Send(view_.neighbours[random_.Below(view_.neighbours.size())], OwnOffer());
  }
  if (IsReader() && !view_.remote_readers.empty()) {
    Send(view_.remote_readers[random_.Below(view_.remote_readers.size())],
         OwnOffer());
  }
}

void distribution::RunRecovery(instant now) {
  const auto plan = recovery_.Tick(view_, now);
  if (plan.fresh_query_to == view_.self) {
    head_reader_.OnFreshQuery(view_.self, recovery_.Id(), now);
  } else if (plan.fresh_query_to) {
    Send(*plan.fresh_query_to, fresh_query_message{.id = recovery_.Id()});
  }
  for (const auto& name : plan.recover_query_to) {
    Send(name, recover_query_message{.id = recovery_.Id()});
  }
}

void distribution::RunPull(instant now) {
  if (const auto source = puller_.NextSource(StagedVersion(), view_, now)) {
    Send(*source, pull_message{.base = StagedVersion()});
  }
}

void distribution::SendAck(instant now) {
  const ack_message ack{.version = StagedVersion(),
                        .incarnation = view_.incarnation,
                        .in_force = reported_in_force_};
  const bool changed = ack != last_ack_ || view_.readers != last_aggregators_;
  if (!changed && now < next_ack_) return;
  last_ack_ = ack;
  last_aggregators_ = view_.readers;
  next_ack_ = now + Jitter(StagedVersion() > committed_
                               ? options_.ack_repeat_interval
                               : options_.ack_refresh_interval);
  for (const auto& aggregator : view_.readers) {
    if (aggregator == view_.self) {
      coordinator_.OnAck(view_.self, ack);
    } else {
      Send(aggregator, ack);
    }
  }
}

void distribution::RunCommit(instant now) {
  if (!IsReader() || StagedVersion() <= committed_) {
    uncommitted_since_.reset();
    return;
  }
  if (!uncommitted_since_) uncommitted_since_ = now;
  if (view_.readers.front() != view_.self &&
      now - *uncommitted_since_ < options_.second_aggregator_delay) {
    return;
  }
  const auto round = coordinator_.StartRound(committed_, view_, now);
  if (!round) return;
  for (const auto& member : round->members) {
    if (member == view_.self) {
      On(view_.self,
         confirmed_message{.version = round->confirm.version,
                           .round = round->confirm.round,
                           .incarnation = view_.incarnation},
         now);
    } else {
      Send(member, round->confirm);
    }
  }
}

void distribution::WriteStatus(instant now) {
  if (!IsReader() || view_.readers.front() != view_.self || !view_.complete) {
    last_status_.reset();
    return;
  }
  if (now < next_status_) return;
  auto status = coordinator_.Status(view_);
  if (status == last_status_) return;
  next_status_ = now + options_.status_interval;
  last_status_ = status;
  actions_.emplace_back(write_status{std::move(status)});
}

void distribution::Send(const std::string& member, peer_message message) {
  if (member == view_.self) return;
  actions_.emplace_back(send_to_member{member, std::move(message)});
}

distribution_actions distribution::Finish(instant now) {
  if (!started_) return std::exchange(actions_, {});
  RunRecovery(now);
  for (auto& action : head_reader_.Tick(IsReader(), *store_.Highest(), now)) {
    actions_.push_back(std::move(action));
  }
  RunPull(now);
  SendAck(now);
  RunCommit(now);
  TryPutInForce();
  WriteStatus(now);
  return std::exchange(actions_, {});
}

// Returns 75% to 125% of `span`, so that daemons do not send at the same time.
duration distribution::Jitter(duration span) {
  const double factor = 0.75 + random_.NextDouble() / 2;
  return std::chrono::duration_cast<duration>(span * factor);
}

}  // namespace pomelohall
