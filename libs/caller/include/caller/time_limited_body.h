#ifndef POMELOHALL_CALLER_TIME_LIMITED_BODY_H_
#define POMELOHALL_CALLER_TIME_LIMITED_BODY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "backend/body_source.h"
#include "base/time.h"

namespace pomelohall {

struct body_time_limits {
  instant deadline;
  // From this time on, the reader waits for a part for `max_stall` at most.
  instant stall_from = instant::max();
  duration max_stall{0};
};

// Forwards a body until a deadline or until it stalls. It then cancels the body
// when the reader waits for a part, and the reader gets `kDeadlineExceeded`.
class time_limited_body final
    : public body_source,
      public std::enable_shared_from_this<time_limited_body> {
 public:
  // `io` must outlive the body.
  static std::shared_ptr<time_limited_body> Create(
      boost::asio::io_context& io, std::shared_ptr<body_source> inner,
      const body_time_limits& limits);

  // Makes the deadline earlier, also for a reader that waits.
  void LimitDeadline(instant deadline);

  void Read(callback done) override;
  void Cancel() override;

 private:
  time_limited_body(boost::asio::io_context& io,
                    std::shared_ptr<body_source> inner,
                    const body_time_limits& limits);

  void StartTimer();
  void OnTimeout();

  std::shared_ptr<body_source> inner_;
  boost::asio::steady_timer timer_;
  body_time_limits limits_;
  callback pending_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_TIME_LIMITED_BODY_H_
