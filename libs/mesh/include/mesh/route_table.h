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
#include "tenancy/tenant_directory.h"

namespace pomelohall {

/// Looks up the routes of one configuration, and distributes the requests of a
/// route over its destinations. Not thread-safe.
class route_table {
 public:
  explicit route_table(mesh_config config);
  route_table(const route_table&) = delete;
  route_table& operator=(const route_table&) = delete;

  std::uint64_t Version() const { return config_.version; }
  const mesh_config& Config() const { return config_; }
  const tenant_directory& Tenants() const { return tenants_; }

  /// Returns the route of `host` with the longest prefix of `target`, or null.
  /// @param host Value of the Host header; case and port are ignored.
  /// @param target Path with an optional query.
  const route_rule* Find(std::string_view host, std::string_view target) const;

  /// Returns the destination of the next request of `route` by smooth weighted
  /// round robin. It matches the weights within a few requests, whereas random
  /// selection takes hundreds.
  /// @param route A route returned by Find() of this table.
  const std::string& NextDestination(const route_rule& route);

 private:
  using prefix_map = std::map<std::string, std::size_t, std::less<>>;

  mesh_config config_;
  tenant_directory tenants_{config_.tenants};
  std::unordered_map<std::string, prefix_map> by_host_;
  // By route and destination.
  std::vector<std::vector<double>> current_weights_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_ROUTE_TABLE_H_
