#include "caller/call_server.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <sstream>
#include <unordered_set>
#include <utility>
#include <vector>

#include "backend/tcp_socket.h"
#include "call_session.h"
#include "caller/write_turns.h"

namespace pomelohall {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Delay after a failed accept, for example when file descriptors run out.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);
// Interval between checks for closed connections while draining.
constexpr auto kDrainPollInterval = std::chrono::milliseconds(10);

}  // namespace

class call_server::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context& io, call_server_options options, call_handler& handler)
      : io_(io),
        options_(std::move(options)),
        head_memory_(
            std::make_shared<memory_budget>(options_.max_head_memory_bytes)),
        handler_(handler),
        acceptor_(io),
        timer_(io) {}

  result<void> Listen();
  std::string Address() const;
  void Stop(std::function<void()> done);
  void Abort();
  void Sweep(instant now);
  std::size_t OpenConnections() const { return sessions_.size(); }
  void SetLimits(const call_server_options& options);
  void CloseAfterResponses();
  void StartTurns();
  bool IsSending() const;

 private:
  void Accept();
  void OnAccepted(const error_code& failure, asio::ip::tcp::socket socket);
  void CloseListener();
  void PollDrained();
  void RemoveClosedSessions();

  asio::io_context& io_;
  call_server_options options_;
  std::shared_ptr<memory_budget> head_memory_;
  bool close_after_responses_ = false;
  call_handler& handler_;
  std::shared_ptr<write_turns> turns_;  // Null before StartTurns().
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer timer_;
  std::unordered_set<std::shared_ptr<call_session>> sessions_;
  std::function<void()> on_stopped_;
};

result<void> call_server::impl::Listen() {
  const auto endpoint = ParseTcpEndpoint(options_.address);
  if (!endpoint) {
    return Fail(error_kind::kInvalidSettings,
                "\"" + options_.address + "\" is not an address \"ip:port\"");
  }
  error_code failure;
  acceptor_.open(endpoint->protocol(), failure);
  if (!failure) {
    acceptor_.set_option(asio::socket_base::reuse_address(true), failure);
  }
  if (!failure) acceptor_.bind(*endpoint, failure);
  if (!failure) {
    acceptor_.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return Fail(
        error_kind::kInvalidSettings,
        "cannot listen on " + options_.address + ": " + failure.message());
  }
  Accept();
  return {};
}

std::string call_server::impl::Address() const {
  std::ostringstream text;
  text << acceptor_.local_endpoint();
  return text.str();
}

void call_server::impl::Accept() {
  acceptor_.async_accept([self = shared_from_this()](
                             error_code failure, asio::ip::tcp::socket socket) {
    self->OnAccepted(failure, std::move(socket));
  });
}

void call_server::impl::OnAccepted(const error_code& failure,
                                   asio::ip::tcp::socket socket) {
  if (!acceptor_.is_open()) return;
  if (failure) {
    timer_.expires_after(kAcceptRetryDelay);
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (!cancelled && self->acceptor_.is_open()) self->Accept();
    });
    return;
  }
  const auto session = std::make_shared<call_session>(
      std::move(socket), options_, head_memory_, handler_);
  sessions_.insert(session);
  session->TakeTurns(turns_);
  if (close_after_responses_) session->CloseAfterResponse();
  session->Start();
  Accept();
}

void call_server::impl::SetLimits(const call_server_options& options) {
  options_.idle_timeout = options.idle_timeout;
  options_.header_timeout = options.header_timeout;
  options_.progress_timeout = options.progress_timeout;
  options_.max_header_bytes = options.max_header_bytes;
}

void call_server::impl::CloseAfterResponses() {
  close_after_responses_ = true;
  for (const auto& session : sessions_) session->CloseAfterResponse();
}

void call_server::impl::StartTurns() {
  turns_ = options_.turns;
  for (const auto& session : sessions_) session->TakeTurns(turns_);
}

void call_server::impl::CloseListener() {
  error_code ignored;
  acceptor_.close(ignored);
  timer_.cancel();
}

void call_server::impl::Stop(std::function<void()> done) {
  on_stopped_ = std::move(done);
  CloseListener();
  const std::vector<std::shared_ptr<call_session>> sessions(sessions_.begin(),
                                                            sessions_.end());
  for (const auto& session : sessions) session->Drain();
  asio::post(io_, [self = shared_from_this()] { self->PollDrained(); });
}

bool call_server::impl::IsSending() const {
  return std::any_of(sessions_.begin(), sessions_.end(),
                     [](const auto& session) { return session->IsSending(); });
}

void call_server::impl::PollDrained() {
  if (turns_) turns_->Poll(MonotonicNow());
  RemoveClosedSessions();
  if (sessions_.empty()) {
    if (const auto done = std::exchange(on_stopped_, nullptr)) done();
    return;
  }
  timer_.expires_after(kDrainPollInterval);
  timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (!cancelled) self->PollDrained();
  });
}

void call_server::impl::Abort() {
  on_stopped_ = nullptr;
  CloseListener();
  const auto sessions = std::exchange(sessions_, {});
  for (const auto& session : sessions) session->Close();
}

void call_server::impl::RemoveClosedSessions() {
  std::erase_if(sessions_,
                [](const auto& session) { return session->Closed(); });
}

void call_server::impl::Sweep(instant now) {
  const std::vector<std::shared_ptr<call_session>> sessions(sessions_.begin(),
                                                            sessions_.end());
  for (const auto& session : sessions) session->Sweep(now);
  RemoveClosedSessions();
}

call_server::call_server(asio::io_context& io, call_server_options options,
                         call_handler& handler)
    : impl_(std::make_shared<impl>(io, std::move(options), handler)) {}

call_server::~call_server() { impl_->Abort(); }

result<void> call_server::Listen() { return impl_->Listen(); }

std::string call_server::Address() const { return impl_->Address(); }

void call_server::Stop(std::function<void()> done) {
  impl_->Stop(std::move(done));
}

void call_server::SetLimits(const call_server_options& options) {
  impl_->SetLimits(options);
}

void call_server::CloseAfterResponses() { impl_->CloseAfterResponses(); }

void call_server::StartTurns() { impl_->StartTurns(); }

bool call_server::IsSending() const { return impl_->IsSending(); }

void call_server::Abort() { impl_->Abort(); }

void call_server::Sweep(instant now) { impl_->Sweep(now); }

std::size_t call_server::OpenConnections() const {
  return impl_->OpenConnections();
}

}  // namespace pomelohall
