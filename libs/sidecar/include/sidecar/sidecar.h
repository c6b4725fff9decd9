#ifndef POMELOHALL_SIDECAR_SIDECAR_H_
#define POMELOHALL_SIDECAR_SIDECAR_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "base/error.h"
#include "mesh/local_server.h"
#include "mesh/mesh_config.h"
#include "sidecar/header_field_names.h"
#include "sidecar/rollout_format.h"
#include "sidecar/sidecar_settings.h"
#include "sidecar/watched_store.h"

namespace pomelohall {

/// Platform-specific parts of a sidecar.
struct sidecar_platform {
  header_field_names fields;
  watched_store* store = nullptr;  ///< Must outlive the sidecar.
  /// Decodes the object that holds the configuration. Fails with
  /// `kInvalidConfiguration`; the active configuration then stays.
  std::function<result<mesh_config>(const std::string& spec)> decode_config;
  /// Name of the object that holds the configuration.
  std::string config_name;
  /// Format of roll-outs; null if the store has none. Must outlive the sidecar.
  const rollout_format* rollouts = nullptr;
};

/// Daemon that runs beside a backend server. Routes the requests of callers on
/// its VM to backend servers, and controls admission to the backend server
/// beside it. Keeps no state across restarts: the configuration, and the
/// members with the departures and crashes of their backend servers, are in the
/// platform's store. Runs on one thread.
class sidecar {
 public:
  /// @param io Must outlive the sidecar.
  sidecar(boost::asio::io_context& io, sidecar_settings settings,
          const sidecar_platform& platform);
  /// @pre The I/O context is not run any more: pending handlers refer to the
  /// sidecar.
  ~sidecar();
  sidecar(const sidecar&) = delete;
  sidecar& operator=(const sidecar&) = delete;

  /// Starts the listeners for callers and daemons, and the store watches.
  result<void> Start();

  /// Applies the address and service of the backend server from changed
  /// settings. Listeners and all other settings stay as they are until the next
  /// start.
  void Reload(const sidecar_settings& settings);

  /// Shuts down gracefully: reports not ready, keeps serving until callers have
  /// stopped sending, then lets the requests in progress finish. Calls `done`
  /// within the stop grace period of the settings.
  void Stop(std::function<void()> done);

  /// Whether callers may send requests: a configuration is active and the
  /// sidecar is not stopping.
  bool IsReady() const;

  /// Handles an announcement of the backend server beside this daemon. A
  /// draining backend server gets no new requests.
  announcement_outcome OnAnnounced(const server_announcement& announcement);
  /// Handles the withdrawal of the backend server: it stops and sends no
  /// further announcement.
  /// @return False if `instance` is not the current one.
  bool OnWithdrawn(const std::string& instance);

  /// Waits until the store has the departures of all backend servers that were
  /// draining or withdrawn so far, so that the next process of this daemon
  /// knows them.
  /// @param done Called with false if that takes longer than a backend server
  ///     waits for an acknowledgement; the departures are stored later then.
  void AwaitDepartureStored(std::function<void(bool)> done);

  /// Address "ip:port" of the listener for callers; the actual port once
  /// started.
  const std::string& CallerAddress() const;

  /// Renders all metrics in the Prometheus text format.
  std::string RenderMetrics();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SIDECAR_H_
