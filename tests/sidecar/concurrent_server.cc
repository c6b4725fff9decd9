#include "concurrent_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/system/error_code.hpp>
#include <sstream>
#include <utility>

namespace pomelohall {

using boost::asio::ip::tcp;
using boost::system::error_code;

struct concurrent_server::connection {
  explicit connection(tcp::socket accepted)
      : socket(std::move(accepted)), timer(socket.get_executor()) {}

  tcp::socket socket;
  boost::asio::steady_timer timer;
  std::string input;
  scripted_reply reply;
};

concurrent_server::concurrent_server(script respond)
    : respond_(std::move(respond)),
      acceptor_(io_,
                tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
  Accept();
  thread_ = std::thread([this] { io_.run(); });
}

concurrent_server::~concurrent_server() {
  io_.stop();
  thread_.join();
}

std::string concurrent_server::Address() const {
  std::ostringstream text;
  text << acceptor_.local_endpoint();
  return text.str();
}

void concurrent_server::Accept() {
  acceptor_.async_accept([this](error_code failure, tcp::socket socket) {
    if (!failure) ReadHeader(std::make_shared<connection>(std::move(socket)));
    Accept();
  });
}

void concurrent_server::ReadHeader(const std::shared_ptr<connection>& served) {
  boost::asio::async_read_until(
      served->socket, boost::asio::dynamic_buffer(served->input), "\r\n\r\n",
      [this, served](error_code failure, std::size_t bytes) {
        if (failure) return;
        ++requests_;
        served->reply = respond_(served->input.substr(0, bytes));
        served->input.erase(0, bytes);
        served->timer.expires_after(served->reply.delay);
        served->timer.async_wait(
            [this, served](error_code) { Respond(served); });
      });
}

void concurrent_server::Respond(const std::shared_ptr<connection>& served) {
  boost::asio::async_write(served->socket,
                           boost::asio::buffer(served->reply.bytes),
                           [this, served](error_code failure, std::size_t) {
                             if (failure || served->reply.close) {
                               served->socket.close(failure);
                             } else {
                               ReadHeader(served);
                             }
                           });
}

}  // namespace pomelohall
