#include "quota/quota_pool.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace pomelohall {

void quota_pool::SetLimits(const quota_limits& limits, instant now) {
  std::erase_if(buckets_, [&](const auto& entry) {
    return !limits.contains(entry.first);
  });
  for (const auto& [tenant, limit] : limits) {
    const auto [found, added] = buckets_.try_emplace(tenant);
    auto& target = found->second;
    if (added) target.filled_at = now;
    Fill(target, now);
    target.limit = limit;
    target.level = std::min(target.level, limit.burst - target.lent);
  }
}

void quota_pool::Start(instant now) {
  started_at_ = now;
  for (auto& [tenant, target] : buckets_) {
    target.level = std::min(target.level, 0.0);
    target.lent = 0;
    target.filled_at = now;
  }
}

void quota_pool::Expire(instant now) {
  std::erase_if(members_, [&](const auto& entry) {
    const auto& state = entry.second;
    if (now - state.reported_at < options_.member_timeout) return false;
    for (const auto& [tenant, held] : state.held) {
      if (const auto found = buckets_.find(tenant); found != buckets_.end())
        found->second.lent -= held;
    }
    return true;
  });
}

void quota_pool::Fill(bucket& target, instant now) const {
  const std::chrono::duration<double> passed = now - target.filled_at;
  target.filled_at = std::max(target.filled_at, now);
  const double share =
      member_count_ == 0
          ? 0
          : std::min(1.0, static_cast<double>(members_.size()) /
                              static_cast<double>(member_count_));
  // Each part of a fleet has its part of the burst as well.
  const double most = share * target.limit.burst - target.lent;
  target.level =
      std::min(most, target.level + share * options_.fill_share *
                                        target.limit.rate_per_s *
                                        std::max(passed.count(), 0.0));
}

quota_answer quota_pool::OnReport(const quota_report& report, instant now) {
  Expire(now);
  if (members_.empty()) Start(now);
  auto& member = members_[report.member];
  const bool is_late = member.incarnation == report.incarnation &&
                       report.sequence <= member.sequence;
  if (!is_late) {
    member.incarnation = report.incarnation;
    member.sequence = report.sequence;
    member.reported_at = now;
  }
  const double overdraft =
      options_.overdraft * std::min(1.0, ToMillis(now - started_at_) /
                                             ToMillis(options_.overdraft_time));
  quota_answer answer;
  for (auto& [tenant, target] : buckets_) Fill(target, now);
  for (const auto& [tenant, use] : report.tenants) {
    const auto found = buckets_.find(tenant);
    if (found == buckets_.end()) continue;
    auto& target = found->second;
    target.level -= use.spent;
    if (is_late) continue;
    auto& held = member.held[tenant];
    target.lent += use.held - held;
    held = use.held;
    target.level =
        std::min(target.level + use.returned, target.limit.burst - target.lent);
    const double available = target.level + overdraft;
    const double granted =
        std::floor(std::clamp(available, 0.0, std::max(use.wanted, 0.0)));
    if (granted <= 0) continue;
    target.level -= granted;
    target.lent += granted;
    held += granted;
    answer.granted[tenant] = granted;
  }
  for (const auto& [tenant, target] : buckets_) {
    if (target.level < options_.tight_level * target.limit.burst)
      answer.tight.insert(tenant);
  }
  return answer;
}

double quota_pool::Level(const std::string& tenant) const {
  const auto found = buckets_.find(tenant);
  return found == buckets_.end() ? 0 : found->second.level;
}

}  // namespace pomelohall
