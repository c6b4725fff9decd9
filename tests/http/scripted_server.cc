#include "scripted_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <utility>

namespace pomelohall {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

// The end of a short response then arrives together with the end of the
// connection. Otherwise, the other side may send its next request in between,
// which gets no response.
void HoldPartialSegment(tcp::socket& socket) {
  const int enabled = 1;
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_CORK, &enabled,
               sizeof(enabled));
}

}  // namespace

scripted_server::scripted_server(script respond)
    : respond_(std::move(respond)),
      server_([this](tcp::socket& socket, const std::string& received,
                     std::size_t) { Serve(socket, received); }) {}

void scripted_server::Serve(tcp::socket& socket, const std::string& header) {
  ++requests_;
  const auto response = respond_(header);
  HoldPartialSegment(socket);
  error_code failure;
  boost::asio::write(socket, boost::asio::buffer(response), failure);
  socket.shutdown(tcp::socket::shutdown_send, failure);
  ReadToEnd(socket);
}

std::string HeaderValue(const std::string& header, const std::string& name) {
  const auto start = header.find("\r\n" + name + ": ");
  if (start == std::string::npos) return {};
  const auto from = start + name.size() + 4;
  return header.substr(from, header.find("\r\n", from) - from);
}

}  // namespace pomelohall
