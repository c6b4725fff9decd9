// Compares the production load balancing, admission and quarantine with simple
// baselines in simulated time, then runs microbenchmarks of them.
// Usage: bench_calls [Google Benchmark options]
// Goodput is the number of requests per second that are answered completely
// within their target.
#include <array>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "call_micro.h"
#include "call_poison.h"
#include "call_simulation.h"

namespace pomelohall::bench {
namespace {

constexpr std::size_t kCallLevels = 16;

using load_shares = std::array<double, kKindCount>;

struct named_policy {
  call_policy policy;
  const char* name;
};

constexpr std::array kPolicies{
    named_policy{call_policy::kRoundRobin, "round_robin"},
    named_policy{call_policy::kLeastOutstanding, "least_outstanding"},
    named_policy{call_policy::kLeastReported, "least_reported"},
    named_policy{call_policy::kPomelohall, "pomelohall"}};

/// Returns loads as shares of the capacity, indexed by class_kind: lookup,
/// download, transaction.
load_shares MixedLoad(double total) {
  return {0.3 * total, 0.4 * total, 0.3 * total};
}

std::vector<server_profile> MakeServers(const server_profile& special,
                                        std::size_t count) {
  std::vector<server_profile> servers(4);
  for (std::size_t i = 0; i < count; ++i) servers[i] = special;
  return servers;
}

double Goodput(const simulation_results& results) {
  double met = 0;
  for (const auto& kind : results.kinds) met += static_cast<double>(kind.met);
  return met / results.seconds;
}

std::string FormatShareMet(const kind_counts& kind) {
  if (kind.offered == 0) return "     -";
  std::array<char, 16> text{};
  std::snprintf(
      text.data(), text.size(), "%6.3f",
      static_cast<double>(kind.met) / static_cast<double>(kind.offered));
  return text.data();
}

/// Returns goodput / baseline, or "-" if the baseline met no target.
std::string FormatRatio(double goodput, double baseline) {
  if (baseline == 0) return "-";
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%.2f", goodput / baseline);
  return text.data();
}

double OfferedCalls(const simulation_results& results) {
  double offered = 0;
  for (const auto& kind : results.kinds) {
    offered += static_cast<double>(kind.offered);
  }
  return offered;
}

void RunScenario(const std::string& name, const load_shares& load,
                 const std::vector<server_profile>& servers) {
  double baseline = 0;
  for (const auto& [policy, label] : kPolicies) {
    simulation_options options;
    options.policy = policy;
    options.servers = servers;
    options.load = load;
    const auto results = call_simulation(options).Run();
    const double goodput = Goodput(results);
    if (policy == call_policy::kRoundRobin) baseline = goodput;
    std::printf("%-22s %-18s %8.0f %7s  %s %s %s %9.2f\n", name.c_str(), label,
                goodput, FormatRatio(goodput, baseline).c_str(),
                FormatShareMet(results.kinds[0]).c_str(),
                FormatShareMet(results.kinds[1]).c_str(),
                FormatShareMet(results.kinds[2]).c_str(),
                static_cast<double>(results.attempts) / OfferedCalls(results));
  }
}

void RunScenarios() {
  std::printf("%-22s %-18s %8s %7s  %6s %6s %6s %9s\n", "scenario", "policy",
              "goodput", "ratio", "lookup", "downl.", "trans.", "att./call");
  for (const double load : {0.5, 1.0, 1.5, 3.0}) {
    std::array<char, 32> name{};
    std::snprintf(name.data(), name.size(), "load x%.1f", load);
    RunScenario(name.data(), MixedLoad(load), MakeServers({}, 0));
  }
  RunScenario("one 10x slower, x0.5", MixedLoad(0.5),
              MakeServers({.slowness = 10}, 1));
  RunScenario("one cold, x0.6", MixedLoad(0.6), MakeServers({.cold = true}, 1));
  RunScenario("one crashing, x0.5", MixedLoad(0.5),
              MakeServers({.crashes = true}, 1));
  RunScenario("two report no load", MixedLoad(0.8),
              MakeServers({.reports_idle = true}, 2));
  RunScenario("lookup flood", {3.0, 0.1, 0.3}, MakeServers({}, 0));
  RunScenario("download flood", {0.2, 3.0, 0.3}, MakeServers({}, 0));
}

void CompareCrashRules() {
  std::printf("\npoison request resent for 60 s, 40 servers\n");
  std::printf("%-18s %13s %26s\n", "rule", "servers lost",
              "innocent refused / kills");
  constexpr std::array kRules{
      std::pair{crash_rule::kNone, "none (baseline)"},
      std::pair{crash_rule::kFirstCrash, "first lone crash"},
      std::pair{crash_rule::kSecondCrash, "second lone crash"}};
  for (const auto& [rule, name] : kRules) {
    const auto results = SimulatePoisonRequest(rule, 1);
    std::printf("%-18s %13zu %20zu/%zu\n", name, results.servers_lost,
                results.innocent_requests_refused, results.innocent_requests);
  }
  std::printf(
      "\ncalls to the lowest of %zu levels per top-level call, all failing\n",
      kCallLevels);
  std::printf("with budget and attempt header  %.2f (simulated)\n",
              RetryAmplification(kCallLevels, true));
  std::printf("two retries at each level       %.0f (3^%zu, computed)\n\n",
              RetryAmplification(kCallLevels, false), kCallLevels);
}

}  // namespace
}  // namespace pomelohall::bench

int main(int argc, char** argv) {
  pomelohall::bench::RunScenarios();
  pomelohall::bench::CompareCrashRules();
  std::fflush(stdout);
  pomelohall::bench::RunMicrobenchmarks(argc, argv);
  return 0;
}
