#ifndef POMELOHALL_TESTS_SIDECAR_CONCURRENT_SERVER_H_
#define POMELOHALL_TESTS_SIDECAR_CONCURRENT_SERVER_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace pomelohall {

/// Bytes that a concurrent_server sends in response to a request.
struct scripted_reply {
  std::string bytes;
  std::chrono::milliseconds delay{0};  ///< Time before the bytes are sent.
  bool close = false;  ///< Whether the connection is closed after them.
  bool reset = false;  ///< Whether it is reset instead of closed.
  /// Whether the server crashes instead of sending anything, see Crash().
  bool crash = false;
  /// Bytes that are sent when the next request on the connection has arrived,
  /// directly before the response to it.
  std::string before_next_response{};
  /// Bytes that are sent after `late_delay` without a request. The next request
  /// must arrive later.
  std::string late_bytes{};
  std::chrono::milliseconds late_delay{0};
  /// If not 0, `bytes` are sent in pieces of this size at an interval.
  std::size_t piece_bytes = 0;
  std::chrono::milliseconds piece_interval{0};
};

/// A backend server that keeps connections open and serves them concurrently on
/// its own thread. Reads request bodies with a Content-Length or in chunks and
/// discards them; the content must not look like the last chunk.
class concurrent_server {
 public:
  /// Returns the response to a request header. Called on the server's thread
  /// once the whole request has arrived.
  using script = std::function<scripted_reply(const std::string& header)>;

  explicit concurrent_server(script respond);
  ~concurrent_server();
  concurrent_server(const concurrent_server&) = delete;
  concurrent_server& operator=(const concurrent_server&) = delete;

  std::string Address() const;
  /// Resets all connections and refuses new ones until Start().
  void Crash();
  /// Listens again after a crash.
  void Start();
  /// Whether the server has crashed and was not started again.
  bool IsDown() const { return down_; }

  /// Number of requests that arrived.
  int Requests() const { return requests_; }
  /// Number of connections that were accepted.
  int Connections() const { return connections_; }
  /// Number of connections that the other side closed or reset.
  int ConnectionsLost() const { return connections_lost_; }
  /// Number of times that `late_bytes` were sent.
  int LateWrites() const { return late_writes_; }

 private:
  struct connection;

  void Listen();
  void CrashOnThread();
  void Accept();
  void ReadHeader(const std::shared_ptr<connection>& served);
  void ReadBody(const std::shared_ptr<connection>& served,
                std::size_t header_bytes);
  void Run(const std::shared_ptr<connection>& served,
           const std::string& header);
  void Respond(const std::shared_ptr<connection>& served);
  void OnResponded(const std::shared_ptr<connection>& served);

  script respond_;
  std::atomic<int> requests_{0};
  std::atomic<int> connections_{0};
  std::atomic<int> connections_lost_{0};
  std::atomic<int> late_writes_{0};
  std::atomic<bool> down_{false};
  boost::asio::io_context io_{1};
  // There is no other work while the server is down.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint endpoint_;  ///< Kept over crashes.
  std::vector<std::weak_ptr<connection>> accepted_;
  std::thread thread_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_TESTS_SIDECAR_CONCURRENT_SERVER_H_
