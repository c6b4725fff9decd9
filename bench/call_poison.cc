#include "call_poison.h"

#include <array>
#include <cmath>
#include <vector>

#include "base/random.h"
#include "policy/retry_policy.h"
#include "quarantine/quarantine.h"

namespace pomelohall::bench {
namespace {

constexpr std::size_t kServers = 40;
constexpr std::size_t kOtherRequestsInFlight = 5;
constexpr duration kResendInterval{300'000};
constexpr duration kResendDuration{60'000'000};
constexpr std::uint64_t kPoisonFingerprint = 1;
constexpr std::size_t kServerKills = 1'000;
constexpr std::size_t kTopLevelCalls = 2'000;
constexpr std::string_view kService = "orders";

std::vector<quarantine> MakeTables(crash_rule rule) {
  const quarantine_options options{.culprit_at_first_crash =
                                       rule == crash_rule::kFirstCrash};
  return std::vector<quarantine>(kServers, quarantine(options));
}

void ApplyToAll(std::vector<quarantine>& tables,
                const std::vector<suspect_event>& events, instant now) {
  for (const auto& event : events) {
    for (auto& table : tables) table.Apply(event, now);
  }
}

std::size_t CountServersLost(crash_rule rule, random_source& random) {
  auto tables = MakeTables(rule);
  const instant begin{std::chrono::seconds(1'000)};
  std::size_t lost = 0;
  for (auto now = begin; now < begin + kResendDuration;
       now += kResendInterval) {
    auto& table = tables[random.Below(kServers)];
    auto verdict = table.Check(kService, kPoisonFingerprint, now);
    if (rule == crash_rule::kNone) verdict = quarantine_verdict::kAllow;
    if (verdict == quarantine_verdict::kRefuse) continue;
    ++lost;
    std::vector<std::uint64_t> in_flight{kPoisonFingerprint};
    if (verdict == quarantine_verdict::kAllow) {
      for (std::size_t i = 0; i < kOtherRequestsInFlight; ++i) {
        in_flight.push_back(random.Next());
      }
    }
    ApplyToAll(tables, table.OnCrash(kService, in_flight, now), now);
  }
  return lost;
}

std::size_t CountInnocentRequestsRefused(crash_rule rule,
                                         random_source& random) {
  if (rule == crash_rule::kNone) return 0;
  auto tables = MakeTables(rule);
  const instant begin{std::chrono::seconds(1'000)};
  std::size_t refused = 0;
  for (std::size_t i = 0; i < kServerKills; ++i) {
    const auto now = begin + std::chrono::milliseconds(i);
    auto& table = tables[random.Below(kServers)];
    const std::array in_flight{random.Next()};
    ApplyToAll(tables, table.OnCrash(kService, in_flight, now), now);
    const auto verdict =
        tables[random.Below(kServers)].Check(kService, in_flight[0], now);
    refused += verdict == quarantine_verdict::kRefuse ? 1U : 0U;
  }
  return refused;
}

/// Chain of services that each call the next one; the last one always fails.
class call_chain {
 public:
  explicit call_chain(std::size_t levels) : policies_(levels) {}

  void Call(std::size_t level, std::uint32_t attempt) {
    if (level == policies_.size()) {
      ++lowest_level_calls_;
      return;
    }
    auto& policy = policies_[level];
    if (attempt == 0) policy.OnCall(now_);
    for (std::uint32_t retries = 0;; ++retries) {
      Call(level + 1, attempt + retries);
      const retry_context context{.error = error_kind::kBackendFailed,
                                  .retries_done = retries,
                                  .inbound_attempt = attempt,
                                  .deadline = now_ + kResendInterval};
      if (!policy.AllowRetry(context, now_)) return;
    }
  }

  void Advance() { now_ += std::chrono::milliseconds(5); }
  std::size_t LowestLevelCalls() const { return lowest_level_calls_; }

 private:
  std::vector<retry_policy> policies_;
  instant now_{std::chrono::seconds(1'000)};
  std::size_t lowest_level_calls_ = 0;
};

}  // namespace

poison_results SimulatePoisonRequest(crash_rule rule, std::uint64_t seed) {
  random_source random(seed);
  poison_results results;
  results.servers_lost = CountServersLost(rule, random);
  results.innocent_requests_refused =
      CountInnocentRequestsRefused(rule, random);
  results.innocent_requests = kServerKills;
  return results;
}

double RetryAmplification(std::size_t levels, bool budget) {
  // Without a budget each level multiplies the calls by 3, which is too many to
  // simulate for 16 levels.
  if (!budget) return std::pow(3.0, static_cast<double>(levels));
  call_chain chain(levels);
  for (std::size_t i = 0; i < kTopLevelCalls; ++i) {
    chain.Call(0, 0);
    chain.Advance();
  }
  return static_cast<double>(chain.LowestLevelCalls()) / kTopLevelCalls;
}

}  // namespace pomelohall::bench
