// Compares the decisions of a call with simple baselines in logical time, then
// measures their cost. Usage: bench_calls [Google Benchmark options]
// Goodput is requests answered whole within their target, per second.
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

constexpr std::size_t kLevels = 16;

using loads = std::array<double, kKinds>;

struct named_policy {
  call_policy policy;
  const char* name;
};

constexpr std::array kPolicies{
    named_policy{call_policy::kRoundRobin, "round_robin"},
    named_policy{call_policy::kLeastOutstanding, "least_outstanding"},
    named_policy{call_policy::kLeastReported, "least_reported"},
    named_policy{call_policy::kPomelohall, "pomelohall"}};

/// Shares of the capacity, in class_kind order: lookup, download, transaction.
loads Mixed(double total) { return {0.3 * total, 0.4 * total, 0.3 * total}; }

std::vector<server_profile> Servers(const server_profile& special,
                                    std::size_t count) {
  std::vector<server_profile> servers(4);
  for (std::size_t i = 0; i < count; ++i) servers[i] = special;
  return servers;
}

double Goodput(const simulation_figures& figures) {
  double met = 0;
  for (const auto& kind : figures.kinds) met += static_cast<double>(kind.met);
  return met / figures.seconds;
}

std::string Share(const kind_figures& kind) {
  if (kind.offered == 0) return "     -";
  std::array<char, 16> text{};
  std::snprintf(
      text.data(), text.size(), "%6.3f",
      static_cast<double>(kind.met) / static_cast<double>(kind.offered));
  return text.data();
}

/// Returns goodput / baseline, or "-" if the baseline met no target at all.
std::string Ratio(double goodput, double baseline) {
  if (baseline == 0) return "-";
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%.2f", goodput / baseline);
  return text.data();
}

double Calls(const simulation_figures& figures) {
  double offered = 0;
  for (const auto& kind : figures.kinds) {
    offered += static_cast<double>(kind.offered);
  }
  return offered;
}

void Compare(const std::string& name, const loads& load,
             const std::vector<server_profile>& servers) {
  double baseline = 0;
  for (const auto& [policy, label] : kPolicies) {
    simulation_options options;
    options.policy = policy;
    options.servers = servers;
    options.load = load;
    const auto figures = call_simulation(options).Run();
    const double goodput = Goodput(figures);
    if (policy == call_policy::kRoundRobin) baseline = goodput;
    std::printf(
        "%-22s %-18s %8.0f %7s  %s %s %s %9.2f\n", name.c_str(), label, goodput,
        Ratio(goodput, baseline).c_str(), Share(figures.kinds[0]).c_str(),
        Share(figures.kinds[1]).c_str(), Share(figures.kinds[2]).c_str(),
        static_cast<double>(figures.attempts) / Calls(figures));
  }
}

void CompareAll() {
  std::printf("%-22s %-18s %8s %7s  %6s %6s %6s %9s\n", "scenario", "policy",
              "goodput", "ratio", "lookup", "downl.", "trans.", "att./call");
  for (const double load : {0.5, 1.0, 1.5, 3.0}) {
    std::array<char, 32> name{};
    std::snprintf(name.data(), name.size(), "load x%.1f", load);
    Compare(name.data(), Mixed(load), Servers({}, 0));
  }
  Compare("one 10x slower, x0.5", Mixed(0.5), Servers({.slowness = 10}, 1));
  Compare("one cold, x0.6", Mixed(0.6), Servers({.cold = true}, 1));
  Compare("one crashing, x0.5", Mixed(0.5), Servers({.crashes = true}, 1));
  Compare("two report no load", Mixed(0.8), Servers({.reports_idle = true}, 2));
  Compare("lookup flood", {3.0, 0.1, 0.3}, Servers({}, 0));
  Compare("download flood", {0.2, 3.0, 0.3}, Servers({}, 0));
}

void ComparePoison() {
  std::printf("\npoison request resent for 60 s, 40 servers\n");
  std::printf("%-18s %13s %26s\n", "rule", "servers lost",
              "innocents refused (kills)");
  constexpr std::array kRules{
      std::pair{crash_rule::kNone, "none (baseline)"},
      std::pair{crash_rule::kFirstCrash, "first lone crash"},
      std::pair{crash_rule::kSecondCrash, "second lone crash"}};
  for (const auto& [rule, name] : kRules) {
    const auto figures = RunPoison(rule, 1);
    std::printf("%-18s %13zu %20zu/%zu\n", name, figures.servers_lost,
                figures.innocents_refused, figures.innocents);
  }
  std::printf("\ncalls of the last of %zu levels per call, all failing\n",
              kLevels);
  std::printf("with budget and attempt header  %.2f (run)\n",
              RetryAmplification(kLevels, true));
  std::printf("two retries at each level       %.0f (3^%zu, computed)\n\n",
              RetryAmplification(kLevels, false), kLevels);
}

}  // namespace
}  // namespace pomelohall::bench

int main(int argc, char** argv) {
  pomelohall::bench::CompareAll();
  pomelohall::bench::ComparePoison();
  std::fflush(stdout);
  pomelohall::bench::RunMicrobenchmarks(argc, argv);
  return 0;
}
