#ifndef POMELOHALL_DAEMON_DAEMON_H_
#define POMELOHALL_DAEMON_DAEMON_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "base/error.h"
#include "settings/daemon_settings.h"

namespace pomelohall {

/// Combines the data path, control plane, peer transport and local API of one
/// VM. All member functions must be called on the thread of the I/O context.
///
/// Example:
/// @code
/// boost::asio::io_context io;
/// pomelohall::daemon daemon(io, settings);
/// if (auto started = daemon.Start(); !started) return Report(started.error());
/// // On SIGTERM: daemon.Stop([&io] { io.stop(); });
/// io.run();
/// @endcode
class daemon {
 public:
  /// @param io Must outlive the daemon.
  daemon(boost::asio::io_context& io, daemon_settings settings);
  ~daemon();
  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;

  /// Opens all listeners and joins the cluster. Fails with `kInvalidSettings`
  /// or `kPeerUnreachable` if an address cannot be bound.
  result<void> Start();

  /// Shuts down gracefully: announces that the backend server is draining,
  /// refuses new calls, waits for the calls in flight, leaves the cluster, then
  /// calls `done`, within `stop_grace` of the settings. Repeated calls are
  /// ignored.
  void Stop(std::function<void()> done);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_DAEMON_DAEMON_H_
