#include "distribution/commit_coordinator.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "distribution/recovery.h"

namespace pomelohall {

commit_coordinator::commit_coordinator(const distribution_options& options,
                                       std::uint64_t first_round)
    : options_(options), next_round_(first_round) {}

void commit_coordinator::OnAck(const std::string& from,
                               const ack_message& ack) {
  ack_message& known = acks_[from];
  if (ack.incarnation < known.incarnation) return;
  if (ack.incarnation > known.incarnation) known = ack;
  // Acks may arrive out of order.
  known.version = std::max(known.version, ack.version);
  known.in_force = std::max(known.in_force, ack.in_force);
}

bool commit_coordinator::IsCurrent(const std::string& member,
                                   const ack_message& ack,
                                   const membership_view& view) const {
  const auto found = view.members.find(member);
  return found != view.members.end() && found->second == ack.incarnation;
}

config_version commit_coordinator::AckedByQuorum(
    const membership_view& view) const {
  std::vector<config_version> versions;
  for (const auto& [member, ack] : acks_) {
    if (IsCurrent(member, ack, view)) versions.push_back(ack.version);
  }
  const std::size_t quorum = options_.defect == distribution_defect::kNoQuorum
                                 ? 1
                                 : CommitQuorum(view.quorum_members);
  if (versions.size() < quorum) return 0;
  const auto nth = versions.begin() + static_cast<std::ptrdiff_t>(quorum - 1);
  std::nth_element(versions.begin(), nth, versions.end(), std::greater<>());
  return *nth;
}

std::optional<commit_coordinator::confirm_request>
commit_coordinator::StartRound(config_version committed,
                               const membership_view& view, instant now) {
  if (round_ && round_->version <= committed) round_.reset();
  if (!view.complete || (round_ && now < round_->deadline)) {
    return std::nullopt;
  }
  const config_version version = AckedByQuorum(view);
  if (version <= committed) return std::nullopt;
  round_ = running_round{.version = version,
                         .id = next_round_++,
                         .deadline = now + options_.confirm_timeout,
                         .quorum_members = view.quorum_members,
                         .asked = {},
                         .confirmed = {}};
  confirm_request request{.confirm = {.version = version, .round = round_->id},
                          .members = {}};
  for (const auto& [member, ack] : acks_) {
    if (ack.version < version || !IsCurrent(member, ack, view)) continue;
    round_->asked[member] = ack.incarnation;
    request.members.push_back(member);
  }
  return request;
}

std::optional<config_version> commit_coordinator::OnConfirmed(
    const std::string& from, const confirmed_message& answer,
    const membership_view& view) {
  if (!round_ || answer.round != round_->id ||
      answer.version != round_->version) {
    return std::nullopt;
  }
  const auto asked = round_->asked.find(from);
  if (asked == round_->asked.end() || asked->second != answer.incarnation) {
    return std::nullopt;
  }
  round_->confirmed.insert(from);
  const std::size_t members =
      std::max(round_->quorum_members, view.quorum_members);
  const std::size_t quorum = options_.defect == distribution_defect::kNoQuorum
                                 ? 1
                                 : CommitQuorum(members);
  if (round_->confirmed.size() < quorum) return std::nullopt;
  const config_version version = round_->version;
  round_.reset();
  return version;
}

void commit_coordinator::OnMembership(const membership_view& view) {
  std::erase_if(acks_, [&](const auto& item) {
    return !view.members.contains(item.first);
  });
}

in_force_summary commit_coordinator::Status(const membership_view& view) const {
  in_force_summary status{.data_centre = view.data_centre,
                          .members = view.members.size(),
                          .lowest_version = 0,
                          .highest_version = 0,
                          .members_at_highest = 0};
  bool first = true;
  for (const auto& [member, incarnation] : view.members) {
    const auto ack = acks_.find(member);
    const bool current =
        ack != acks_.end() && ack->second.incarnation == incarnation;
    const config_version version = current ? ack->second.in_force : 0;
    status.lowest_version =
        first ? version : std::min(status.lowest_version, version);
    first = false;
    if (version > status.highest_version) {
      status.highest_version = version;
      status.members_at_highest = 0;
    }
    if (version == status.highest_version) ++status.members_at_highest;
  }
  return status;
}

}  // namespace pomelohall
