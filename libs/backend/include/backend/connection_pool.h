#ifndef POMELOHALL_BACKEND_CONNECTION_POOL_H_
#define POMELOHALL_BACKEND_CONNECTION_POOL_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "backend/exchange.h"
#include "base/error.h"
#include "base/time.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace pomelohall {

/// Settings of a connection_pool.
struct pool_options {
  /// Connections to one address at once; calls above it wait for one.
  std::size_t max_connections = 100;
  /// Time until a connection must be open.
  duration connect_timeout = std::chrono::seconds(2);
  /// An idle connection is closed after this time.
  duration idle_timeout = std::chrono::seconds(30);
  /// A connection that moves no byte during an answer is closed after this.
  duration progress_timeout = std::chrono::seconds(60);
  /// Sent bytes that are not acknowledged for this time, and a connection whose
  /// other side answers no keep-alive probes, end the connection. 0: the
  /// system's defaults.
  duration silence_timeout{0};
  /// Field that an answer repeats from its request. An answer with another
  /// value belongs to an earlier request and is skipped.
  std::string echo_field{kCallIdField};
  /// Takes answers without a length, which end with their connection. Such an
  /// answer is passed on as chunked; it is whole unless the connection is
  /// reset. False: they count as cut short.
  bool allow_unframed = false;
  /// Error of a call that found no connection (always not run).
  error_kind connect_error = error_kind::kNoBackendServer;
  /// Error of a call whose connection broke before its answer started.
  error_kind lost_error = error_kind::kBackendFailed;
};

/// Keep-alive HTTP/1.1 connections, one call at a time on each. Used on the
/// thread of the I/O context only. Calls in progress outlive the pool.
class connection_pool {
 public:
  connection_pool(boost::asio::io_context& io, pool_options options);
  ~connection_pool();
  connection_pool(const connection_pool&) = delete;
  connection_pool& operator=(const connection_pool&) = delete;

  /// Sends a request to `address` ("ip:port"). An answer to another request, by
  /// its echo field, is skipped; if it does not end by itself, the call fails
  /// with `kAnswerMismatch`. A body that stops early fails with
  /// `kAnswerCutShort`.
  std::shared_ptr<exchange> Start(const std::string& address,
                                  outgoing_request request,
                                  exchange_events events);

  /// Checks whether a process listens on `address`: tells `done` true if a
  /// connection opens and stays open for some milliseconds.
  void Probe(const std::string& address, std::function<void(bool)> done);

  /// Closes idle connections whose time has passed or that the other side
  /// closed, and calls that stalled. To be called about once a second.
  void Sweep(instant now);

  /// Closes all idle connections; connections in use close after their call.
  void CloseIdle();

  /// Returns the number of open connections to `address`.
  std::size_t OpenConnections(const std::string& address) const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_BACKEND_CONNECTION_POOL_H_
