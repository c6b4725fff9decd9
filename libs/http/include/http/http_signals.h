#ifndef POMELOHALL_HTTP_HTTP_SIGNALS_H_
#define POMELOHALL_HTTP_HTTP_SIGNALS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace pomelohall {

/// Calls `stop` on the I/O thread when the first SIGTERM or SIGINT arrives.
/// Destroying the returned handle cancels the pending wait, so that `io.run()`
/// can return.
std::shared_ptr<void> OnStopSignal(boost::asio::io_context& io,
                                   std::function<void()> stop);

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP_HTTP_SIGNALS_H_
