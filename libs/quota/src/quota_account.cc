#include "quota/quota_account.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace pomelohall {
namespace {

// Weight of the latest demand: a tenant that sends more is noticed by the next
// report.
constexpr double kDemandWeight = 0.5;
// Tokens that are asked for, in multiples of the mean demand of a report, so
// that a usual variation needs no further report.
constexpr double kDemandMargin = 1.5;
// Part of the burst that all daemons together may owe while a tenant is far
// below its limit: no more than the bucket holds then.
constexpr double kMaxTotalDebt = 0.8;

}  // namespace

quota_account::quota_account(quota_account_options options)
    : options_(std::move(options)) {}

void quota_account::SetLimits(const quota_limits& limits) {
  std::erase_if(tenants_, [&](const auto& entry) {
    return !limits.contains(entry.first);
  });
  for (const auto& [tenant, limit] : limits) tenants_[tenant].limit = limit;
}

void quota_account::SetMemberCount(std::size_t count) { member_count_ = count; }

bool quota_account::IsConnected(instant now) const {
  return last_answer_ && now - *last_answer_ < options_.token_lifetime;
}

// A fleet that owes more than the bucket holds would exceed the limit before
// the coordinator knows.
double quota_account::MaxDebt(const tenant_state& state) const {
  if (member_count_ == 0) return 0;
  return std::max(1.0, std::floor(kMaxTotalDebt * state.limit.burst /
                                  static_cast<double>(member_count_)));
}

quota_decision quota_account::Request(const std::string& tenant, instant now) {
  const auto found = tenants_.find(tenant);
  if (found != tenants_.end()) ++found->second.demand;
  return RequestAgain(tenant, now);
}

quota_decision quota_account::RequestAgain(const std::string& tenant,
                                           instant now) {
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end()) return quota_decision::kAdmit;
  auto& state = found->second;
  if (state.tokens >= 1 && now < state.expires_at) {
    --state.tokens;
    return quota_decision::kAdmit;
  }
  if (!IsConnected(now)) return RequestWithoutCoordinator(state, now);
  if (!state.is_tight && state.debt < MaxDebt(state)) {
    ++state.debt;
    return quota_decision::kAdmit;
  }
  if (state.is_exhausted) {
    ++state.refused;
    return quota_decision::kRefuse;
  }
  is_awaited_ = true;
  return quota_decision::kWait;
}

// Each daemon alone uses its part of the rate, which none uses twice: the
// coordinator of the others fills its buckets without it.
quota_decision quota_account::RequestWithoutCoordinator(tenant_state& state,
                                                        instant now) {
  if (member_count_ == 0 || !last_answer_) {
    is_awaited_ = true;
    return quota_decision::kWait;
  }
  const std::chrono::duration<double> passed =
      now - std::max(state.own_filled_at, *last_answer_);
  state.own_filled_at = now;
  state.own_tokens =
      std::min(1.0, state.own_tokens + std::max(passed.count(), 0.0) *
                                           state.limit.rate_per_s /
                                           static_cast<double>(member_count_));
  if (state.own_tokens < 1) {
    ++state.refused;
    return quota_decision::kRefuse;
  }
  state.own_tokens -= 1;
  return quota_decision::kAdmit;
}

void quota_account::Return(const std::string& tenant) {
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end()) return;
  auto& state = found->second;
  if (state.debt >= 1) {
    --state.debt;
  } else if (state.is_tight) {
    ++state.tokens;
  }
}

duration quota_account::RetryAfter(const std::string& tenant) const {
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end()) return duration(0);
  const auto& state = found->second;
  const double reports_per_s = 1000 / ToMillis(options_.report_interval);
  const double refused =
      std::max(state.refused, state.mean_refused) * reports_per_s;
  const double served = std::max(
      state.mean_demand * reports_per_s - refused,
      state.limit.rate_per_s /
          static_cast<double>(std::max<std::size_t>(member_count_, 1)));
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>((refused + 1) / served));
}

bool quota_account::IsReportDue(instant now) const {
  if (is_reporting_ || tenants_.empty()) return false;
  return now - last_report_ >=
         (is_awaited_ ? options_.min_interval : options_.report_interval);
}

quota_report quota_account::TakeReport(instant now) {
  is_reporting_ = true;
  is_awaited_ = false;
  last_report_ = now;
  quota_report report{.member = options_.member,
                      .sequence = ++sequence_,
                      .incarnation = options_.incarnation,
                      .tenants = {}};
  for (auto& [tenant, state] : tenants_) {
    if (now >= state.expires_at) state.tokens = 0;
    state.mean_demand += kDemandWeight * (state.demand - state.mean_demand);
    state.mean_refused += kDemandWeight * (state.refused - state.mean_refused);
    const bool is_used = state.demand > 0 || state.tokens > 0 ||
                         state.debt > 0 || state.mean_demand > 0.1;
    state.demand = 0;
    state.refused = 0;
    state.wanted = 0;
    if (!is_used) continue;
    const bool needs_tokens =
        state.is_tight || state.mean_demand > MaxDebt(state);
    const double target =
        needs_tokens ? std::round(kDemandMargin * state.mean_demand) : 0;
    const double held = std::min(state.tokens, target);
    state.wanted = target - held;
    report.tenants[tenant] = {.spent = std::exchange(state.debt, 0),
                              .returned = state.tokens - held,
                              .held = held,
                              .wanted = state.wanted};
    state.tokens = held;
  }
  return report;
}

void quota_account::OnAnswer(const quota_answer& answer, instant asked_at,
                             instant now) {
  is_reporting_ = false;
  last_answer_ = now;
  for (auto& [tenant, state] : tenants_) {
    const auto granted = answer.granted.find(tenant);
    const double tokens = granted == answer.granted.end() ? 0 : granted->second;
    state.tokens += tokens;
    if (state.tokens > 0) state.expires_at = asked_at + options_.token_lifetime;
    state.is_tight = answer.tight.contains(tenant);
    // A tenant that has just become tight has not asked for tokens yet.
    state.is_exhausted =
        state.is_tight && state.wanted >= 1 && state.tokens < 1;
  }
}

}  // namespace pomelohall
