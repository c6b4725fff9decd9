#ifndef POMELOHALL_SETTINGS_DAEMON_SETTINGS_H_
#define POMELOHALL_SETTINGS_DAEMON_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace pomelohall {

/// Addresses of the listeners of a daemon, each "ip:port" or "[ipv6]:port".
struct listener_addresses {
  std::string caller;   ///< HTTP/1.1 from callers.
  std::string forward;  ///< HTTP/1.1 calls from other daemons.
  std::string peer;     ///< Control messages between daemons.
  std::string local;    ///< Announcements, metrics, status and drain.

  bool operator==(const listener_addresses&) const = default;
};

/// Settings for tests only.
struct test_settings {
  /// Peer addresses to and from which all frames are dropped.
  std::vector<std::string> blocked_peers;
  /// Timer interval of the state machines in milliseconds, 1 to 10,000.
  std::uint32_t tick_ms = 100;

  bool operator==(const test_settings&) const = default;
};

/// The settings of `pomelohalld`; docs/SETTINGS.md describes every field.
struct daemon_settings {
  std::string cluster;
  std::string name;  ///< Unique in the cluster.
  std::string region;
  std::string data_centre;
  /// Where the daemon listens. Port 0 selects a free port.
  listener_addresses listeners{"127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0",
                               "127.0.0.1:0"};
  /// Addresses published to other processes. An empty field stands for the
  /// bound address.
  listener_addresses advertised;
  std::vector<std::string> seeds;  ///< Peer addresses of other daemons.
  std::string platform_address;    ///< "ip:port" of the object API.
  std::string platform_namespace = "pomelohall";
  std::string log_level = "info";  ///< "info", "warning" or "error".
  /// Time from SIGTERM until the process is killed, 2 s to 1 h. The default
  /// leaves 60 s, the default deadline of calls, to calls that arrive just
  /// before SIGTERM, and 2 s to end them and the process.
  duration stop_grace = std::chrono::seconds(62);
  test_settings test;
};

/// Parses settings and validates them against the schema. Fails with
/// `kInvalidSettings`; the message has one line per error with the field's JSON
/// pointer, the value found and the allowed values.
result<daemon_settings> ParseDaemonSettings(std::string_view json_text);

/// Reads and parses a settings file. Fails with `kInvalidSettings`, including
/// when the file cannot be read.
result<daemon_settings> LoadDaemonSettings(const std::string& path);

/// Returns the JSON Schema (draft 7) of the settings.
std::string_view DaemonSettingsSchema();

/// Returns the dotted names of all fields that are not objects, such as
/// "platform.address", in alphabetical order.
std::vector<std::string> DaemonSettingsFields();

}  // namespace pomelohall

#endif  // POMELOHALL_SETTINGS_DAEMON_SETTINGS_H_
