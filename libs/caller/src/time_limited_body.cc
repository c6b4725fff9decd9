#include "caller/time_limited_body.h"

#include <algorithm>
#include <boost/system/error_code.hpp>
#include <utility>

namespace pomelohall {
namespace {

tl::unexpected<error> DeadlineError() {
  return tl::unexpected(error(error_kind::kDeadlineExceeded,
                              "the body did not end before the deadline",
                              run_state::kUnknown));
}

}  // namespace

std::shared_ptr<time_limited_body> time_limited_body::Create(
    boost::asio::io_context& io, std::shared_ptr<body_source> inner,
    const body_time_limits& limits) {
  return std::shared_ptr<time_limited_body>(
      new time_limited_body(io, std::move(inner), limits));
}

time_limited_body::time_limited_body(boost::asio::io_context& io,
                                     std::shared_ptr<body_source> inner,
                                     const body_time_limits& limits)
    : inner_(std::move(inner)), timer_(io), limits_(limits) {}

void time_limited_body::LimitDeadline(instant deadline) {
  limits_.deadline = std::min(limits_.deadline, deadline);
  if (pending_) StartTimer();
}

void time_limited_body::Read(callback done) {
  if (MonotonicNow() >= limits_.deadline) {
    inner_->Cancel();
    done(DeadlineError());
    return;
  }
  pending_ = std::move(done);
  inner_->Read([self = shared_from_this()](result<body_part> part) {
    self->timer_.cancel();
    if (const auto pending = std::exchange(self->pending_, nullptr)) {
      pending(std::move(part));
    }
  });
  if (pending_) StartTimer();
}

// Only a reader that waits is timed out: between its reads it still uses the
// last part, which a cancellation would invalidate.
void time_limited_body::StartTimer() {
  const auto expiry = std::min(
      limits_.deadline,
      std::max(limits_.stall_from, MonotonicNow() + limits_.max_stall));
  if (expiry == instant::max()) return;
  timer_.expires_at(expiry);
  timer_.async_wait(
      [weak = weak_from_this()](boost::system::error_code cancelled) {
        const auto self = weak.lock();
        if (!cancelled && self) self->OnTimeout();
      });
}

void time_limited_body::Cancel() {
  timer_.cancel();
  pending_ = nullptr;
  inner_->Cancel();
}

void time_limited_body::OnTimeout() {
  // The reader has got a part since and waits for another one.
  if (MonotonicNow() < timer_.expiry()) return;
  const auto pending = std::exchange(pending_, nullptr);
  if (!pending) return;
  inner_->Cancel();
  pending(DeadlineError());
}

}  // namespace pomelohall
