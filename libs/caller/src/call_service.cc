#include "caller/call_service.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <cassert>
#include <memory>
#include <utility>
#include <vector>

#include "caller/call_server.h"
#include "entry_call.h"
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
// Time from the latest deadline of calls until the connections close. The owner
// of a call has 50 ms for its error, and what is left is for kStopWriteTime and
// a busy VM.
constexpr auto kStopAnswerTime = std::chrono::milliseconds(500);
// Part of it that is left when the last response begins: an error response is
// a single segment, and a round trip between data centres takes up to 100 ms.
constexpr auto kStopWriteTime = std::chrono::milliseconds(200);

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
  void LimitToStop(instant now);
  std::vector<std::shared_ptr<entry_call>> CallsInProgress() const;
  bool HaveCallsEnded() const;
  void PollStopped();
  void EndForStop();
  void OnStopped();

  const context_ptr context_;
  entry_handler entry_handler_;
  forward_handler forward_handler_;
  call_server caller_server_;
  call_server forward_server_;
  asio::steady_timer sweep_timer_;
  asio::steady_timer stop_timer_;
  bool callers_stopped_ = false;
  bool forward_stopping_ = false;
  bool responses_ended_ = false;
  instant stop_end_;  // When all connections close.
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
  LimitToStop(MonotonicNow());
  caller_server_.Stop([this] { callers_stopped_ = true; });
  PollStopped();
}

void call_service::impl::LimitToStop(instant now) {
  stop_end_ = now + context_->options.stop_time;
  context_->stop = {
      .request_deadline = std::max(stop_end_ - kStopAnswerTime, now),
      .body_deadline = std::max(stop_end_ - kStopWriteTime, now)};
  for (const auto& call : CallsInProgress()) call->LimitToStop();
}

// Copies the calls, as they may end meanwhile.
std::vector<std::shared_ptr<entry_call>> call_service::impl::CallsInProgress()
    const {
  std::vector<std::shared_ptr<entry_call>> calls;
  for (auto* call : context_->entry_calls) {
    if (auto shared = call->weak_from_this().lock())
      calls.push_back(std::move(shared));
  }
  return calls;
}

bool call_service::impl::HaveCallsEnded() const {
  return callers_stopped_ && context_->entry_calls.empty() &&
         context_->dispatcher->InFlight() == 0;
}

// Ends the calls in steps, so that after a late step there is time to write.
void call_service::impl::PollStopped() {
  if (!on_stopped_) return;
  const auto now = MonotonicNow();
  if (now >= context_->stop->body_deadline && !responses_ended_) {
    EndForStop();
  } else if (now >= stop_end_) {
    caller_server_.Abort();
    forward_server_.Abort();
    context_->dispatcher->Abort();
    OnStopped();
    return;
  } else if (HaveCallsEnded() && !std::exchange(forward_stopping_, true)) {
    // The forward server stops last: until all calls have ended, it still
    // serves calls and claims of other daemons.
    forward_server_.Stop([this] { OnStopped(); });
  }
  stop_timer_.expires_after(kStopPollInterval);
  stop_timer_.async_wait(
      [service = weak_from_this()](boost::system::error_code cancelled) {
        const auto self = service.lock();
        if (!cancelled && self) self->PollStopped();
      });
}

void call_service::impl::EndForStop() {
  responses_ended_ = true;
  for (const auto& call : CallsInProgress()) call->EndForStop();
}

void call_service::impl::OnStopped() {
  stop_timer_.cancel();
  if (const auto done = std::exchange(on_stopped_, nullptr)) done();
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
  status.entry_calls = context_->entry_calls.size();
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
