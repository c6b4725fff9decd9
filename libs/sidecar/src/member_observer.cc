#include "member_observer.h"

#include <set>
#include <utility>

#include "logging/log_event.h"
#include "member_codec.h"

namespace pomelohall {

member_observer::member_observer(std::string own_name,
                                 server_directory& directory,
                                 retry_budget& budget,
                                 member_publisher& publisher)
    : own_name_(std::move(own_name)),
      directory_(directory),
      budget_(budget),
      publisher_(publisher) {}

void member_observer::OnListed(const std::vector<watched_object>& objects) {
  std::set<std::string> names{own_name_};
  bool own_record_stored = false;
  for (const auto& object : objects) {
    names.insert(object.name);
    own_record_stored = own_record_stored || object.name == own_name_;
    ApplyRecord(object);
  }
  directory_.Retain(names);
  if (!own_record_stored) publisher_.OnStored({.name = own_name_}, true);
  UpdateRetryBudget();
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
    return;
  }
  log_event(log_level::kInfo, "member_known")
      .With("member", member->name)
      .With("revision", object.revision)
      .With("service", member->server ? member->server->service : "")
      .With("instance", member->server ? member->server->instance : "");
  directory_.Put(*member, MonotonicNow());
}

void member_observer::UpdateRetryBudget() {
  budget_.SetDaemonCount(directory_.Size());
}

}  // namespace pomelohall
