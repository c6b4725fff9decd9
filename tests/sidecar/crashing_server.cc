#include "crashing_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/system/error_code.hpp>
#include <sstream>
#include <utility>

#include "run_on_io.h"
#include "sidecar_fleet.h"

namespace pomelohall {

using boost::asio::ip::tcp;
using boost::system::error_code;

struct crashing_server::connection {
  explicit connection(tcp::socket accepted)
      : socket(std::move(accepted)), timer(socket.get_executor()) {}

  tcp::socket socket;
  boost::asio::steady_timer timer;
  std::string input;
  std::string output;
};

crashing_server::crashing_server(predicate crashes,
                                 std::chrono::milliseconds run_time)
    : crashes_on_(std::move(crashes)),
      run_time_(run_time),
      work_guard_(boost::asio::make_work_guard(io_)),
      acceptor_(io_),
      endpoint_(boost::asio::ip::address_v4::loopback(), 0) {
  Listen();
  endpoint_ = acceptor_.local_endpoint();
  thread_ = std::thread([this] { io_.run(); });
}

crashing_server::~crashing_server() {
  io_.stop();
  thread_.join();
}

std::string crashing_server::Address() const {
  std::ostringstream text;
  text << endpoint_;
  return text.str();
}

void crashing_server::Listen() {
  acceptor_.open(tcp::v4());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint_);
  acceptor_.listen();
  down_ = false;
  Accept();
}

void crashing_server::Accept() {
  acceptor_.async_accept([this](error_code failure, tcp::socket socket) {
    if (failure) return;
    const auto served = std::make_shared<connection>(std::move(socket));
    connections_.insert(served);
    Read(served);
    Accept();
  });
}

void crashing_server::Read(const std::shared_ptr<connection>& served) {
  boost::asio::async_read_until(
      served->socket, boost::asio::dynamic_buffer(served->input), "\r\n\r\n",
      [this, served](error_code failure, std::size_t bytes) {
        if (failure) {
          connections_.erase(served);
          return;
        }
        const auto header = served->input.substr(0, bytes);
        // Bodies fit into one segment, and no request is sent before the
        // response to the one before.
        served->input.clear();
        Run(served, header);
      });
}

void crashing_server::Run(const std::shared_ptr<connection>& served,
                          const std::string& header) {
  if (crashes_on_(header)) {
    ++crashes_;
    CrashOnThread();
    return;
  }
  served->output = sidecar_fleet::OkResponse(header);
  served->timer.expires_after(run_time_);
  served->timer.async_wait([this, served](error_code cancelled) {
    if (cancelled) return;
    boost::asio::async_write(served->socket,
                             boost::asio::buffer(served->output),
                             [this, served](error_code failure, std::size_t) {
                               if (!failure) Read(served);
                             });
  });
}

void crashing_server::CrashOnThread() {
  error_code ignored;
  acceptor_.close(ignored);
  down_ = true;
  for (const auto& served : connections_) {
    served->timer.cancel();
    // A close with a linger time of 0 resets the connection.
    served->socket.set_option(boost::asio::socket_base::linger(true, 0),
                              ignored);
    served->socket.close(ignored);
  }
  connections_.clear();
}

void crashing_server::Crash() {
  RunOnIo(io_, [this] { CrashOnThread(); });
}

void crashing_server::Start() {
  RunOnIo(io_, [this] { Listen(); });
}

}  // namespace pomelohall
