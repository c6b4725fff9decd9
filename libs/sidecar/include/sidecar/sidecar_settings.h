#ifndef POMELOHALL_SIDECAR_SIDECAR_SETTINGS_H_
#define POMELOHALL_SIDECAR_SIDECAR_SETTINGS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace pomelohall {

/// Bounds on roll-outs of a new version of a service.
struct rollout_settings {
  /// Share of the requests of a service that a bad version may get.
  double expose_share = 0.1;
  /// Requests that it may get in addition, over all daemons.
  double expose_slack = 50;
  /// Time after its 50th bad response in which it may still get requests.
  duration rollback_time = std::chrono::seconds(5);
};

/// Bounds on the quotas of tenants.
struct quota_settings {
  duration window = std::chrono::seconds(5);
  double over = 0.1;  ///< Share of the limit that may be exceeded.
  double slack = 20;  ///< Requests that may exceed the limit in addition.
};

/// Settings of a sidecar; docs/SIDECAR_SETTINGS.md describes the file.
struct sidecar_settings {
  std::string name;            ///< Unique among all daemons.
  std::string data_centre;     ///< Data centre of this VM.
  std::string server_address;  ///< "ip:port" of the backend server beside it.
  std::string server_service;  ///< Service of that backend server.

  std::string caller_address;   ///< Listener for callers on this VM.
  std::string forward_address;  ///< Listener for other daemons.
  /// Address that other daemons connect to; `forward_address` if empty.
  std::string advertised_address;
  std::string local_address;    ///< Listener for the backend server.
  std::string ready_address;    ///< Listener for readiness probes.
  std::string metrics_address;  ///< Listener for metrics.

  std::string store_address;  ///< Address of the platform's store.

  /// Bandwidth of the VM's network link in megabits per second. 0 if unknown;
  /// answers are then not paced.
  double link_mbps = 0;

  /// Interval between announcements of a backend server.
  duration announce_interval = std::chrono::milliseconds(1500);
  /// Time for which requests may still reach a backend server that is leaving.
  duration drain_time = std::chrono::seconds(2);
  /// Time from the stop signal until the process is killed.
  duration stop_grace = std::chrono::seconds(6);
  /// Time within which a new configuration has to be active on all daemons.
  duration max_config_delay = std::chrono::seconds(2);
  double retry_ratio = 0.2;  ///< Retries per request, over all daemons.
  duration retry_window = std::chrono::seconds(10);
  /// Retries allowed beyond the ratio in one window.
  double retry_allowance = 50;
  std::optional<rollout_settings> rollouts;  ///< Nothing: no roll-outs.
  std::optional<quota_settings> quotas;      ///< Nothing: no quotas.
};

/// Parses settings from JSON text. Fails with `kInvalidSettings`; the message
/// lists each invalid field with the value found and the values allowed.
/// Unknown fields are invalid.
result<sidecar_settings> ParseSidecarSettings(const std::string& text);

/// Returns the dotted names of all fields, sorted.
std::vector<std::string> SidecarSettingsFields();

/// Reads and parses a settings file.
result<sidecar_settings> LoadSidecarSettings(const std::string& path);

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SIDECAR_SETTINGS_H_
