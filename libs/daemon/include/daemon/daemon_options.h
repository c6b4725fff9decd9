#ifndef POMELOHALL_DAEMON_DAEMON_OPTIONS_H_
#define POMELOHALL_DAEMON_DAEMON_OPTIONS_H_

#include <string>
#include <vector>

namespace pomelohall {

/// Everything that a daemon learns from its settings. Addresses are "ip:port".
struct daemon_options {
  std::string cluster;
  std::string name;  ///< Unique in the cluster.
  std::string region;
  std::string data_centre;
  std::string caller_address = "127.0.0.1:0";
  std::string forward_address = "127.0.0.1:0";
  std::string peer_address = "127.0.0.1:0";
  std::string local_address = "127.0.0.1:0";
  std::vector<std::string> seeds;  ///< Peer addresses of other daemons.
  std::string platform_address;
  std::string platform_namespace;
  /// Test setting: peer addresses with which no frame is exchanged.
  std::vector<std::string> blocked_peers;
};

}  // namespace pomelohall

#endif  // POMELOHALL_DAEMON_DAEMON_OPTIONS_H_
