#ifndef POMELOHALL_TESTS_HTTP_SCRIPTED_SERVER_H_
#define POMELOHALL_TESTS_HTTP_SCRIPTED_SERVER_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

#include "serial_server.h"

namespace pomelohall {

/// A backend server that responds with bytes chosen by the test. Serves one
/// connection at a time on its own thread. For faults that a correct server
/// does not produce.
class scripted_server {
 public:
  /// Returns the bytes of the response to a request header. The connection is
  /// closed after them.
  using script = std::function<std::string(const std::string& header)>;

  explicit scripted_server(script respond);

  std::string Address() const { return server_.Address(); }
  /// Number of requests whose header arrived.
  int Requests() const { return requests_; }

 private:
  void Serve(boost::asio::ip::tcp::socket& socket, const std::string& header);

  script respond_;
  std::atomic<int> requests_{0};
  serial_server server_;  // Last: its thread uses the others.
};

/// Returns the value of a field in a request header, empty if it is absent.
std::string HeaderValue(const std::string& header, const std::string& name);

}  // namespace pomelohall

#endif  // POMELOHALL_TESTS_HTTP_SCRIPTED_SERVER_H_
