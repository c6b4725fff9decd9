#include "mesh/retry_budget.h"

#include <algorithm>

namespace pomelohall {

retry_budget::retry_budget(retry_budget_options options) : options_(options) {}

void retry_budget::SetDaemons(std::size_t daemons) {
  daemons_ = std::max<std::size_t>(daemons, 1);
}

std::int64_t retry_budget::NumberOf(instant now) const {
  const auto length = options_.window / static_cast<std::int64_t>(kBuckets);
  return now.time_since_epoch() / length;
}

retry_budget::bucket& retry_budget::Current(const std::string& service,
                                            instant now) {
  const auto number = NumberOf(now);
  auto& current =
      services_[service][static_cast<std::size_t>(number) % (kBuckets + 1)];
  if (current.number != number) current = {.number = number};
  return current;
}

retry_budget::bucket retry_budget::Sum(const std::string& service,
                                       instant now) const {
  bucket sum;
  const auto found = services_.find(service);
  if (found == services_.end()) return sum;
  const auto oldest = NumberOf(now) - static_cast<std::int64_t>(kBuckets);
  for (const auto& entry : found->second) {
    if (entry.number < oldest) continue;
    sum.requests += entry.requests;
    sum.repeats += entry.repeats;
  }
  return sum;
}

void retry_budget::OnRequest(const std::string& service, instant now) {
  Current(service, now).requests += 1;
}

bool retry_budget::TryRepeat(const std::string& service, run_state ran,
                             instant now) {
  const auto sum = Sum(service, now);
  const double share =
      ran == run_state::kNotRun ? options_.not_run_share : options_.ran_share;
  const double budget =
      share * (options_.ratio * sum.requests +
               options_.allowance / static_cast<double>(daemons_));
  if (sum.repeats + 1 > budget) return false;
  Current(service, now).repeats += 1;
  return true;
}

}  // namespace pomelohall
