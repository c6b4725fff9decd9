#include "mesh/route_table.h"

#include <algorithm>
#include <utility>

#include "base/ascii_text.h"

namespace pomelohall {
namespace {

std::string NormalizeHost(std::string_view host) {
  return ToLowerCase(host.substr(0, host.find(':')));
}

}  // namespace

route_table::route_table(mesh_config config) : config_(std::move(config)) {
  current_weights_.resize(config_.routes.size());
  for (std::size_t i = 0; i < config_.routes.size(); ++i) {
    const auto& route = config_.routes[i];
    by_host_[NormalizeHost(route.host)].emplace(route.path_prefix, i);
    current_weights_[i].assign(route.destinations.size(), 0);
  }
}

const route_rule* route_table::Find(std::string_view host,
                                    std::string_view target) const {
  const auto routes = by_host_.find(NormalizeHost(host));
  if (routes == by_host_.end()) return nullptr;
  const auto path = target.substr(0, target.find_first_of("?#"));
  for (auto end = path.rfind('/'); end != std::string_view::npos;
       end = path.rfind('/', end - 1)) {
    const auto found = routes->second.find(path.substr(0, end + 1));
    if (found != routes->second.end()) return &config_.routes[found->second];
    if (end == 0) break;
  }
  return nullptr;
}

const std::string& route_table::NextDestination(const route_rule& route) {
  const auto index = static_cast<std::size_t>(&route - config_.routes.data());
  auto& weights = current_weights_[index];
  double total = 0;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    weights[i] += route.destinations[i].weight;
    total += route.destinations[i].weight;
  }
  const auto best = std::max_element(weights.begin(), weights.end());
  *best -= total;
  return route.destinations[static_cast<std::size_t>(best - weights.begin())]
      .service;
}

}  // namespace pomelohall
