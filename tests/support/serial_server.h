#ifndef POMELOHALL_TESTS_SUPPORT_SERIAL_SERVER_H_
#define POMELOHALL_TESTS_SUPPORT_SERIAL_SERVER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <thread>

namespace pomelohall {

/// Accepts connections and serves one at a time, on its own thread.
class serial_server {
 public:
  /// Serves a connection whose first request header has arrived. The connection
  /// is closed when it returns, if it is still open.
  /// @param received The header and what came with it.
  /// @param header_bytes Size of the header.
  using handler = std::function<void(boost::asio::ip::tcp::socket& socket,
                                     const std::string& received,
                                     std::size_t header_bytes)>;

  /// @param receive_buffer_bytes Receive buffer of the connections.
  explicit serial_server(handler serve,
                         std::optional<int> receive_buffer_bytes = {});
  ~serial_server();
  serial_server(const serial_server&) = delete;
  serial_server& operator=(const serial_server&) = delete;

  std::string Address() const;

 private:
  void Serve();
  void ServeOne(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  handler serve_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

/// Reads until the other side closes: closing a socket with unread data resets
/// the connection, which may discard the response.
void ReadToEnd(boost::asio::ip::tcp::socket& socket);

}  // namespace pomelohall

#endif  // POMELOHALL_TESTS_SUPPORT_SERIAL_SERVER_H_
