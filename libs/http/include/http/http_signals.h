#ifndef POMELOHALL_HTTP_HTTP_SIGNALS_H_
#define POMELOHALL_HTTP_HTTP_SIGNALS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace pomelohall {

/// Calls `stop` on the I/O thread at the first SIGTERM or SIGINT. Destroying
/// the returned handle ends the wait, which lets `io.run()` return.
std::shared_ptr<void> OnStopSignal(boost::asio::io_context& io,
                                   std::function<void()> stop);

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP_HTTP_SIGNALS_H_
