#include "generated_body.h"

#include <algorithm>
#include <boost/system/error_code.hpp>
#include <utility>

#include "backend_stub/pattern.h"

namespace pomelohall {
namespace {

constexpr std::uint64_t kPartBytes = 16UL * 1024;

}  // namespace

generated_body::generated_body(boost::asio::io_context& io, std::uint64_t seed,
                               std::uint64_t length, duration delay,
                               std::function<void()> on_cancel)
    : timer_(io),
      seed_(seed),
      length_(length),
      delay_(delay),
      on_cancel_(std::move(on_cancel)) {}

void generated_body::Read(callback done) {
  if (delay_ == duration{0}) {
    ComputePart(done);
    return;
  }
  timer_.expires_after(delay_);
  timer_.async_wait([self = shared_from_this(), done = std::move(done)](
                        boost::system::error_code cancelled) {
    if (!cancelled && !self->cancelled_) self->ComputePart(done);
  });
}

void generated_body::ComputePart(const callback& done) {
  part_.resize(std::min(kPartBytes, length_ - offset_));
  FillPattern(seed_, offset_, part_);
  offset_ += part_.size();
  done(body_part{part_, offset_ == length_});
}

void generated_body::Cancel() {
  cancelled_ = true;
  timer_.cancel();
  if (const auto on_cancel = std::exchange(on_cancel_, nullptr)) on_cancel();
}

}  // namespace pomelohall
