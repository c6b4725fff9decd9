#ifndef POMELOHALL_CALLER_CALL_SERVICE_H_
#define POMELOHALL_CALLER_CALL_SERVICE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/error.h"
#include "caller/call_service_options.h"
#include "quarantine/quarantine.h"
#include "routing/snapshot.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace pomelohall {

/// What a call_service does at present, and its counters since its start.
struct call_service_status {
  config_version version = 0;  ///< Of the snapshot; 0 before the first one.
  bool draining = false;
  std::size_t caller_connections = 0;
  std::size_t forward_connections = 0;
  std::size_t backend_connections = 0;
  std::size_t entry_calls = 0;   ///< Calls of callers in progress.
  std::size_t owner_queued = 0;  ///< Waiting for the backend server.
  std::size_t owner_running = 0;
  std::uint32_t owner_limit = 0;  ///< Concurrency limit at present.
  std::uint64_t calls = 0;        ///< Calls of callers, ended.
  std::uint64_t attempts = 0;  ///< Attempts of these calls, retries included.
  std::uint64_t backend_crashes = 0;
  /// Errors that callers were told, by error_kind.
  std::array<std::uint64_t, static_cast<std::size_t>(error_kind::kInternal) + 1>
      errors{};
};

/// The data path of a daemon: takes calls from callers (entry) and from other
/// daemons (owner), and sends them to the backend server of this VM. All
/// functions are to be called on the thread of the I/O context.
class call_service {
 public:
  /// @param io Must outlive the service.
  call_service(boost::asio::io_context& io, call_service_options options);
  /// Closes all connections. Call Stop() before to let requests end.
  ~call_service();
  call_service(const call_service&) = delete;
  call_service& operator=(const call_service&) = delete;

  /// Starts both listeners. Fails with `kInvalidSettings`.
  result<void> Start();

  /// Addresses in use, "ip:port". Start() must have succeeded.
  std::string CallerAddress() const;
  std::string ForwardAddress() const;

  /// Puts a snapshot into force. Calls before the first one are answered
  /// `kConfigUnknown`. Calls in progress keep theirs.
  void SetSnapshot(snapshot_ptr next);

  /// Takes a change of the quarantine from another daemon.
  void ApplySuspect(const suspect_event& event);

  /// To be called when what `options.backend` returns has changed.
  void OnBackendChanged();

  /// Stops gracefully: no new connections of callers, new work of other
  /// daemons is refused with `kDraining`, all calls in progress end. Then calls
  /// `done`.
  void Stop(std::function<void()> done);

  call_service_status Status() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_CALL_SERVICE_H_
