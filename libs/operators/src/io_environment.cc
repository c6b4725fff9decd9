#include "operators/io_environment.h"

#include <boost/asio/steady_timer.hpp>
#include <random>
#include <utility>

namespace pomelohall {

io_environment::io_environment(http_object_store_options platform,
                               std::ostream& notices)
    : store_(io_, std::move(platform)), notices_(notices) {}

void io_environment::RunOnce() {
  io_.restart();
  io_.run_one();
}

void io_environment::Sleep(duration span) {
  boost::asio::steady_timer timer(io_, span);
  bool expired = false;
  timer.async_wait(
      [&expired](const boost::system::error_code&) { expired = true; });
  while (!expired) RunOnce();
}

std::uint64_t io_environment::RandomBits() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

void io_environment::Notice(const std::string& line) {
  notices_ << line << std::endl;
}

}  // namespace pomelohall
