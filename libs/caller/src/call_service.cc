#include "caller/call_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <cassert>
#include <utility>

#include "caller/call_server.h"
#include "entry_handler.h"
#include "forward_handler.h"
#include "key_claim_client.h"
#include "owner_dispatcher.h"
#include "service_context.h"

namespace pomelohall {

namespace asio = boost::asio;

namespace {

// Interval between checks for idle connections and stalled bodies. Their
// timeouts are whole seconds.
constexpr auto kSweepInterval = std::chrono::seconds(1);
// Interval between checks for calls in progress while stopping.
constexpr auto kStopPollInterval = std::chrono::milliseconds(10);

call_server_options ServerOptions(const call_service_options& options,
                                  const std::string& address) {
  return {.address = address,
          .idle_timeout = options.idle_timeout,
          .progress_timeout = options.progress_timeout};
}

// The daemon that takes a call holds it to the limit, and adds fields to it.
call_server_options ForwardServerOptions(const call_service_options& options) {
  auto server = ServerOptions(options, options.forward_address);
  server.max_header_bytes += kMeshHeadAllowance;
  return server;
}

context_ptr MakeContext(asio::io_context& io, call_service_options options) {
  auto context = std::make_shared<service_context>(io, std::move(options));
  context->dispatcher = std::make_shared<owner_dispatcher>(*context);
  context->dispatcher->OnBackendChanged();
  context->key_claims = std::make_shared<key_claim_client>(*context);
  return context;
}

}  // namespace

class call_service::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context& io, call_service_options options)
      : context_(MakeContext(io, std::move(options))),
        entry_handler_(context_),
        forward_handler_(context_),
        caller_server_(
            io,
            ServerOptions(context_->options, context_->options.caller_address),
            entry_handler_),
        forward_server_(io, ForwardServerOptions(context_->options),
                        forward_handler_),
        sweep_timer_(io),
        stop_timer_(io) {}

  ~impl() {
    caller_server_.Abort();
    forward_server_.Abort();
    context_->dispatcher->Abort();
  }

  result<void> Start();
  void Stop(std::function<void()> done);
  call_service_status Status() const;

  service_context& Context() { return *context_; }
  const call_server& CallerServer() const { return caller_server_; }
  const call_server& ForwardServer() const { return forward_server_; }

 private:
  void ScheduleSweep();
  void Sweep();
  void PollStopped();

  const context_ptr context_;
  entry_handler entry_handler_;
  forward_handler forward_handler_;
  call_server caller_server_;
  call_server forward_server_;
  asio::steady_timer sweep_timer_;
  asio::steady_timer stop_timer_;
  bool callers_stopped_ = false;
  std::function<void()> on_stopped_;
};

result<void> call_service::impl::Start() {
  if (auto started = caller_server_.Listen(); !started) return started;
  if (auto started = forward_server_.Listen(); !started) return started;
  ScheduleSweep();
  return {};
}

void call_service::impl::ScheduleSweep() {
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait(
      [service = weak_from_this()](boost::system::error_code cancelled) {
        const auto self = service.lock();
        if (!cancelled && self) self->Sweep();
      });
}

void call_service::impl::Sweep() {
  const auto now = MonotonicNow();
  caller_server_.Sweep(now);
  forward_server_.Sweep(now);
  context_->peers.Sweep(now);
  context_->backend.Sweep(now);
  ScheduleSweep();
}

void call_service::impl::Stop(std::function<void()> done) {
  on_stopped_ = std::move(done);
  context_->draining = true;
  caller_server_.Stop([this] { callers_stopped_ = true; });
  PollStopped();
}

void call_service::impl::PollStopped() {
  const bool ended = callers_stopped_ && context_->entry_calls == 0 &&
                     context_->dispatcher->InFlight() == 0;
  if (ended) {
    // The forward server stops last: until all calls have ended, it still
    // serves calls and claims of other daemons.
    forward_server_.Stop(std::move(on_stopped_));
    return;
  }
  stop_timer_.expires_after(kStopPollInterval);
  stop_timer_.async_wait(
      [service = weak_from_this()](boost::system::error_code cancelled) {
        const auto self = service.lock();
        if (!cancelled && self) self->PollStopped();
      });
}

call_service_status call_service::impl::Status() const {
  auto status = context_->counters;
  const auto& admission = context_->dispatcher->Admission();
  status.version = context_->snapshot ? context_->snapshot->version : 0;
  status.draining = context_->draining;
  status.caller_connections = caller_server_.OpenConnections();
  status.forward_connections = forward_server_.OpenConnections();
  status.backend_connections =
      context_->backend.OpenConnections(context_->options.backend().address);
  status.entry_calls = context_->entry_calls;
  status.owner_queued = admission.Queued();
  status.owner_running = admission.InFlight();
  status.owner_limit = admission.Limit();
  return status;
}

call_service::call_service(asio::io_context& io, call_service_options options) {
  assert(options.backend);
  impl_ = std::make_shared<impl>(io, std::move(options));
}

call_service::~call_service() = default;

result<void> call_service::Start() { return impl_->Start(); }

std::string call_service::CallerAddress() const {
  return impl_->CallerServer().Address();
}

std::string call_service::ForwardAddress() const {
  return impl_->ForwardServer().Address();
}

void call_service::SetSnapshot(snapshot_ptr next) {
  impl_->Context().SetSnapshot(std::move(next));
}

void call_service::ApplySuspect(const suspect_event& event) {
  impl_->Context().quarantine.Apply(event, MonotonicNow());
}

void call_service::OnBackendChanged() {
  impl_->Context().dispatcher->OnBackendChanged();
}

void call_service::Stop(std::function<void()> done) {
  impl_->Stop(std::move(done));
}

call_service_status call_service::Status() const { return impl_->Status(); }

}  // namespace pomelohall
