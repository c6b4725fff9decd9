#ifndef POMELOHALL_BACKEND_CONNECTION_POOL_H_
#define POMELOHALL_BACKEND_CONNECTION_POOL_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "backend/exchange.h"
#include "base/error.h"
#include "base/http_limits.h"
#include "base/time.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace pomelohall {

/// Result of a probe for a listening process.
enum class probe_result {
  kAccepted,  ///< The connection opened and stayed open for some milliseconds.
  kRefused,   ///< No process listens at the address.
  kUnclear,   ///< The connection was closed at once, or did not open in time.
};

/// Settings of a connection_pool.
struct pool_options {
  /// Maximum number of connections per address; further calls are queued.
  std::size_t max_connections = 100;
  /// Longest wait of a queued call for a connection. It then fails with
  /// `kOverloaded`, as not run: its deadline field, if any, was set when it was
  /// queued.
  duration max_wait = duration::max();
  /// Timeout for opening a connection.
  duration connect_timeout = std::chrono::seconds(2);
  /// Idle connections are closed after this time.
  duration idle_timeout = std::chrono::seconds(30);
  /// A connection is closed if a response makes no progress for this time.
  duration progress_timeout = std::chrono::seconds(60);
  /// A connection is closed if sent bytes stay unacknowledged for this time, or
  /// if the peer does not respond to TCP keep-alive probes. 0 keeps the system
  /// defaults.
  duration dead_peer_timeout{0};
  /// Limit of a response's head. A larger one is broken.
  std::size_t max_head_bytes = kMaxResponseHeadBytes;
  /// Name of the field that a response echoes from its request. A response with
  /// a different value belongs to an earlier request and is skipped.
  std::string echo_field{kCallIdField};
  /// Whether the peer echoes the field in all responses. If so, a response
  /// without it is accepted only on a connection that has carried no other
  /// request: on a reused connection it may be a repeated response to an
  /// earlier request, so the call fails with `kAnswerMismatch` and its outcome
  /// is unknown. Off for daemons, which never repeat a response and do not echo
  /// the field in their error responses.
  bool peer_echoes_always = false;
  /// Returns whether a response promises that the request was not run; may be
  /// empty. The connection is closed after such a response, so that a copy of
  /// it can meet no later request, not even the same one sent again. With
  /// `peer_echoes_always`, such a response to a request that has no echo field
  /// itself is subject to the same rule. Other responses to such requests are
  /// accepted, as nothing could be echoed.
  std::function<bool(const response_head&)> is_refusal{};
  /// Accepts responses whose end is marked by the close of the connection. They
  /// are forwarded as chunked, and are complete unless the connection is reset
  /// or lost. If false, they fail with `kAnswerCutShort`.
  bool allow_close_delimited = false;
  /// Error of a call that got no connection (always not run).
  error_kind connect_error = error_kind::kNoBackendServer;
  /// Error of a call whose connection broke before the response started, or
  /// whose response is broken.
  error_kind disconnect_error = error_kind::kBackendFailed;
};

/// Pool of keep-alive HTTP/1.1 connections that each carry one call at a time.
/// Used on the thread of the I/O context only. Calls in progress outlive the
/// pool.
class connection_pool {
 public:
  connection_pool(boost::asio::io_context& io, pool_options options);
  /// Closes idle connections. Connections in use close after their call.
  ~connection_pool();
  connection_pool(const connection_pool&) = delete;
  connection_pool& operator=(const connection_pool&) = delete;

  /// Sends a request to `address` ("ip:port"). Skips responses to other
  /// requests, detected by the echo field; the call fails with
  /// `kAnswerMismatch` if such a response ends only with its connection. A body
  /// that ends early or breaks fails with `kAnswerCutShort`, a response that
  /// response_parser rejects with pool_options::disconnect_error.
  std::shared_ptr<exchange> Start(const std::string& address,
                                  outgoing_request request,
                                  exchange_events events);

  /// Checks whether a process listens on `address` with a new connection.
  void Probe(const std::string& address,
             std::function<void(probe_result)> done);

  /// Closes idle connections that timed out or that the peer closed, and fails
  /// stalled calls. Call it about once a second.
  void Sweep(instant now);

  /// Closes all idle connections. Connections in use are not affected.
  void CloseIdle();

  /// Returns the number of open connections to `address`.
  std::size_t OpenConnections(const std::string& address) const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_BACKEND_CONNECTION_POOL_H_
