#include "serial_server.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/system/error_code.hpp>
#include <sstream>
#include <utility>

namespace pomelohall {

using boost::asio::ip::tcp;
using boost::system::error_code;

serial_server::serial_server(handler serve,
                             std::optional<int> receive_buffer_bytes)
    : acceptor_(io_, tcp::v4()), serve_(std::move(serve)) {
  if (receive_buffer_bytes) {
    // Accepted connections inherit it.
    acceptor_.set_option(
        boost::asio::socket_base::receive_buffer_size(*receive_buffer_bytes));
  }
  acceptor_.bind({boost::asio::ip::address_v4::loopback(), 0});
  acceptor_.listen();
  thread_ = std::thread([this] { Serve(); });
}

serial_server::~serial_server() {
  stopping_ = true;
  // Unblocks accept().
  tcp::socket connection(io_);
  error_code ignored;
  connection.connect(acceptor_.local_endpoint(), ignored);
  thread_.join();
}

std::string serial_server::Address() const {
  std::ostringstream text;
  text << acceptor_.local_endpoint();
  return text.str();
}

void serial_server::Serve() {
  while (!stopping_) {
    error_code failure;
    tcp::socket socket(io_);
    acceptor_.accept(socket, failure);
    if (!failure && !stopping_) ServeOne(std::move(socket));
  }
}

void serial_server::ServeOne(tcp::socket socket) {
  std::string received;
  error_code failure;
  const auto header_bytes = boost::asio::read_until(
      socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", failure);
  if (!failure) serve_(socket, received, header_bytes);
}

void ReadToEnd(tcp::socket& socket) {
  std::array<char, 4096> bytes{};
  error_code failure;
  while (!failure) socket.read_some(boost::asio::buffer(bytes), failure);
}

}  // namespace pomelohall
