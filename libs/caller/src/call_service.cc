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
#include "key_home.h"
#include "owner.h"
#include "service_context.h"

namespace pomelohall {

namespace asio = boost::asio;

namespace {

// Idle connections and stalled bodies are looked for this often; their limits
// are whole seconds.
constexpr auto kSweepInterval = std::chrono::seconds(1);
// While stopping, the end of the calls in progress is looked for this often.
constexpr auto kStopPoll = std::chrono::milliseconds(10);

call_server_options ServerOptions(const call_service_options& options,
                                  const std::string& address) {
  return {.address = address,
          .idle_timeout = options.idle_timeout,
          .progress_timeout = options.progress_timeout};
}

context_ptr MakeContext(asio::io_context& io, call_service_options options) {
  auto context = std::make_shared<service_context>(io, std::move(options));
  context->owner_side = std::make_shared<owner>(*context);
  context->owner_side->OnBackendChanged();
  context->keys = std::make_shared<key_home>(*context);
  return context;
}

}  // namespace

class call_service::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context& io, call_service_options options)
      : context_(MakeContext(io, std::move(options))),
        entry_(context_),
        forward_(context_),
        callers_(
            io,
            ServerOptions(context_->options, context_->options.caller_address),
            entry_),
        daemons_(
            io,
            ServerOptions(context_->options, context_->options.forward_address),
            forward_),
        sweep_timer_(io),
        stop_timer_(io) {}

  ~impl() {
    callers_.Abort();
    daemons_.Abort();
    context_->owner_side->Abort();
  }

  result<void> Start();
  void Stop(std::function<void()> done);
  call_service_status Status() const;

  service_context& Context() { return *context_; }
  const call_server& Callers() const { return callers_; }
  const call_server& Daemons() const { return daemons_; }

 private:
  void ScheduleSweep();
  void Sweep();
  void PollStopped();

  const context_ptr context_;
  entry_handler entry_;
  forward_handler forward_;
  call_server callers_;
  call_server daemons_;
  asio::steady_timer sweep_timer_;
  asio::steady_timer stop_timer_;
  bool callers_stopped_ = false;
  std::function<void()> on_stopped_;
};

result<void> call_service::impl::Start() {
  if (auto started = callers_.Listen(); !started) return started;
  if (auto started = daemons_.Listen(); !started) return started;
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
  callers_.Sweep(now);
  daemons_.Sweep(now);
  context_->peers.Sweep(now);
  context_->backend.Sweep(now);
  ScheduleSweep();
}

void call_service::impl::Stop(std::function<void()> done) {
  on_stopped_ = std::move(done);
  context_->draining = true;
  callers_.Stop([this] { callers_stopped_ = true; });
  PollStopped();
}

void call_service::impl::PollStopped() {
  const bool ended = callers_stopped_ && context_->entry_calls == 0 &&
                     context_->owner_side->InFlight() == 0;
  if (ended) {
    // Only now: until here this daemon still answered other daemons' calls and
    // claims.
    daemons_.Stop(std::move(on_stopped_));
    return;
  }
  stop_timer_.expires_after(kStopPoll);
  stop_timer_.async_wait(
      [service = weak_from_this()](boost::system::error_code cancelled) {
        const auto self = service.lock();
        if (!cancelled && self) self->PollStopped();
      });
}

call_service_status call_service::impl::Status() const {
  auto status = context_->counters;
  const auto& admission = context_->owner_side->Admission();
  status.version = context_->current ? context_->current->version : 0;
  status.draining = context_->draining;
  status.caller_connections = callers_.OpenConnections();
  status.forward_connections = daemons_.OpenConnections();
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
  return impl_->Callers().Address();
}

std::string call_service::ForwardAddress() const {
  return impl_->Daemons().Address();
}

void call_service::SetSnapshot(snapshot_ptr next) {
  impl_->Context().SetSnapshot(std::move(next));
}

void call_service::ApplySuspect(const suspect_event& event) {
  impl_->Context().quarantine.Apply(event, MonotonicNow());
}

void call_service::OnBackendChanged() {
  impl_->Context().owner_side->OnBackendChanged();
}

void call_service::Stop(std::function<void()> done) {
  impl_->Stop(std::move(done));
}

call_service_status call_service::Status() const { return impl_->Status(); }

}  // namespace pomelohall
