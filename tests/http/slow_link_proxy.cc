#include "slow_link_proxy.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <sstream>
#include <utility>

#include "backend/tcp_socket.h"

namespace pomelohall {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

// Small enough for a smooth flow at a few hundred kilobytes a second.
constexpr std::size_t kChunkBytes = 8192;

}  // namespace

class slow_link_proxy::connection
    : public std::enable_shared_from_this<connection> {
 public:
  connection(boost::asio::io_context& io, tcp::socket client,
             std::shared_ptr<link> shared_link)
      : client_(std::move(client)),
        server_(io),
        timer_(io),
        link_(std::move(shared_link)) {}

  void Start(const tcp::endpoint& server) {
    server_.async_connect(server,
                          [self = shared_from_this()](error_code failure) {
                            if (failure) return self->Close();
                            self->RelayRequests();
                            self->RelayResponses();
                          });
  }

 private:
  void RelayRequests() {
    client_.async_read_some(
        boost::asio::buffer(requests_),
        [self = shared_from_this()](error_code failure, std::size_t bytes) {
          if (failure) return self->Close();
          boost::asio::async_write(
              self->server_, boost::asio::buffer(self->requests_, bytes),
              [self](error_code write_failure, std::size_t) {
                if (write_failure) return self->Close();
                self->RelayRequests();
              });
        });
  }

  void RelayResponses() {
    server_.async_read_some(
        boost::asio::buffer(responses_),
        [self = shared_from_this()](error_code failure, std::size_t bytes) {
          if (failure) return self->Close();
          self->WaitForLink(bytes);
        });
  }

  void WaitForLink(std::size_t bytes) {
    const auto time = std::chrono::duration<double>(static_cast<double>(bytes) /
                                                    link_->bytes_per_second);
    link_->free_at = std::max(link_->free_at, MonotonicNow()) +
                     std::chrono::duration_cast<duration>(time);
    timer_.expires_at(link_->free_at);
    timer_.async_wait([self = shared_from_this(), bytes](error_code failure) {
      if (!failure && !self->link_->silent) self->WriteResponses(bytes);
    });
  }

  void WriteResponses(std::size_t bytes) {
    boost::asio::async_write(
        client_, boost::asio::buffer(responses_, bytes),
        [self = shared_from_this()](error_code failure, std::size_t) {
          if (failure) return self->Close();
          self->RelayResponses();
        });
  }

  void Close() {
    error_code ignored;
    client_.close(ignored);
    server_.close(ignored);
    timer_.cancel();
  }

  tcp::socket client_;
  tcp::socket server_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<link> link_;
  std::array<char, kChunkBytes> requests_{};
  std::array<char, kChunkBytes> responses_{};
};

slow_link_proxy::slow_link_proxy(boost::asio::io_context& io,
                                 const std::string& address,
                                 double bytes_per_second)
    : io_(io),
      server_(ParseTcpEndpoint(address).value()),
      acceptor_(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
      link_(std::make_shared<link>(
          link{.bytes_per_second = bytes_per_second, .free_at = {}})) {
  Accept();
}

std::string slow_link_proxy::Address() const {
  std::ostringstream text;
  text << acceptor_.local_endpoint();
  return text.str();
}

void slow_link_proxy::Accept() {
  acceptor_.async_accept([this](error_code failure, tcp::socket client) {
    if (failure == boost::asio::error::operation_aborted) return;
    if (!failure) {
      std::make_shared<connection>(io_, std::move(client), link_)
          ->Start(server_);
    }
    Accept();
  });
}

}  // namespace pomelohall
