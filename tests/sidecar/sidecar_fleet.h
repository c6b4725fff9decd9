#ifndef POMELOHALL_TESTS_SIDECAR_SIDECAR_FLEET_H_
#define POMELOHALL_TESTS_SIDECAR_SIDECAR_FLEET_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fake_store.h"
#include "io_task.h"
#include "platform_adapter/http_watched_store.h"
#include "raw_client.h"
#include "scripted_server.h"
#include "sidecar/sidecar.h"

namespace pomelohall {

/// Sidecars in one data centre on one I/O thread, with a stand-in for the
/// platform's store. Routes of host "test": /safe/ and /order/ to service
/// "shop", one unsafe, the other not.
class sidecar_fleet {
 public:
  sidecar_fleet();
  ~sidecar_fleet();
  sidecar_fleet(const sidecar_fleet&) = delete;
  sidecar_fleet& operator=(const sidecar_fleet&) = delete;

  /// Starts a sidecar beside a backend server of "shop" that announces itself,
  /// or beside none; returns its index.
  std::size_t Add(scripted_server* server, const std::string& service = "shop");
  /// Writes the configuration; `version` is a number.
  void Configure(int version);
  /// Waits until each sidecar is ready and knows as many offering members.
  void WaitUntilKnown(std::size_t sidecars);
  /// The backend server beside a sidecar tells that it leaves.
  void AnnounceLeaving(std::size_t index);
  /// Stops a sidecar; the future is ready when it has ended.
  std::future<void> Stop(std::size_t index);

  /// Sends a request to a sidecar on a new connection.
  raw_answer Call(std::size_t index, const std::string& method,
                  const std::string& target, const std::string& fields = "",
                  const std::string& body = "");
  std::string CallerAddress(std::size_t index);
  bool IsReady(std::size_t index);
  /// A whole signed answer of a backend server.
  static std::string Signed(int status, const std::string& id,
                            const std::string& body);

  template <typename Action>
  auto OnIo(Action action) {
    return RunOnIo(io_, std::move(action));
  }

 protected:
  struct node {
    std::unique_ptr<platform_adapter::http_watched_store> store;
    std::unique_ptr<sidecar> process;
    server_announcement announcement;
  };

  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::unique_ptr<platform_adapter::fake_store> store_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::thread thread_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_TESTS_SIDECAR_SIDECAR_FLEET_H_
