#ifndef POMELOHALL_CALLER_CALL_SERVER_H_
#define POMELOHALL_CALLER_CALL_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "base/error.h"
#include "base/time.h"
#include "caller/incoming_request.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace pomelohall {

/// Receives the requests of an call_server.
class call_handler {
 public:
  virtual ~call_handler() = default;
  virtual void OnRequest(std::shared_ptr<incoming_request> request) = 0;
};

/// Settings of an call_server.
struct call_server_options {
  std::string address = "127.0.0.1:0";  ///< "ip:port"; port 0: any free one.
  /// A connection without a request is closed after this time.
  duration idle_timeout = std::chrono::seconds(60);
  /// Time from the first byte of a header to its end.
  duration header_timeout = std::chrono::seconds(10);
  /// A body that moves no byte for this time ends its connection.
  duration progress_timeout = std::chrono::seconds(60);
  std::size_t max_header_bytes = 16'384;
};

/// HTTP/1.1 server: keep-alive, pipelining, bodies with back-pressure. Used on
/// the thread of the I/O context only. Malformed requests and headers above
/// 16 KB are answered by the server itself and end their connection only.
class call_server {
 public:
  /// @param handler Must outlive the server and its last request.
  call_server(boost::asio::io_context& io, call_server_options options,
              call_handler& handler);
  ~call_server();
  call_server(const call_server&) = delete;
  call_server& operator=(const call_server&) = delete;

  /// Starts to listen. Fails with `kInvalidSettings` if the address is
  /// malformed or in use.
  result<void> Listen();

  /// Returns the address in use, "ip:port". Listen() must have succeeded.
  std::string Address() const;

  /// Changes the limits of all connections; the address stays as it is.
  void SetLimits(const call_server_options& options);

  /// Ends each connection with its next answer; idle connections and the
  /// listener stay open.
  void CloseAfterAnswers();

  /// Stops to accept connections, closes idle ones, and lets the requests in
  /// progress end with `Connection: close`. `done` is called when the last
  /// connection has ended, at the earliest after Stop() returned.
  void Stop(std::function<void()> done);

  /// Closes the listener and all connections at once.
  void Abort();

  /// Closes connections whose time has passed. To be called about each second.
  void Sweep(instant now);

  /// Returns the number of open connections.
  std::size_t OpenConnections() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_CALL_SERVER_H_
