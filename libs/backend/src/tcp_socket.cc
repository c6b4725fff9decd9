#include "backend/tcp_socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/address.hpp>
#include <boost/system/error_code.hpp>
#include <cerrno>
#include <limits>
#include <string>

namespace pomelohall {

std::optional<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(
    std::string_view address) {
  const auto colon = address.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const auto port = ParseNumber(address.substr(colon + 1));
  if (!port || *port > std::numeric_limits<std::uint16_t>::max()) {
    return std::nullopt;
  }
  auto host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);  // IPv6 in brackets.
  }
  boost::system::error_code failure;
  const auto ip = boost::asio::ip::make_address(std::string(host), failure);
  if (failure) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(*port));
}

bool IsServerAddress(std::string_view address) {
  const auto endpoint = ParseTcpEndpoint(address);
  return endpoint && endpoint->port() != 0;
}

bool IsStale(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const auto read =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return read >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool IsEndedByPeer(boost::asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  return ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                      &size) == 0 &&
         info.tcpi_state == TCP_CLOSE_WAIT;
}

}  // namespace pomelohall
