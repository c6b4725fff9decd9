#ifndef POMELOHALL_OPERATORS_IO_ENVIRONMENT_H_
#define POMELOHALL_OPERATORS_IO_ENVIRONMENT_H_

#include <boost/asio/io_context.hpp>
#include <ostream>
#include <string>

#include "operators/environment.h"
#include "platform/http_object_store.h"

namespace pomelohall {

/// Production environment: accesses the platform over HTTP and uses the
/// monotonic clock.
class io_environment : public environment {
 public:
  /// @param notices Receives progress lines; must outlive this object.
  io_environment(http_object_store_options platform, std::ostream& notices);

  object_store& Store() override { return store_; }
  instant Now() override { return MonotonicNow(); }
  void RunOnce() override;
  void Sleep(duration span) override;
  std::uint64_t RandomBits() override;
  void Notice(const std::string& line) override;

 private:
  boost::asio::io_context io_;
  http_object_store store_;
  std::ostream& notices_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_OPERATORS_IO_ENVIRONMENT_H_
