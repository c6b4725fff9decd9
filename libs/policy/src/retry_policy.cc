#include "policy/retry_policy.h"

#include <algorithm>
#include <chrono>

namespace pomelohall {
namespace {

constexpr double kHedgePercentile = 0.95;

std::int64_t ToSeconds(instant now) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             now.time_since_epoch())
      .count();
}

/// Whether the same request may succeed on another server.
bool CanSucceedElsewhere(error_kind kind) {
  if (kind == error_kind::kDeadlineExceeded || kind == error_kind::kCancelled) {
    return false;
  }
  // A response to another request is a fault of one connection only.
  if (kind == error_kind::kProtocolError) return true;
  return GetErrorInfo(kind).advice != retry_advice::kNever;
}

}  // namespace

retry_policy::retry_policy(retry_options options) : options_(options) {}

void retry_policy::OnCall(instant now) { ++BucketAt(now).calls; }

bool retry_policy::AllowRetry(const retry_context& context, instant now) {
  const bool repeatable =
      context.ran == run_state::kNotRun || IsIdempotent(context.kind);
  return repeatable && context.inbound_attempt == 0 &&
         context.retries_done < options_.max_retries &&
         now < context.deadline && CanSucceedElsewhere(context.error) &&
         TryConsumeBudget(now);
}

bool retry_policy::AllowHedge(const hedge_context& context, instant now) {
  return context.kind == class_kind::kLookup && context.inbound_attempt == 0 &&
         context.retries_done < options_.max_retries &&
         now < context.deadline && TryConsumeBudget(now);
}

std::optional<duration> retry_policy::HedgeDelay(
    std::string_view work_class) const {
  const auto found = latencies_.find(work_class);
  if (found == latencies_.end() ||
      found->second.Count() < options_.minimum_hedge_samples) {
    return std::nullopt;
  }
  return found->second.Percentile(kHedgePercentile);
}

void retry_policy::OnLatency(std::string_view work_class, duration latency) {
  auto found = latencies_.find(work_class);
  if (found == latencies_.end()) {
    found =
        latencies_.emplace(std::string(work_class), latency_histogram()).first;
  }
  found->second.Add(latency);
}

retry_policy::budget_bucket& retry_policy::BucketAt(instant now) {
  const auto second = ToSeconds(now);
  auto& bucket = window_[static_cast<std::size_t>(second) % kWindowSeconds];
  if (bucket.second != second) bucket = {.second = second};
  return bucket;
}

bool retry_policy::TryConsumeBudget(instant now) {
  const auto oldest =
      ToSeconds(now) - static_cast<std::int64_t>(kWindowSeconds) + 1;
  std::uint32_t calls = 0;
  std::uint32_t retries = 0;
  for (const auto& bucket : window_) {
    if (bucket.second < oldest) continue;
    calls += bucket.calls;
    retries += bucket.retries;
  }
  const auto allowed =
      std::max(static_cast<std::uint32_t>(options_.budget_share * calls),
               options_.minimum_budget);
  if (retries >= allowed) return false;
  ++BucketAt(now).retries;
  return true;
}

}  // namespace pomelohall
