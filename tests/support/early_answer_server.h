#ifndef POMELOHALL_TESTS_SUPPORT_EARLY_ANSWER_SERVER_H_
#define POMELOHALL_TESTS_SUPPORT_EARLY_ANSWER_SERVER_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <string>

#include "serial_server.h"

namespace pomelohall {

/// How an early_answer_server ends a connection after its answer.
enum class answer_end {
  kReset,         ///< With a reset, while the upload waits to be read.
  kEndThenReset,  ///< Ends its sending side first, so the answer is whole.
  kEndOnly,       ///< Ends its sending side, and reads the upload later.
  kClose,         ///< Reads the whole upload before it answers and closes.
};

/// What an early_answer_server sends.
struct early_answer {
  std::string bytes;
  answer_end end = answer_end::kReset;
};

/// A server that answers an upload before it has read it. Serves one connection
/// at a time on its own thread. Its receive buffer is limited, so that a
/// sender of a large upload has to wait.
class early_answer_server {
 public:
  /// Returns the answer to a request header.
  using script = std::function<early_answer(const std::string& header)>;

  explicit early_answer_server(script respond);

  std::string Address() const { return server_.Address(); }
  /// Number of connections that it has ended.
  int Ended() const { return ended_; }

 private:
  void Serve(boost::asio::ip::tcp::socket& socket, const std::string& received,
             std::size_t header_bytes);

  script respond_;
  std::atomic<int> ended_{0};
  serial_server server_;  // Last: its thread uses the others.
};

}  // namespace pomelohall

#endif  // POMELOHALL_TESTS_SUPPORT_EARLY_ANSWER_SERVER_H_
