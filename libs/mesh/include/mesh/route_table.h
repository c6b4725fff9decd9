#ifndef POMELOHALL_MESH_ROUTE_TABLE_H_
#define POMELOHALL_MESH_ROUTE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mesh/mesh_config.h"

namespace pomelohall {

/// Finds routes of one configuration, and divides the requests of a route among
/// its destinations. Not thread-safe.
class route_table {
 public:
  explicit route_table(mesh_config config);

  std::uint64_t Version() const { return config_.version; }
  const mesh_config& Config() const { return config_; }

  /// Returns the route of `host` with the longest prefix of `target`, or null.
  /// @param host Value of the Host field; case and port do not matter.
  /// @param target Path with query.
  const route_rule* Find(std::string_view host, std::string_view target) const;

  /// Returns the destination of the next request of `route`. Smooth weighted
  /// round robin keeps the shares exact over any short run of requests, where a
  /// random draw needs hundreds of requests to come close.
  const std::string& NextDestination(const route_rule& route);

 private:
  using prefix_map = std::map<std::string, std::size_t, std::less<>>;

  mesh_config config_;
  std::unordered_map<std::string, prefix_map> by_host_;
  std::vector<std::vector<double>> credits_;  ///< By route and destination.
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_ROUTE_TABLE_H_
