#ifndef POMELOHALL_TESTS_SIDECAR_SIDECAR_FLEET_H_
#define POMELOHALL_TESTS_SIDECAR_SIDECAR_FLEET_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fake_store.h"
#include "platform_adapter/http_watched_store.h"
#include "platform_adapter/rollout_objects.h"
#include "raw_client.h"
#include "run_on_io.h"
#include "scripted_server.h"
#include "sidecar/sidecar.h"
#include "slow_link_proxy.h"

namespace pomelohall {

/// Test fixture with sidecars of one data centre and a fake of the platform's
/// store, all on one I/O thread. The published configuration routes requests to
/// host "test" to the service "shop". Requests below /safe/ are idempotent,
/// those below /order/ are not, and those below /file/ are downloads.
class sidecar_fleet {
 public:
  sidecar_fleet();
  ~sidecar_fleet();
  sidecar_fleet(const sidecar_fleet&) = delete;
  sidecar_fleet& operator=(const sidecar_fleet&) = delete;

  /// Starts a sidecar and announces its backend server, if any. Returns the
  /// index of the sidecar.
  /// @param server Backend server on the VM of the sidecar, or null for none.
  template <typename Server>
  std::size_t AddSidecar(Server* server, const std::string& service = "shop") {
    return AddSidecarFor(server == nullptr ? "" : server->Address(), service);
  }
  std::size_t AddSidecar(std::nullptr_t, const std::string& service = "shop") {
    return AddSidecarFor("", service);
  }
  /// Writes the configuration to the store under the given version.
  /// @param added_prefix Path prefix of a further route; empty for none.
  /// @param added_kind Kind of that route.
  void PublishConfig(int version, const std::string& added_prefix = "",
                     const char* added_kind = "safe");
  /// Waits until all sidecars are ready, and at least `server_count` backend
  /// servers are offered in the store and known to all sidecars.
  void WaitUntilOffered(std::size_t server_count);
  /// Announces all backend servers again, as they do about once a second.
  /// Otherwise they would be taken as gone during a long test.
  void AnnounceAgain();
  /// Announces to a sidecar that its backend server is draining.
  void AnnounceDraining(std::size_t index);
  /// Starts to stop a sidecar. The future becomes ready when it has stopped.
  std::future<void> Stop(std::size_t index);
  /// Stops a sidecar and starts another process of it, which knows nothing of
  /// before. Its backend server is not announced.
  void Restart(std::size_t index);
  /// Acknowledges the withdrawal of a backend server as the endpoints of the
  /// sidecar do. Returns whether it was acknowledged.
  bool Withdraw(std::size_t index, const std::string& instance);
  /// Returns whether the store has all departures of a sidecar in time.
  bool AwaitDepartureStored(std::size_t index);

  /// Sends a request to a sidecar on a new connection.
  raw_response Call(std::size_t index, const std::string& method,
                    const std::string& target, const std::string& fields = "",
                    const std::string& body = "");
  std::string CallerAddress(std::size_t index);
  bool IsReady(std::size_t index);
  /// Returns a complete response with the signature of a backend server.
  static std::string SignedResponse(int status, const std::string& id,
                                    const std::string& body);
  /// Returns a successful response to the request with the given header.
  static std::string OkResponse(const std::string& header);

  template <typename Action>
  auto RunOnIoThread(Action action) {
    return RunOnIo(io_, std::move(action));
  }

 protected:
  // @param server_address Address of the backend server, empty for none.
  std::size_t AddSidecarFor(const std::string& server_address,
                            const std::string& service);

  /// Rate of the link of sidecars added from now on; 0 if unknown.
  double link_mbps_ = 0;
  /// Limits of the rate, in bytes per second, at which sidecars added from now
  /// on receive from the store and send to other daemons; 0 for none.
  double store_link_rate_ = 0;
  double forward_link_rate_ = 0;
  /// Grace of a stop of sidecars added from now on.
  duration stop_grace_ = sidecar_settings().stop_grace;
  /// Bound on configuration of sidecars added from now on.
  duration max_config_delay_ = std::chrono::seconds(2);
  /// Slots that the backend servers of sidecars added from now on announce.
  std::size_t slots_ = 18;
  /// Header limit of configurations published from now on.
  std::size_t max_header_bytes_ = 16'384;
  /// Body limit of configurations published from now on.
  std::size_t max_body_bytes_ = 100'000;
  /// Further routes of configurations published from now on.
  int idle_routes_ = 0;
  /// Tenants of configurations published from now on; null for none. A route
  /// below /open/ is public then.
  nlohmann::json tenants_;
  /// Bounds of sidecars added from now on.
  std::optional<rollout_settings> rollouts_;
  std::optional<quota_settings> quotas_;
  /// Version that backend servers added from now on announce.
  std::string server_version_ = "v1";
  /// Time-out of the routes of configurations published from now on.
  std::chrono::milliseconds route_timeout_{3000};
  /// Latency target of these routes.
  std::chrono::milliseconds latency_target_{1000};

  struct sidecar_node {
    std::unique_ptr<slow_link_proxy> store_link;
    std::unique_ptr<slow_link_proxy> forward_link;
    std::unique_ptr<platform_adapter::http_watched_store> store;
    std::unique_ptr<sidecar> daemon;
    server_announcement announcement;
    std::string server_address;  ///< Empty for none.
    std::string service;
  };

  std::unique_ptr<sidecar_node> StartNode(std::size_t index,
                                          const std::string& server_address,
                                          const std::string& service);

  const platform_adapter::rollout_objects rollout_objects_;
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard_;
  std::unique_ptr<platform_adapter::fake_store> store_;
  std::vector<std::unique_ptr<sidecar_node>> nodes_;
  /// Their handlers may still be queued.
  std::vector<std::unique_ptr<sidecar_node>> stopped_nodes_;
  std::thread io_thread_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_TESTS_SIDECAR_SIDECAR_FLEET_H_
