#include "rollout/version_comparison.h"

#include <cstdio>

namespace pomelohall {
namespace {

std::string Describe(const char* what, double value, double other) {
  char text[96];
  std::snprintf(text, sizeof text, "%s %.2f, other versions %.2f", what, value,
                other);
  return text;
}

}  // namespace

void version_comparison::OnReport(const version_report& report) {
  reports_[report.instance] = report;
}

std::string version_comparison::FindFault(const response_counts& counts,
                                          const response_counts& others) const {
  const double allowed =
      options_.failure_factor * others.FailureShare() + options_.failure_margin;
  if (counts.failures >= options_.min_failures &&
      counts.FailureShare() > allowed) {
    return Describe("share of failures", counts.FailureShare(),
                    others.FailureShare());
  }
  if (counts.timed >= options_.min_timed &&
      others.timed >= options_.min_timed_others &&
      counts.MeanTimeMs() > options_.time_factor * others.MeanTimeMs() &&
      counts.MeanTimeMs() > others.MeanTimeMs() + options_.time_margin_ms) {
    return Describe("mean run time in ms", counts.MeanTimeMs(),
                    others.MeanTimeMs());
  }
  return {};
}

std::string version_comparison::FindFault(
    const version_report& report,
    const std::map<std::string, response_counts>& others) const {
  response_counts total;
  response_counts other_total;
  for (const auto& [route, counts] : report.by_route) {
    const auto found = others.find(route);
    const auto other =
        found == others.end() ? response_counts() : found->second;
    if (const auto fault = FindFault(counts, other); !fault.empty())
      return std::string("route ").append(route).append(": ").append(fault);
    total += counts;
    other_total += other;
  }
  // Over all routes only failures compare: the shares of the routes differ.
  total.timed = 0;
  return FindFault(total, other_total);
}

version_verdict version_comparison::Judge(const std::string& target_version,
                                          std::size_t target_servers) const {
  version_verdict verdict;
  std::map<std::string, response_counts> others;
  version_report together{
      .instance = {}, .version = target_version, .by_route = {}};
  for (const auto& [instance, report] : reports_) {
    const bool is_target = report.version == target_version;
    for (const auto& [route, counts] : report.by_route) {
      (is_target ? verdict.target : verdict.others) += counts;
      (is_target ? together.by_route : others)[route] += counts;
    }
  }
  std::string reason;
  for (const auto& [instance, report] : reports_) {
    if (report.version != target_version) continue;
    response_counts total;
    for (const auto& [route, counts] : report.by_route) total += counts;
    if (total.responses < options_.min_responses) continue;
    ++verdict.judged_servers;
    if (const auto fault = FindFault(report, others); !fault.empty()) {
      ++verdict.bad_servers;
      reason = fault;
    }
  }
  const bool majority = 2 * verdict.bad_servers > verdict.judged_servers;
  // A single server decides only if it is the only one.
  const bool enough = verdict.judged_servers > 1 || target_servers == 1;
  if (majority && enough) {
    verdict.is_bad = true;
    verdict.reason = reason;
  } else if (verdict.target.failures >= options_.max_failures) {
    verdict.reason = FindFault(together, others);
    verdict.is_bad = !verdict.reason.empty();
  }
  return verdict;
}

}  // namespace pomelohall
