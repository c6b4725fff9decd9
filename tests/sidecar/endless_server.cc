#include "endless_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/system/error_code.hpp>
#include <memory>
#include <sstream>
#include <utility>

namespace pomelohall {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kBlockBytes = 16UL * 1024;

std::string RepeatToBlock(const std::string& text) {
  std::string block;
  while (block.size() < kBlockBytes) block += text;
  return block;
}

}  // namespace

struct endless_server::connection {
  explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}

  tcp::socket socket;
  std::string header;
};

endless_server::endless_server(std::string start, const std::string& repeated)
    : start_(std::move(start)),
      block_(RepeatToBlock(repeated)),
      acceptor_(io_,
                tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
  Accept();
  thread_ = std::thread([this] { io_.run(); });
}

endless_server::~endless_server() {
  io_.stop();
  thread_.join();
}

std::string endless_server::Address() const {
  std::ostringstream text;
  text << acceptor_.local_endpoint();
  return text.str();
}

void endless_server::Accept() {
  acceptor_.async_accept([this](error_code failure, tcp::socket socket) {
    if (!failure) Serve(std::make_shared<connection>(std::move(socket)));
    Accept();
  });
}

void endless_server::Serve(const std::shared_ptr<connection>& served) {
  boost::asio::async_read_until(
      served->socket, boost::asio::dynamic_buffer(served->header), "\r\n\r\n",
      [this, served](error_code failure, std::size_t) {
        if (failure) return;
        ++open_connections_;
        boost::asio::async_write(
            served->socket, boost::asio::buffer(start_),
            [this, served](error_code, std::size_t) { Send(served); });
      });
}

void endless_server::Send(const std::shared_ptr<connection>& served) {
  boost::asio::async_write(served->socket, boost::asio::buffer(block_),
                           [this, served](error_code failure, std::size_t) {
                             if (failure) {
                               --open_connections_;
                             } else {
                               Send(served);
                             }
                           });
}

}  // namespace pomelohall
