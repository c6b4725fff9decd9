#include "concurrent_server.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/system/error_code.hpp>
#include <sstream>
#include <string_view>
#include <utility>

#include "run_on_io.h"

namespace pomelohall {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

// A close with a linger time of 0 resets the connection.
void Reset(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

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
      work_guard_(boost::asio::make_work_guard(io_)),
      acceptor_(io_),
      endpoint_(boost::asio::ip::address_v4::loopback(), 0) {
  Listen();
  endpoint_ = acceptor_.local_endpoint();
  thread_ = std::thread([this] { io_.run(); });
}

concurrent_server::~concurrent_server() {
  io_.stop();
  thread_.join();
}

std::string concurrent_server::Address() const {
  std::ostringstream text;
  text << endpoint_;
  return text.str();
}

void concurrent_server::Listen() {
  acceptor_.open(tcp::v4());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint_);
  acceptor_.listen();
  Accept();
}

void concurrent_server::Start() {
  RunOnIo(io_, [this] {
    Listen();
    down_ = false;
  });
}

void concurrent_server::Crash() {
  RunOnIo(io_, [this] { CrashOnThread(); });
}

void concurrent_server::CrashOnThread() {
  error_code ignored;
  acceptor_.close(ignored);
  for (const auto& accepted : accepted_) {
    if (const auto open = accepted.lock()) Reset(open->socket);
  }
  accepted_.clear();
  down_ = true;
}

void concurrent_server::Accept() {
  acceptor_.async_accept([this](error_code failure, tcp::socket socket) {
    if (!acceptor_.is_open()) return;
    if (!failure) {
      ++connections_;
      // Otherwise bytes after a response wait for its acknowledgement, which a
      // client may delay until it sends the next request.
      socket.set_option(tcp::no_delay(true), failure);
      const auto served = std::make_shared<connection>(std::move(socket));
      accepted_.push_back(served);
      ReadHeader(served);
    }
    Accept();
  });
}

void concurrent_server::ReadHeader(const std::shared_ptr<connection>& served) {
  boost::asio::async_read_until(
      served->socket, boost::asio::dynamic_buffer(served->input), "\r\n\r\n",
      [this, served](error_code failure, std::size_t bytes) {
        if (failure) {
          ++connections_lost_;
        } else {
          ReadBody(served, bytes);
        }
      });
}

void concurrent_server::ReadBody(const std::shared_ptr<connection>& served,
                                 std::size_t header_bytes) {
  const auto header = served->input.substr(0, header_bytes);
  if (header.find("\r\nTransfer-Encoding: chunked") != std::string::npos) {
    boost::asio::async_read_until(
        served->socket, boost::asio::dynamic_buffer(served->input),
        "\r\n0\r\n\r\n",
        [this, served, header](error_code failure, std::size_t bytes) {
          if (failure) return;
          served->input.erase(0, bytes);
          Run(served, header);
        });
    return;
  }
  constexpr std::string_view kLength = "\r\nContent-Length: ";
  const auto field = header.find(kLength);
  const auto body_bytes =
      field == std::string::npos
          ? std::size_t{0}
          : std::stoul(header.substr(field + kLength.size()));
  const auto missing =
      header_bytes + body_bytes -
      std::min(served->input.size(), header_bytes + body_bytes);
  boost::asio::async_read(
      served->socket, boost::asio::dynamic_buffer(served->input),
      boost::asio::transfer_exactly(missing),
      [this, served, header, bytes = header_bytes + body_bytes](
          error_code failure, std::size_t) {
        if (failure) return;
        served->input.erase(0, bytes);
        Run(served, header);
      });
}

void concurrent_server::Run(const std::shared_ptr<connection>& served,
                            const std::string& header) {
  ++requests_;
  auto reply = respond_(header);
  if (reply.crash) {
    CrashOnThread();
    return;
  }
  reply.bytes.insert(0, served->reply.before_next_response);
  served->reply = std::move(reply);
  served->timer.expires_after(served->reply.delay);
  served->timer.async_wait([this, served](error_code) { Respond(served); });
}

void concurrent_server::Respond(const std::shared_ptr<connection>& served) {
  const auto& reply = served->reply;
  const auto limit =
      reply.piece_bytes == 0 ? reply.bytes.size() : reply.piece_bytes;
  boost::asio::async_write(
      served->socket, boost::asio::buffer(reply.bytes, limit),
      [this, served](error_code failure, std::size_t written) {
        if (failure) return;
        served->reply.bytes.erase(0, written);
        if (served->reply.bytes.empty()) {
          OnResponded(served);
          return;
        }
        served->timer.expires_after(served->reply.piece_interval);
        served->timer.async_wait(
            [this, served](error_code) { Respond(served); });
      });
}

void concurrent_server::OnResponded(const std::shared_ptr<connection>& served) {
  if (served->reply.reset) {
    Reset(served->socket);
    return;
  }
  if (served->reply.close) {
    error_code ignored;
    served->socket.close(ignored);
    return;
  }
  ReadHeader(served);
  if (served->reply.late_bytes.empty()) return;
  served->timer.expires_after(served->reply.late_delay);
  served->timer.async_wait([this, served](error_code cancelled) {
    if (cancelled) return;
    error_code failure;
    boost::asio::write(served->socket,
                       boost::asio::buffer(served->reply.late_bytes), failure);
    ++late_writes_;
  });
}

}  // namespace pomelohall
