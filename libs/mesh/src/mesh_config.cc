#include "mesh/mesh_config.h"

#include <algorithm>

namespace pomelohall {

bool IsUsable(const route_rule& route) {
  const auto is_usable = [](const destination& entry) {
    return !entry.service.empty() && entry.weight > 0 &&
           entry.weight <= kMaxWeight;
  };
  return route.timeout.count() > 0 && route.max_servers > 0 &&
         !route.destinations.empty() &&
         std::all_of(route.destinations.begin(), route.destinations.end(),
                     is_usable);
}

bool IsUsable(const request_limits& limits) {
  return limits.max_header_bytes > 0;
}

}  // namespace pomelohall
