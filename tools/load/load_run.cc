#include "load_run.h"

#include <boost/system/error_code.hpp>
#include <chrono>
#include <memory>

#include "load_call.h"

namespace pomelohall {
namespace {

// Open loop: calls above this number wait for a connection.
constexpr std::size_t kMaxConnections = 1000;

pool_options PoolOptions() {
  pool_options options;
  options.max_connections = kMaxConnections;
  return options;
}

}  // namespace

load_run::load_run(boost::asio::io_context& io, const load_settings& settings)
    : io_(io),
      settings_(settings),
      pool_(io, PoolOptions()),
      timer_(io),
      random_(settings.seed) {}

void load_run::Run(const std::vector<std::string>& addresses,
                   std::uint64_t calls, instant until, load_report& report) {
  addresses_ = &addresses;
  report_ = &report;
  left_ = calls;
  until_ = until;
  if (settings_.rate > 0) {
    next_due_ = MonotonicNow();
    StartNextOnSchedule();
  } else {
    for (std::uint32_t i = 0; i < settings_.concurrency && MayStart(); ++i) {
      StartCall(MonotonicNow());
    }
  }
  io_.restart();
  io_.run();
}

bool load_run::MayStart() const { return left_ > 0 && MonotonicNow() < until_; }

void load_run::StartCall(instant due) {
  --left_;
  ++in_progress_;
  const auto& address = (*addresses_)[next_address_++ % addresses_->size()];
  std::make_shared<load_call>(pool_, settings_, random_.Next(), due, *report_,
                              [this] { OnCallEnded(); })
      ->Start(address);
}

void load_run::OnCallEnded() {
  --in_progress_;
  if (settings_.rate <= 0 && MayStart()) StartCall(MonotonicNow());
}

// The latency counts from the time at which a call was due, so that a stall of
// the target is not hidden by calls that were not sent.
void load_run::StartNextOnSchedule() {
  while (MayStart() && next_due_ <= MonotonicNow()) {
    StartCall(next_due_);
    next_due_ += std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1 / settings_.rate));
  }
  if (!MayStart()) return;
  timer_.expires_at(next_due_);
  timer_.async_wait([this](boost::system::error_code cancelled) {
    if (!cancelled) StartNextOnSchedule();
  });
}

}  // namespace pomelohall
