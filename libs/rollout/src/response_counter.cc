#include "rollout/response_counter.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace pomelohall {

void response_counter::SetServer(const std::string& instance,
                                 const std::string& version, instant now) {
  if (report_.instance == instance && report_.version == version) return;
  report_ = {.instance = instance, .version = version, .by_route = {}};
  started_at_ = now;
}

void response_counter::OnResponse(const std::string& route, bool failed,
                                  std::optional<duration> run_time,
                                  instant now) {
  auto& counts = report_.by_route[route];
  ++counts.responses;
  if (failed) ++counts.failures;
  if (failed || !run_time || now - started_at_ < kColdTime) return;
  ++counts.timed;
  counts.time_ms += ToMillis(*run_time);
}

version_report response_counter::Report() const {
  if (report_.by_route.size() <= kMaxRoutes) return report_;
  std::vector<std::pair<std::string, response_counts>> routes(
      report_.by_route.begin(), report_.by_route.end());
  std::nth_element(routes.begin(), routes.begin() + kMaxRoutes, routes.end(),
                   [](const auto& a, const auto& b) {
                     return a.second.responses > b.second.responses;
                   });
  routes.resize(kMaxRoutes);
  return {.instance = report_.instance,
          .version = report_.version,
          .by_route = {routes.begin(), routes.end()}};
}

}  // namespace pomelohall
