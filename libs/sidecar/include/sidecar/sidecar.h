#ifndef POMELOHALL_SIDECAR_SIDECAR_H_
#define POMELOHALL_SIDECAR_SIDECAR_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "base/error.h"
#include "mesh/local_server.h"
#include "mesh/mesh_config.h"
#include "sidecar/exchange_fields.h"
#include "sidecar/sidecar_settings.h"
#include "sidecar/watched_store.h"

namespace pomelohall {

/// What differs between platforms.
struct sidecar_platform {
  exchange_fields fields;
  watched_store* store = nullptr;  ///< Must outlive the sidecar.
  /// Decodes the object of the configuration collection. Fails with
  /// `kInvalidConfiguration`; the configuration in force then stays.
  std::function<result<mesh_config>(const std::string& spec)> decode_config;
  /// Name of the object that holds the configuration.
  std::string config_name;
};

/// The daemon beside a backend server: takes requests of the callers on its VM,
/// places each on a backend server, and guards the backend server beside it.
/// Needs nothing of its own to survive a restart: configuration and members
/// are in the platform's store. Runs on one thread.
class sidecar {
 public:
  /// @param io Must outlive the sidecar.
  sidecar(boost::asio::io_context& io, sidecar_settings settings,
          const sidecar_platform& platform);
  ~sidecar();
  sidecar(const sidecar&) = delete;
  sidecar& operator=(const sidecar&) = delete;

  /// Starts the listeners for callers and daemons, and the watches.
  result<void> Start();

  /// Applies changed settings. Addresses of listeners stay as they are.
  void Reload(const sidecar_settings& settings);

  /// Stops without breaking off requests: tells that it is not ready, goes on
  /// serving until callers have turned away, then ends what runs. Calls `done`
  /// within the stop grace of the settings.
  void Stop(std::function<void()> done);

  /// Whether callers may send requests here.
  bool IsReady() const;

  /// Takes an announcement of the backend server beside this daemon. From a
  /// leaving one on, it gets no new request.
  /// @return False if the announcement is outdated or of another address.
  bool OnAnnounced(const server_announcement& announcement);
  /// The backend server leaves and will not announce itself again.
  bool OnWithdrawn(const std::string& instance);

  /// Address "ip:port" of the listener for callers, once started.
  const std::string& CallerAddress() const;

  /// Returns counters and histograms as text.
  std::string RenderMetrics();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SIDECAR_H_
