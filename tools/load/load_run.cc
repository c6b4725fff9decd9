#include "load_run.h"

#include <boost/system/error_code.hpp>
#include <chrono>
#include <memory>

#include "load_call.h"

namespace pomelohall {
namespace {

// Further calls of an open loop wait for a free connection.
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
                   std::uint64_t calls, instant end_time, load_report& report) {
  addresses_ = &addresses;
  report_ = &report;
  remaining_calls_ = calls;
  end_time_ = end_time;
  if (settings_.rate > 0) {
    next_due_ = MonotonicNow();
    StartNextOnSchedule();
  } else {
    for (std::uint32_t i = 0; i < settings_.concurrency && MayStartCall();
         ++i) {
      StartCall(MonotonicNow());
    }
  }
  io_.restart();
  io_.run();
}

bool load_run::MayStartCall() const {
  return remaining_calls_ > 0 && MonotonicNow() < end_time_;
}

void load_run::StartCall(instant due) {
  --remaining_calls_;
  ++in_progress_;
  const auto& address = (*addresses_)[next_address_++ % addresses_->size()];
  std::make_shared<load_call>(pool_, settings_, random_.Next(), due, *report_,
                              [this] { OnCallEnded(); })
      ->Start(address);
}

void load_run::OnCallEnded() {
  --in_progress_;
  if (settings_.rate <= 0 && MayStartCall()) StartCall(MonotonicNow());
}

// Latency is measured from the time at which a call was due, not from the time
// at which it was sent. Otherwise a stall of the target would delay the calls
// behind it without showing in their latency (coordinated omission).
void load_run::StartNextOnSchedule() {
  while (MayStartCall() && next_due_ <= MonotonicNow()) {
    StartCall(next_due_);
    next_due_ += std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1 / settings_.rate));
  }
  if (!MayStartCall()) return;
  timer_.expires_at(next_due_);
  timer_.async_wait([this](boost::system::error_code cancelled) {
    if (!cancelled) StartNextOnSchedule();
  });
}

}  // namespace pomelohall
