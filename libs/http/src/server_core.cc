#include "server_core.h"

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "endpoint.h"
#include "server_session.h"

namespace pomelohall {
namespace {

using boost::asio::ip::tcp;

// Delay after a failed accept, for example when no file descriptors are left.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

}  // namespace

server_core::server_core(boost::asio::io_context& io,
                         http_server_options options, http_handler handler)
    : options_(std::move(options)),
      handler_(std::move(handler)),
      acceptor_(io),
      accept_retry_timer_(io) {}

result<void> server_core::Listen() {
  const auto endpoint = ParseEndpoint(options_.address);
  if (!endpoint) {
    return Fail(error_kind::kInvalidSettings, endpoint.error().message);
  }
  boost::system::error_code code;
  acceptor_.open(endpoint->protocol(), code);
  if (!code) acceptor_.set_option(tcp::acceptor::reuse_address(true), code);
  if (!code) acceptor_.bind(*endpoint, code);
  if (!code) {
    acceptor_.listen(boost::asio::socket_base::max_listen_connections, code);
  }
  if (code) {
    return Fail(error_kind::kInvalidSettings,
                "cannot listen on " + options_.address + ": " + code.message());
  }
  Accept();
  return {};
}

std::string server_core::Address() const {
  boost::system::error_code code;
  const auto endpoint = acceptor_.local_endpoint(code);
  return code ? options_.address : FormatEndpoint(endpoint);
}

void server_core::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](const boost::system::error_code& code,
                                  tcp::socket socket) {
        self->OnAccept(code, std::move(socket));
      });
}

void server_core::OnAccept(const boost::system::error_code& code,
                           tcp::socket socket) {
  if (stopping_ || code == boost::asio::error::operation_aborted) return;
  if (code) return RetryAccept();
  auto session =
      std::make_shared<server_session>(std::move(socket), shared_from_this());
  sessions_.insert(session);
  session->Start();
  Accept();
}

void server_core::RetryAccept() {
  accept_retry_timer_.expires_after(kAcceptRetryDelay);
  accept_retry_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& code) {
        if (!code && !self->stopping_) self->Accept();
      });
}

void server_core::StopAccepting() {
  boost::system::error_code ignored;
  stopping_ = true;
  acceptor_.close(ignored);
  accept_retry_timer_.cancel();
}

void server_core::Stop(std::function<void()> stopped) {
  StopAccepting();
  on_stopped_ = std::move(stopped);
  // A copy, because closing sessions remove themselves from the set.
  const auto sessions = sessions_;
  for (const auto& session : sessions) session->Stop();
  boost::asio::post(acceptor_.get_executor(),
                    [self = shared_from_this()] { self->NotifyIfStopped(); });
}

void server_core::Abort() {
  StopAccepting();
  on_stopped_ = nullptr;
  // A copy, because closing sessions remove themselves from the set.
  const auto sessions = sessions_;
  for (const auto& session : sessions) session->Close();
}

void server_core::Remove(const std::shared_ptr<server_session>& session) {
  sessions_.erase(session);
  NotifyIfStopped();
}

void server_core::NotifyIfStopped() {
  if (!stopping_ || !sessions_.empty() || !on_stopped_) return;
  std::exchange(on_stopped_, nullptr)();
}

}  // namespace pomelohall
