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

/// Current state of a call_service, and its counters since the start.
struct call_service_status {
  config_version version = 0;  ///< Version of the snapshot; 0 before the first.
  bool draining = false;
  std::size_t caller_connections = 0;
  std::size_t forward_connections = 0;
  std::size_t backend_connections = 0;
  std::size_t entry_calls = 0;   ///< Calls of callers in progress.
  std::size_t owner_queued = 0;  ///< Queued for the backend server.
  std::size_t owner_running = 0;
  std::uint32_t owner_limit = 0;  ///< Current concurrency limit.
  std::uint64_t calls = 0;        ///< Finished calls of callers.
  std::uint64_t attempts = 0;     ///< Attempts of calls, including retries.
  std::uint64_t backend_crashes = 0;
  /// Errors reported to callers, indexed by error_kind.
  std::array<std::uint64_t, static_cast<std::size_t>(error_kind::kInternal) + 1>
      errors{};
};

/// Data path of a daemon. As the entry daemon it receives calls from callers
/// and routes them to an owner; as the owner it receives calls from entry
/// daemons and sends them to the backend server of this VM. All functions must
/// be called on the thread of the I/O context.
class call_service {
 public:
  /// @param io Must outlive the service.
  call_service(boost::asio::io_context& io, call_service_options options);
  /// Closes all connections. Call Stop() first to complete requests in
  /// progress.
  ~call_service();
  call_service(const call_service&) = delete;
  call_service& operator=(const call_service&) = delete;

  /// Starts both listeners. Fails with `kInvalidSettings` if an address is
  /// malformed or in use.
  result<void> Start();

  /// Bound addresses, "ip:port". Start() must have succeeded.
  std::string CallerAddress() const;
  std::string ForwardAddress() const;

  /// Activates a snapshot. Calls fail with `kConfigUnknown` before the first
  /// one. Calls in progress keep the snapshot they started with.
  void SetSnapshot(snapshot_ptr next);

  /// Applies a quarantine change that another daemon reported.
  void ApplySuspect(const suspect_event& event);

  /// Must be called when the result of `options.backend` has changed.
  void OnBackendChanged();

  /// Stops gracefully: accepts no new connections of callers, rejects new calls
  /// of other daemons with `kDraining`, completes the calls in progress, then
  /// calls `done`. Calls that cannot complete within `options.stop_time` get an
  /// error before, and connections that are still open at its end are closed.
  void Stop(std::function<void()> done);

  call_service_status Status() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_CALL_SERVICE_H_
