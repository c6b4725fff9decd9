#ifndef POMELOHALL_HTTP_HTTP_SIGNALS_H_
#define POMELOHALL_HTTP_HTTP_SIGNALS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace pomelohall {

/// Keeps a handler for the signal until the process ends. Without it, the last
/// signal_set that is destroyed restores the default action, which kills a
/// process that receives the signal while it stops.
void KeepSignalHandled(int signal_number);

/// Calls `stop` on the I/O thread when the first SIGTERM or SIGINT arrives.
/// Later ones have no effect until the process ends. Destroying the returned
/// handle cancels the pending wait, so that `io.run()` can return.
std::shared_ptr<void> OnStopSignal(boost::asio::io_context& io,
                                   std::function<void()> stop);

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP_HTTP_SIGNALS_H_
