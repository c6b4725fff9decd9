#include "caller/time_limited_body.h"

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
    instant deadline) {
  std::shared_ptr<time_limited_body> body(
      new time_limited_body(io, std::move(inner)));
  body->timer_.expires_at(deadline);
  body->timer_.async_wait(
      [weak = std::weak_ptr(body)](boost::system::error_code cancelled) {
        const auto self = weak.lock();
        if (!cancelled && self) self->OnDeadline();
      });
  return body;
}

time_limited_body::time_limited_body(boost::asio::io_context& io,
                                     std::shared_ptr<body_source> inner)
    : inner_(std::move(inner)), timer_(io) {}

void time_limited_body::Read(callback done) {
  if (expired_) {
    inner_->Cancel();
    done(DeadlineError());
    return;
  }
  pending_ = std::move(done);
  inner_->Read([self = shared_from_this()](result<body_part> part) {
    if (!part || part->last) self->timer_.cancel();
    if (const auto pending = std::exchange(self->pending_, nullptr)) {
      pending(std::move(part));
    }
  });
}

void time_limited_body::Cancel() {
  timer_.cancel();
  pending_ = nullptr;
  inner_->Cancel();
}

void time_limited_body::OnDeadline() {
  expired_ = true;
  // Without a pending read, the reader still uses the last part, which a
  // cancellation would invalidate.
  const auto pending = std::exchange(pending_, nullptr);
  if (!pending) return;
  inner_->Cancel();
  pending(DeadlineError());
}

}  // namespace pomelohall
