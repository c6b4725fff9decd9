#ifndef POMELOHALL_TESTS_SIDECAR_ENDLESS_SERVER_H_
#define POMELOHALL_TESTS_SIDECAR_ENDLESS_SERVER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <string>
#include <thread>

namespace pomelohall {

/// A backend server that sends the same bytes over and over after a start,
/// until the other side closes. Serves each connection on the same thread.
class endless_server {
 public:
  endless_server(std::string start, const std::string& repeated);
  ~endless_server();
  endless_server(const endless_server&) = delete;
  endless_server& operator=(const endless_server&) = delete;

  std::string Address() const;
  /// Number of connections on which it is sending.
  int OpenConnections() const { return open_connections_; }

 private:
  struct connection;

  void Accept();
  void Serve(const std::shared_ptr<connection>& served);
  void Send(const std::shared_ptr<connection>& served);

  const std::string start_;
  const std::string block_;
  std::atomic<int> open_connections_{0};
  boost::asio::io_context io_{1};
  boost::asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_TESTS_SIDECAR_ENDLESS_SERVER_H_
