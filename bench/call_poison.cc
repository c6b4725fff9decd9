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
constexpr std::size_t kOthersInFlight = 5;
constexpr duration kResend{300'000};
constexpr duration kResendTime{60'000'000};
constexpr std::uint64_t kPoison = 1;
constexpr std::size_t kKills = 1'000;
constexpr std::size_t kTopCalls = 2'000;
constexpr std::string_view kService = "orders";

std::vector<quarantine> MakeTables(crash_rule rule) {
  const quarantine_options options{.culprit_at_first_crash =
                                       rule == crash_rule::kFirstCrash};
  return std::vector<quarantine>(kServers, quarantine(options));
}

void TellAll(std::vector<quarantine>& tables,
             const std::vector<suspect_event>& events, instant now) {
  for (const auto& event : events) {
    for (auto& table : tables) table.Apply(event, now);
  }
}

std::size_t LostToPoison(crash_rule rule, random_source& random) {
  auto tables = MakeTables(rule);
  const instant begin{std::chrono::seconds(1'000)};
  std::size_t lost = 0;
  for (auto now = begin; now < begin + kResendTime; now += kResend) {
    auto& table = tables[random.Below(kServers)];
    auto verdict = table.Check(kService, kPoison, now);
    if (rule == crash_rule::kNone) verdict = quarantine_verdict::kAllow;
    if (verdict == quarantine_verdict::kRefuse) continue;
    ++lost;
    std::vector<std::uint64_t> in_flight{kPoison};
    if (verdict == quarantine_verdict::kAllow) {
      for (std::size_t i = 0; i < kOthersInFlight; ++i) {
        in_flight.push_back(random.Next());
      }
    }
    TellAll(tables, table.OnCrash(kService, in_flight, now), now);
  }
  return lost;
}

std::size_t InnocentsRefused(crash_rule rule, random_source& random) {
  if (rule == crash_rule::kNone) return 0;
  auto tables = MakeTables(rule);
  const instant begin{std::chrono::seconds(1'000)};
  std::size_t refused = 0;
  for (std::size_t i = 0; i < kKills; ++i) {
    const auto now = begin + std::chrono::milliseconds(i);
    auto& table = tables[random.Below(kServers)];
    const std::array in_flight{random.Next()};
    TellAll(tables, table.OnCrash(kService, in_flight, now), now);
    const auto verdict =
        tables[random.Below(kServers)].Check(kService, in_flight[0], now);
    refused += verdict == quarantine_verdict::kRefuse ? 1U : 0U;
  }
  return refused;
}

/// A chain of levels that each call the next one; the last one always fails.
class retry_chain {
 public:
  explicit retry_chain(std::size_t levels) : policies_(levels) {}

  void Call(std::size_t level, std::uint32_t attempt) {
    if (level == policies_.size()) {
      ++bottom_calls_;
      return;
    }
    auto& policy = policies_[level];
    if (attempt == 0) policy.OnCall(now_);
    for (std::uint32_t retries = 0;; ++retries) {
      Call(level + 1, attempt + retries);
      const retry_context context{.error = error_kind::kBackendFailed,
                                  .retries_done = retries,
                                  .inbound_attempt = attempt,
                                  .deadline = now_ + kResend};
      if (!policy.AllowRetry(context, now_)) return;
    }
  }

  void Advance() { now_ += std::chrono::milliseconds(5); }
  std::size_t BottomCalls() const { return bottom_calls_; }

 private:
  std::vector<retry_policy> policies_;
  instant now_{std::chrono::seconds(1'000)};
  std::size_t bottom_calls_ = 0;
};

}  // namespace

poison_figures RunPoison(crash_rule rule, std::uint64_t seed) {
  random_source random(seed);
  poison_figures figures;
  figures.servers_lost = LostToPoison(rule, random);
  figures.innocents_refused = InnocentsRefused(rule, random);
  figures.innocents = kKills;
  return figures;
}

double RetryAmplification(std::size_t levels, bool budget) {
  // Without a budget each level multiplies by 3, which for 16 levels is beyond
  // what can be run.
  if (!budget) return std::pow(3.0, static_cast<double>(levels));
  retry_chain chain(levels);
  for (std::size_t i = 0; i < kTopCalls; ++i) {
    chain.Call(0, 0);
    chain.Advance();
  }
  return static_cast<double>(chain.BottomCalls()) / kTopCalls;
}

}  // namespace pomelohall::bench
