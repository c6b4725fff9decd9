#ifndef POMELOHALL_TESTS_HTTP_RUN_ON_IO_H_
#define POMELOHALL_TESTS_HTTP_RUN_ON_IO_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <type_traits>
#include <utility>

namespace pomelohall {

/// Runs `action` on the thread of an I/O context and returns its result.
template <typename Action>
auto RunOnIo(boost::asio::io_context& io, Action action) {
  std::packaged_task<std::invoke_result_t<Action>()> task(std::move(action));
  auto done = task.get_future();
  boost::asio::post(io, [&task] { task(); });
  return done.get();
}

}  // namespace pomelohall

#endif  // POMELOHALL_TESTS_HTTP_RUN_ON_IO_H_
