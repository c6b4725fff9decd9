#include "http/http_signals.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <utility>

namespace pomelohall {
namespace asio = boost::asio;

void KeepSignalHandled(int signal_number) {
  // Never destroyed.
  static auto* const io = new asio::io_context;
  static auto* const signals = new asio::signal_set(*io);
  signals->add(signal_number);
}

std::shared_ptr<void> OnStopSignal(asio::io_context& io,
                                   std::function<void()> stop) {
  KeepSignalHandled(SIGTERM);
  KeepSignalHandled(SIGINT);
  auto signals = std::make_shared<asio::signal_set>(io, SIGTERM, SIGINT);
  signals->async_wait(
      [stop = std::move(stop)](const boost::system::error_code& error, int) {
        if (!error) stop();
      });
  return signals;
}

}  // namespace pomelohall
