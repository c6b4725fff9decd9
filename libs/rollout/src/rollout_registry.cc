#include "rollout/rollout_registry.h"

#include <algorithm>

namespace pomelohall {
namespace {

bool IsOver(rollout_state state) {
  return IsFinal(state) || state == rollout_state::kWithdrawn;
}

}  // namespace

bool rollout_registry::Merge(const rollout_record& record, instant now) {
  const auto found = entries_.find(record.order.service);
  if (found == entries_.end() ||
      (!found->second.record.order.IsSameAs(record.order) &&
       record.revision > found->second.record.revision)) {
    entries_[record.order.service] = {
        .record = record,
        .plan = PlanRollout(record.order.time_limit, max_share_),
        .ordered_at = now - record.elapsed,
        .changed_at = now,
        .limiter = {}};
    return true;
  }
  auto& known = found->second;
  if (!known.record.order.IsSameAs(record.order)) return false;
  // Whoever heard of the order first knows best when it was given.
  known.ordered_at = std::min(known.ordered_at, now - record.elapsed);
  known.record.revision = std::max(known.record.revision, record.revision);
  if (record.state <= known.record.state) return false;
  known.record.state = record.state;
  known.changed_at = now;
  return true;
}

bool rollout_registry::OnAbsent(const std::string& service,
                                std::uint64_t revision, instant now) {
  const auto found = entries_.find(service);
  if (found == entries_.end() || found->second.record.revision > revision ||
      IsOver(found->second.record.state)) {
    return false;
  }
  found->second.record.revision = revision;
  found->second.record.state = rollout_state::kWithdrawn;
  found->second.changed_at = now;
  return true;
}

bool rollout_registry::Advance(const std::string& service, rollout_state state,
                               instant now) {
  const auto found = entries_.find(service);
  if (found == entries_.end() || found->second.record.state >= state)
    return false;
  found->second.record.state = state;
  found->second.changed_at = now;
  return true;
}

version_choice rollout_registry::Choose(const std::string& service,
                                        instant now) {
  auto choice = ChooseAgain(service, now);
  if (choice.rule != version_rule::kExceptTarget) return choice;
  auto& known = entries_.at(service);
  if (known.record.state == rollout_state::kCanary && known.limiter.TryTake()) {
    choice.rule = version_rule::kOnlyTarget;
    choice.is_canary = true;
  }
  return choice;
}

version_choice rollout_registry::ChooseAgain(const std::string& service,
                                             instant now) const {
  const auto* const known = FindEntry(service);
  if (known == nullptr) return {};
  version_choice choice{.target_version = known->record.order.target_version};
  switch (known->record.state) {
    case rollout_state::kCompleted:
      if (now - known->changed_at >= kRecentTime) break;
      choice.rule = version_rule::kOnlyTarget;
      break;
    case rollout_state::kSwitching:
      choice.rule = version_rule::kOnlyTarget;
      break;
    case rollout_state::kCanary:
    case rollout_state::kFailed:
    case rollout_state::kRolledBack:
    case rollout_state::kWithdrawn:
      choice.rule = version_rule::kExceptTarget;
      break;
  }
  return choice;
}

void rollout_registry::OnNotSent(const std::string& service) {
  const auto found = entries_.find(service);
  if (found != entries_.end()) found->second.limiter.Return();
}

void rollout_registry::OnReachedOther(const std::string& service) {
  const auto found = entries_.find(service);
  if (found == entries_.end()) return;
  found->second.limiter.OnOtherVersion(found->second.plan.canary_share);
}

bool rollout_registry::MayRun(const std::string& service,
                              const std::string& version, instant now) const {
  const auto* const known = FindEntry(service);
  if (known == nullptr) return true;
  // Canary requests of other daemons are within their own share.
  if (known->record.state == rollout_state::kCanary) return true;
  return ChooseAgain(service, now).Allows(version);
}

rollout_record rollout_registry::RecordOf(const entry& entry,
                                          instant now) const {
  auto record = entry.record;
  record.elapsed = now - entry.ordered_at;
  return record;
}

const rollout_registry::entry* rollout_registry::FindEntry(
    const std::string& service) const {
  const auto found = entries_.find(service);
  return found == entries_.end() ? nullptr : &found->second;
}

std::optional<rollout_record> rollout_registry::Find(const std::string& service,
                                                     instant now) const {
  const auto* const known = FindEntry(service);
  if (known == nullptr) return std::nullopt;
  return RecordOf(*known, now);
}

std::vector<rollout_record> rollout_registry::Records(instant now) const {
  std::vector<rollout_record> records;
  for (const auto& [service, known] : entries_)
    records.push_back(RecordOf(known, now));
  return records;
}

std::vector<rollout_record> rollout_registry::RecentRecords(instant now) const {
  std::vector<rollout_record> records;
  for (const auto& [service, known] : entries_) {
    if (!IsOver(known.record.state) || now - known.changed_at < kRecentTime)
      records.push_back(RecordOf(known, now));
  }
  return records;
}

bool rollout_registry::IsActive(const std::string& service) const {
  const auto* const known = FindEntry(service);
  return known != nullptr && !IsOver(known->record.state);
}

bool rollout_registry::IsSwitchDue(const std::string& service,
                                   instant now) const {
  const auto* const known = FindEntry(service);
  if (known == nullptr || known->record.state != rollout_state::kCanary)
    return false;
  const auto elapsed = now - known->ordered_at;
  // A late switch would move traffic at a time that nobody expects.
  return elapsed >= known->plan.switch_after &&
         elapsed < known->record.order.time_limit;
}

}  // namespace pomelohall
