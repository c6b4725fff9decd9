#ifndef POMELOHALL_MESH_MESH_MEMBER_H_
#define POMELOHALL_MESH_MESH_MEMBER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace pomelohall {

/// The backend server beside a daemon, as that daemon offers it to others.
struct offered_server {
  std::string instance;  ///< Differs for most starts of a backend server.
  std::string service;
  std::size_t slots = 1;

  bool operator==(const offered_server&) const = default;
};

/// A daemon and what it offers. Each daemon writes its own record to the
/// platform's store when it changes.
struct mesh_member {
  std::string name;               ///< Unique, of the settings.
  std::string data_centre;        ///< Of the settings.
  std::string address;            ///< "ip:port" for requests of other daemons.
  std::uint64_t incarnation = 0;  ///< Differs for each start of the daemon.
  std::optional<offered_server> server;  ///< Nothing while it takes no work.

  bool operator==(const mesh_member&) const = default;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_MESH_MEMBER_H_
