#include "http/http_signals.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <utility>

namespace pomelohall {

std::shared_ptr<void> OnStopSignal(boost::asio::io_context& io,
                                   std::function<void()> stop) {
  auto signals = std::make_shared<boost::asio::signal_set>(io, SIGTERM, SIGINT);
  signals->async_wait(
      [stop = std::move(stop)](const boost::system::error_code& error, int) {
        if (!error) stop();
      });
  return signals;
}

}  // namespace pomelohall
