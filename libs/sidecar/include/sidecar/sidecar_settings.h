#ifndef POMELOHALL_SIDECAR_SIDECAR_SETTINGS_H_
#define POMELOHALL_SIDECAR_SIDECAR_SETTINGS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace pomelohall {

/// Settings of a sidecar; docs/SIDECAR_SETTINGS.md describes the file.
struct sidecar_settings {
  std::string name;            ///< Unique among the daemons.
  std::string data_centre;     ///< Of this VM.
  std::string server_address;  ///< "ip:port" of the backend server beside it.
  std::string server_service;  ///< Service of that backend server.

  std::string caller_address;   ///< Listener for callers on this VM.
  std::string forward_address;  ///< Listener for other daemons.
  /// Address that other daemons use; empty: `forward_address`.
  std::string advertised_address;
  std::string local_address;    ///< Listener for the backend server.
  std::string ready_address;    ///< Listener for readiness checks.
  std::string metrics_address;  ///< Listener for metrics.

  std::string store_address;  ///< Of the platform's store.

  /// Rate of the VM's network link in megabits a second; 0 if it is not known,
  /// and answers then leave without a pace.
  double link_mbps = 0;

  /// Time between two announcements of a backend server.
  duration announce_interval = std::chrono::milliseconds(1500);
  /// A leaving backend server may get requests for this time.
  duration drain_time = std::chrono::seconds(2);
  /// Time from the signal to stop until the process is killed.
  duration stop_grace = std::chrono::seconds(6);
  /// Time in which a configuration has to be in force.
  duration apply_time = std::chrono::seconds(2);
  /// Time after a fault within which connections have to work again.
  duration contact_time = std::chrono::seconds(3);
  double retry_ratio = 0.2;  ///< Repeats for each request, over all daemons.
  duration retry_window = std::chrono::seconds(10);
  double retry_allowance = 50;  ///< Repeats beyond the ratio in a window.
};

/// Reads settings from JSON text. Fails with `kInvalidSettings`; the message
/// names each field, what was found and what is allowed. Unknown fields are
/// refused.
result<sidecar_settings> ParseSidecarSettings(const std::string& text);

/// Returns the dotted names of all fields, sorted.
std::vector<std::string> SidecarSettingsFields();

/// Reads settings from a file.
result<sidecar_settings> LoadSidecarSettings(const std::string& path);

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SIDECAR_SETTINGS_H_
