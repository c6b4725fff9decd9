#ifndef POMELOHALL_TESTS_SIDECAR_CRASHING_SERVER_H_
#define POMELOHALL_TESTS_SIDECAR_CRASHING_SERVER_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>

namespace pomelohall {

/// A backend server that some requests crash: it resets all connections and
/// refuses new ones until it is started again. Runs on its own thread.
class crashing_server {
 public:
  /// Returns whether the request with the given header crashes the server.
  using predicate = std::function<bool(const std::string& header)>;

  /// @param crashes Called on the server's thread.
  /// @param run_time Time until the response to any other request.
  crashing_server(predicate crashes, std::chrono::milliseconds run_time);
  ~crashing_server();
  crashing_server(const crashing_server&) = delete;
  crashing_server& operator=(const crashing_server&) = delete;

  std::string Address() const;
  /// Whether the server has crashed and was not started again.
  bool IsDown() const { return down_; }
  /// Number of requests that crashed it.
  int Crashes() const { return crashes_; }

  /// Crashes the server without a request.
  void Crash();
  /// Starts a crashed server again.
  void Start();

 private:
  struct connection;

  void Listen();
  void Accept();
  void Read(const std::shared_ptr<connection>& served);
  void Run(const std::shared_ptr<connection>& served,
           const std::string& header);
  void CrashOnThread();

  const predicate crashes_on_;
  const std::chrono::milliseconds run_time_;
  std::atomic<bool> down_{false};
  std::atomic<int> crashes_{0};
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint endpoint_;
  std::set<std::shared_ptr<connection>> connections_;
  std::thread thread_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_TESTS_SIDECAR_CRASHING_SERVER_H_
