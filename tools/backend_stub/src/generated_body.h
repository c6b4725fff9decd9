#ifndef POMELOHALL_BACKEND_STUB_SRC_GENERATED_BODY_H_
#define POMELOHALL_BACKEND_STUB_SRC_GENERATED_BODY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "backend/body_source.h"
#include "base/time.h"

namespace pomelohall {

// A test body of FillPattern() that is computed while it is read.
class generated_body final
    : public body_source,
      public std::enable_shared_from_this<generated_body> {
 public:
  // `delay` precedes each part. `on_cancel` is called if the reader cancels the
  // body.
  generated_body(boost::asio::io_context& io, std::uint64_t seed,
                 std::uint64_t length, duration delay,
                 std::function<void()> on_cancel);

  void Read(callback done) override;
  void Cancel() override;

 private:
  void ComputePart(const callback& done);

  boost::asio::steady_timer timer_;
  const std::uint64_t seed_;
  const std::uint64_t length_;
  const duration delay_;
  std::function<void()> on_cancel_;
  std::uint64_t offset_ = 0;
  std::string part_;
  bool cancelled_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_BACKEND_STUB_SRC_GENERATED_BODY_H_
