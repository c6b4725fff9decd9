#include "caller/time_limited_body.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <utility>

namespace pomelohall {
namespace {

using std::chrono::milliseconds;

/// A body whose parts arrive when a test says so.
class manual_body : public body_source {
 public:
  void Read(callback done) override { pending = std::move(done); }
  void Cancel() override { cancelled = true; }
  void Deliver() {
    std::exchange(pending, nullptr)(body_part{.bytes = "part"});
  }

  callback pending;
  bool cancelled = false;
};

class time_limited_body_fixture {
 protected:
  static constexpr milliseconds kStallFrom{100};
  static constexpr milliseconds kMaxStall{60};
  static constexpr milliseconds kDeadline{400};

  time_limited_body_fixture()
      : body_(time_limited_body::Create(io_, source_,
                                        {.deadline = start_ + kDeadline,
                                         .stall_from = start_ + kStallFrom,
                                         .max_stall = kMaxStall})) {}

  /// Starts a read whose error is kept.
  void Read() {
    body_->Read([this](const result<body_part>& part) {
      if (part) return;
      failure_ = part.error().kind;
      failed_at_ = MonotonicNow();
    });
  }

  /// Delivers parts at intervals, and reads on, until the body fails. The event
  /// loop keeps the order of parts and time-outs also if it is late.
  void DeliverEvery(milliseconds interval, milliseconds since_start = {}) {
    const auto at = since_start + interval;
    delivery_.expires_at(start_ + at);
    delivery_.async_wait([this, interval, at](boost::system::error_code) {
      if (failure_) return;
      source_->Deliver();
      Read();
      DeliverEvery(interval, at);
    });
  }

  /// Runs until the time since the start.
  void RunUntil(duration since_start) {
    io_.restart();
    io_.run_until(std::chrono::steady_clock::now() +
                  (start_ + since_start - MonotonicNow()));
  }

  boost::asio::io_context io_;
  const instant start_ = MonotonicNow();
  std::shared_ptr<manual_body> source_ = std::make_shared<manual_body>();
  std::shared_ptr<time_limited_body> body_;
  boost::asio::steady_timer delivery_{io_};
  std::optional<error_kind> failure_;
  instant failed_at_;
};

}  // namespace

// Guards against an answer without a byte that is held until the deadline of
// its caller, long after the time-out of its route.
TEST_CASE_METHOD(time_limited_body_fixture,
                 "TimeLimitedBody_StallsAfterTheTimeout_Fails",
                 "[time_limited_body]") {
  Read();
  RunUntil(kStallFrom - milliseconds(30));
  CHECK_FALSE(failure_);
  RunUntil(kDeadline / 2);
  CHECK(failure_ == error_kind::kDeadlineExceeded);
  CHECK(source_->cancelled);
}

// Guards against breaking off an answer that still arrives.
TEST_CASE_METHOD(
    time_limited_body_fixture,
    "TimeLimitedBody_ProgressesAfterTheTimeout_GoesOnToTheDeadline",
    "[time_limited_body]") {
  Read();
  DeliverEvery(milliseconds(20));
  RunUntil(kDeadline + milliseconds(50));
  CHECK(failure_ == error_kind::kDeadlineExceeded);
  CHECK(failed_at_ >= start_ + kDeadline);
}

// Guards against a reader that keeps waiting when a stop limits the deadline.
TEST_CASE_METHOD(time_limited_body_fixture,
                 "TimeLimitedBody_DeadlineLimitedWhileItWaits_Fails",
                 "[time_limited_body]") {
  body_ = time_limited_body::Create(io_, source_, {.deadline = instant::max()});
  Read();
  RunUntil(kStallFrom);
  CHECK_FALSE(failure_);
  body_->LimitDeadline(start_ + kDeadline / 2);
  RunUntil(kDeadline);
  CHECK(failure_ == error_kind::kDeadlineExceeded);
  CHECK(source_->cancelled);
}

}  // namespace pomelohall
