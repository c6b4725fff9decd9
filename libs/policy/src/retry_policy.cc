#include "policy/retry_policy.h"

#include <algorithm>
#include <chrono>

namespace pomelohall {
namespace {

constexpr double kHedgePercentile = 0.95;

std::int64_t SecondOf(instant now) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             now.time_since_epoch())
      .count();
}

/// Whether the same request can succeed on another server.
bool CanSucceedElsewhere(error_kind kind) {
  if (kind == error_kind::kDeadlineExceeded || kind == error_kind::kCancelled) {
    return false;
  }
  // An answer of another request is the fault of one connection.
  if (kind == error_kind::kProtocolError) return true;
  return AnswerFor(kind).advice != retry_advice::kNever;
}

}  // namespace

retry_policy::retry_policy(retry_options options) : options_(options) {}

void retry_policy::OnCall(instant now) { ++SecondAt(now).calls; }

bool retry_policy::AllowRetry(const retry_question& question, instant now) {
  const bool repeatable =
      question.ran == run_state::kNotRun || IsIdempotent(question.kind);
  return repeatable && question.inbound_attempt == 0 &&
         question.retries_done < options_.max_retries &&
         now < question.deadline && CanSucceedElsewhere(question.error) &&
         TakeFromBudget(now);
}

bool retry_policy::AllowHedge(const hedge_question& question, instant now) {
  return question.kind == class_kind::kLookup &&
         question.inbound_attempt == 0 &&
         question.retries_done < options_.max_retries &&
         now < question.deadline && TakeFromBudget(now);
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

retry_policy::budget_second& retry_policy::SecondAt(instant now) {
  const auto second = SecondOf(now);
  auto& slot = window_[static_cast<std::size_t>(second) % kWindowSeconds];
  if (slot.second != second) slot = {.second = second};
  return slot;
}

bool retry_policy::TakeFromBudget(instant now) {
  const auto oldest =
      SecondOf(now) - static_cast<std::int64_t>(kWindowSeconds) + 1;
  std::uint32_t calls = 0;
  std::uint32_t retries = 0;
  for (const auto& slot : window_) {
    if (slot.second < oldest) continue;
    calls += slot.calls;
    retries += slot.retries;
  }
  const auto allowed =
      std::max(static_cast<std::uint32_t>(options_.budget_share * calls),
               options_.minimum_budget);
  if (retries >= allowed) return false;
  ++SecondAt(now).retries;
  return true;
}

}  // namespace pomelohall
