#ifndef POMELOHALL_TESTS_HTTP_MESH_FIXTURE_H_
#define POMELOHALL_TESTS_HTTP_MESH_FIXTURE_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "backend_stub/stub_server.h"
#include "caller/call_service.h"
#include "run_on_io.h"

namespace pomelohall {

/// Daemons and their backend servers on one I/O thread. The configuration has
/// the service "shop" with the classes "look" (lookup, /look), "file"
/// (download, /file) and "order" (transaction, /order).
class mesh_fixture {
 public:
  struct node {
    std::unique_ptr<stub_server> stub;
    std::unique_ptr<call_service> service;
    backend_view view;
    std::string caller_address;
    std::string forward_address;
    /// State of the backend server in the snapshots.
    backend_state published = backend_state::kNone;
  };

  mesh_fixture();
  ~mesh_fixture();
  mesh_fixture(const mesh_fixture&) = delete;
  mesh_fixture& operator=(const mesh_fixture&) = delete;

  /// Adds a daemon without a backend server; returns its index.
  std::size_t AddDaemon(
      const std::function<void(call_service_options&)>& adjust = nullptr);
  /// Adds a backend server to daemon `index`.
  void AddBackend(std::size_t index, stub_options options = {});
  /// Announces a backend server that the test runs itself.
  void SetBackend(std::size_t index, const std::string& address,
                  std::uint32_t slots = 20);
  /// Closes a backend server and all its connections like a crash.
  void CrashBackend(std::size_t index);
  /// Changes the state of a backend server at its daemon, but not in the
  /// snapshots.
  void SetBackendState(std::size_t index, backend_state state);
  /// Sets a snapshot of the current members on all daemons.
  void PublishSnapshot();

  /// Runs `action` on the I/O thread and returns its result.
  template <typename Action>
  auto RunOnIoThread(Action action) {
    return RunOnIo(io_, std::move(action));
  }

  /// Waits until `condition`, evaluated on the I/O thread, holds. Has no
  /// timeout of its own; the test runner's applies.
  void WaitUntil(const std::function<bool()>& condition);

  node& At(std::size_t index) { return *nodes_[index]; }
  const std::string& CallerAddress(std::size_t index) {
    return nodes_[index]->caller_address;
  }
  call_service_status Status(std::size_t index);
  boost::asio::io_context& Io() { return io_; }
  /// Observations of all daemons so far.
  std::vector<call_observation> Observations();
  /// Quarantine events of all daemons so far.
  std::vector<suspect_event> QuarantineEvents();
  /// Sets whether quarantine events are sent to the other daemons. Default:
  /// true.
  void SetEventBroadcast(bool enabled) { broadcast_events_ = enabled; }

 private:
  std::string NameOf(std::size_t index) const;
  void Broadcast(std::size_t from, const suspect_event& event);

  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::mutex mutex_;
  std::vector<call_observation> observations_;
  std::vector<suspect_event> quarantine_events_;
  bool broadcast_events_ = true;
  std::uint64_t version_ = 0;
  std::thread thread_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_TESTS_HTTP_MESH_FIXTURE_H_
