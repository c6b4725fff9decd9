#include "distribution/recovery.h"

#include <algorithm>

namespace pomelohall {

recovery::recovery(const distribution_options& options) : options_(options) {}

void recovery::Begin(std::uint64_t id, instant now) {
  id_ = id;
  started_at_ = now;
  floor_.reset();
  platform_unavailable_ = false;
  next_fresh_query_ = now;
  next_recover_query_ = now;
  answers_.clear();
  quorum_members_ = 0;
}

recovery::query_plan recovery::Tick(const membership_view& view, instant now) {
  query_plan plan;
  if (floor_) return plan;
  std::vector<std::string> readers = view.readers;
  // A daemon that does not know all members cannot tell whether it is a reader.
  if (!view.complete) std::erase(readers, view.self);
  if (now >= next_fresh_query_ && !readers.empty()) {
    next_fresh_query_ = now + options_.fresh_query_interval;
    plan.fresh_query_to = readers[fresh_attempts_ % readers.size()];
    ++fresh_attempts_;
  }
  const bool ask_members = platform_unavailable_ ||
                           now - started_at_ >= options_.recover_query_delay;
  if (ask_members && now >= next_recover_query_) {
    next_recover_query_ = now + options_.recover_query_interval;
    for (const auto& [name, incarnation] : view.members) {
      if (name != view.self && !answers_.contains(name)) {
        plan.recover_query_to.push_back(name);
      }
    }
  }
  return plan;
}

void recovery::OnFreshAnswer(const fresh_answer_message& answer) {
  if (floor_ || answer.id != id_) return;
  if (answer.available) {
    floor_ = answer.version;
  } else {
    platform_unavailable_ = true;
  }
}

void recovery::OnRecoverAnswer(const std::string& from,
                               const recover_answer_message& answer,
                               const membership_view& view) {
  if (floor_ || answer.id != id_ || !answer.recovered || from == view.self ||
      !view.members.contains(from)) {
    return;
  }
  config_version& held = answers_[from];
  held = std::max(held, answer.version);
  const auto reported_members = static_cast<std::size_t>(answer.member_count);
  quorum_members_ =
      std::max({quorum_members_, reported_members, view.quorum_members});
  if (answers_.size() < RecoverQuorum(quorum_members_)) return;
  config_version highest = 0;
  for (const auto& [name, version] : answers_) {
    highest = std::max(highest, version);
  }
  floor_ = highest;
}

}  // namespace pomelohall
