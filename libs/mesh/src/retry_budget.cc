#include "mesh/retry_budget.h"

namespace pomelohall {

retry_budget::retry_budget(retry_budget_options options) : options_(options) {}

void retry_budget::SetDaemonCount(std::size_t count) { daemon_count_ = count; }

std::int64_t retry_budget::BucketIndex(instant now) const {
  const auto length = options_.window / static_cast<std::int64_t>(kBuckets);
  return now.time_since_epoch() / length;
}

retry_budget::bucket& retry_budget::CurrentBucket(const std::string& service,
                                                  instant now) {
  const auto index = BucketIndex(now);
  auto& current =
      services_[service][static_cast<std::size_t>(index) % (kBuckets + 1)];
  if (current.index != index) current = {.index = index};
  return current;
}

retry_budget::bucket retry_budget::WindowTotal(const std::string& service,
                                               instant now) const {
  bucket total;
  const auto found = services_.find(service);
  if (found == services_.end()) return total;
  const auto oldest = BucketIndex(now) - static_cast<std::int64_t>(kBuckets);
  for (const auto& entry : found->second) {
    if (entry.index < oldest) continue;
    total.requests += entry.requests;
    total.retries += entry.retries;
  }
  return total;
}

void retry_budget::OnRequest(const std::string& service, instant now) {
  CurrentBucket(service, now).requests += 1;
}

double retry_budget::Allowance() const {
  if (daemon_count_ == 0) return 0;
  return options_.allowance / static_cast<double>(daemon_count_);
}

bool retry_budget::TryRetry(const std::string& service, run_state ran,
                            instant now) {
  const auto total = WindowTotal(service, now);
  const double share =
      ran == run_state::kNotRun ? options_.not_run_share : options_.ran_share;
  const double limit = share * (options_.ratio * total.requests + Allowance());
  if (total.retries + 1 > limit) return false;
  CurrentBucket(service, now).retries += 1;
  return true;
}

}  // namespace pomelohall
