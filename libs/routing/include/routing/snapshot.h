#ifndef POMELOHALL_ROUTING_SNAPSHOT_H_
#define POMELOHALL_ROUTING_SNAPSHOT_H_

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "membership/member_record.h"
#include "model/configuration.h"
#include "model/image.h"

namespace pomelohall {

/// A backend server as a routing target. It is reached through its owner daemon
/// on the same VM.
struct server_entry {
  std::string member;  ///< Name of the owner daemon.
  std::string data_centre;
  std::string region;
  std::string forward_address;  ///< "ip:port" of the owner daemon.
  std::uint64_t incarnation = 0;
  std::uint32_t slots = 0;
  bool reachable = true;  ///< False while its data centre is unreachable.
};

/// A service and its ready backend servers.
struct service_entry {
  std::string name;
  std::vector<server_entry> servers;
};

/// A class of work and the index of its service.
struct class_entry {
  work_class definition;
  std::size_t service = 0;  ///< Index into snapshot::services.
};

/// A route and the index of its class.
struct route_entry {
  std::string path_prefix;
  std::string method;          ///< Empty: any method.
  std::size_t work_class = 0;  ///< Index into snapshot::classes.
};

/// Routing state of the data path, built from one configuration version and one
/// view of the membership. Immutable; replaced as a whole, so that a route
/// never refers to a class, service or backend server that it does not contain.
struct snapshot {
  config_version version = 0;
  std::vector<service_entry> services;
  std::vector<class_entry> classes;
  std::vector<route_entry> routes;  ///< Longest prefix first.
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

/// Builds a snapshot. Members that are dead, have left or have no ready backend
/// server are omitted. `unreachable` holds the names of unreachable data
/// centres; their servers are kept and marked.
/// @param document A valid configuration (see Validate()).
snapshot_ptr BuildSnapshot(config_version version,
                           const configuration& document,
                           const std::vector<member_record>& members,
                           const std::vector<std::string>& unreachable);

/// Returns the class of a request, or `kNoRoute`.
/// @param path Request target without the query.
result<const class_entry*> FindClass(const snapshot& snapshot,
                                     std::string_view method,
                                     std::string_view path);

}  // namespace pomelohall

#endif  // POMELOHALL_ROUTING_SNAPSHOT_H_
