#include "member_observer.h"

#include <algorithm>
#include <set>
#include <utility>

#include "logging/log_event.h"
#include "member_codec.h"
#include "rollout_coordinator.h"

namespace pomelohall {

member_observer::member_observer(std::string own_name,
                                 server_directory& directory,
                                 retry_budget& budget,
                                 member_publisher& publisher,
                                 crash_history& crashes,
                                 rollout_coordinator* rollouts)
    : own_name_(std::move(own_name)),
      directory_(directory),
      budget_(budget),
      publisher_(publisher),
      crashes_(crashes),
      rollouts_(rollouts) {}

void member_observer::OnListed(const object_listing& listing) {
  std::set<std::string> names{own_name_};
  for (const auto& object : listing.objects) {
    names.insert(object.name);
    ApplyRecord(object);
  }
  directory_.Retain(names);
  CheckOwnRecord(listing);
  UpdateRetryBudget();
}

void member_observer::OnRestored(const object_listing& listing) {
  if (listing.revision.era > restored_at_.era) restored_at_ = listing.revision;
  for (const auto& object : listing.objects) ApplyRecord(object);
  CheckOwnRecord(listing);
  UpdateRetryBudget();
}

// Nobody writes the record of a daemon that has ended since the copy was taken.
bool member_observer::IsOutdated(const watched_object& object,
                                 const mesh_member& member) const {
  if (object.revision > restored_at_) return false;
  const auto known = directory_.Record(member.name);
  return known && member.IsOlderThan(*known);
}

void member_observer::CheckOwnRecord(const object_listing& listing) {
  const bool stored = std::any_of(
      listing.objects.begin(), listing.objects.end(),
      [this](const auto& object) { return object.name == own_name_; });
  if (!stored) {
    publisher_.OnStored({.name = own_name_, .revision = listing.revision},
                        true);
  }
}

void member_observer::OnChanged(const object_change& change) {
  if (!change.deleted) {
    ApplyRecord(change.object);
  } else if (change.object.name == own_name_) {
    publisher_.OnStored(change.object, true);
  } else {
    log_event(log_level::kInfo, "member_removed")
        .With("member", change.object.name);
    directory_.Remove(change.object.name);
  }
  UpdateRetryBudget();
}

void member_observer::ApplyRecord(const watched_object& object) {
  if (object.name == own_name_) {
    // The local state is more recent than the stored record.
    publisher_.OnStored(object, false);
    return;
  }
  const auto member = DecodeMember(object.name, object.spec);
  if (!member) {
    log_event(log_level::kWarning, "member_ignored")
        .With("reason", member.error().message);
    // Its previous backend server may be gone; the owner writes it again.
    directory_.Remove(object.name);
    return;
  }
  if (IsOutdated(object, *member)) {
    log_event(log_level::kInfo, "member_outdated")
        .With("member", member->name)
        .With("era", object.revision.era)
        .With("revision", object.revision.number);
    return;
  }
  log_event(log_level::kInfo, "member_known")
      .With("member", member->name)
      .With("era", object.revision.era)
      .With("revision", object.revision.number)
      .With("service", member->server ? member->server->service : "")
      .With("instance", member->server ? member->server->instance : "");
  if (rollouts_ != nullptr && member->rollout)
    rollouts_->OnMemberRecord(*member->rollout);
  directory_.Put(*member, MonotonicNow());
  crashes_.OnReported(member->name, member->crashes, member->cleared,
                      UnixMillisNow());
}

void member_observer::UpdateRetryBudget() {
  budget_.SetDaemonCount(directory_.Size());
}

}  // namespace pomelohall
