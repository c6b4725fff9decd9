#ifndef POMELOHALL_BACKEND_SRC_CLIENT_CONNECTION_H_
#define POMELOHALL_BACKEND_SRC_CLIENT_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <string>
#include <utility>

#include "base/time.h"

namespace pomelohall {

// A TCP connection of a connection_pool, used by one exchange at a time.
struct client_connection {
  client_connection(boost::asio::io_context& io, std::string to)
      : socket(io), address(std::move(to)) {}

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  std::string address;
  instant idle_since;
  // Idle time after which the peer may close, derived from its Keep-Alive
  // field. 0 if it sent none.
  duration peer_idle_timeout{0};
  // Whether a request was sent on the connection.
  bool used = false;
};

using client_connection_ptr = std::shared_ptr<client_connection>;

}  // namespace pomelohall

#endif  // POMELOHALL_BACKEND_SRC_CLIENT_CONNECTION_H_
