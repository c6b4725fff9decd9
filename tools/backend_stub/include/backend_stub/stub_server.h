#ifndef POMELOHALL_BACKEND_STUB_STUB_SERVER_H_
#define POMELOHALL_BACKEND_STUB_STUB_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/time.h"
#include "caller/call_server.h"
#include "caller/incoming_request.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace pomelohall {

/// Settings of a stub_server.
struct stub_options {
  std::string address = "127.0.0.1:0";  ///< "ip:port" to listen on.
  std::uint32_t slots = 20;       ///< Maximum number of concurrent requests.
  duration service_time{0};       ///< Processing time of a request at speed 1.
  double speed = 1.0;             ///< Divisor of `service_time`; above 0.
  bool report_zero_load = false;  ///< `load` always reports 0.
  /// Called for a request with the field `X-Test-Crash`, which then gets no
  /// response. If empty, the field is ignored.
  std::function<void()> on_crash = {};
};

/// State that a stub_server and its requests share. They share its ownership
/// because a request that is cancelled late outlives the server.
struct stub_state {
  boost::asio::io_context& io;
  const stub_options options;
  /// Number of started requests by idempotency key.
  std::map<std::string, std::uint64_t> executions = {};
  std::uint32_t running = 0;    ///< Requests in progress.
  std::uint64_t runs = 0;       ///< Requests started so far.
  std::uint64_t cancelled = 0;  ///< Requests whose connection broke.
};

/// A backend server for tests. The last segment of the path selects the
/// response:
/// - `bytes?n=N&seed=S&chunk_delay_ms=D`: N bytes of FillPattern() with chunked
///   encoding, D ms before each part;
/// - `sleep?ms=N`: like any other path, after an additional delay of N ms;
/// - `load`: `{"running": .., "slots": ..}`;
/// - `executions?key=K`: the number of requests with the Idempotency-Key K that
///   were started;
/// - any other: the request body, or the request target if there is no body.
///
/// If all slots are occupied, a request is rejected with 503 and
/// `Pomelohall-Outcome: not_run`. `load` and `executions` need no slot.
/// Responses echo the Pomelohall-Call-Id of the request.
class stub_server final : public call_handler {
 public:
  stub_server(boost::asio::io_context& io, stub_options options);
  ~stub_server() override;

  /// Fails with `kInvalidSettings` if the address is in use.
  result<void> Listen();
  std::string Address() const { return server_.Address(); }

  /// Stops accepting connections and calls `done` after the requests in
  /// progress have ended.
  void Stop(std::function<void()> done);
  /// Closes the listener and all connections immediately, to simulate a crash.
  void Abort() { server_.Abort(); }

  /// Returns the number of requests in progress.
  std::uint32_t Running() const { return state_->running; }
  /// Returns the number of requests started so far.
  std::uint64_t Runs() const { return state_->runs; }
  /// Returns the number of requests whose connection broke before the response.
  std::uint64_t Cancelled() const { return state_->cancelled; }
  /// Returns the number of requests started with an idempotency key.
  std::uint64_t Executions(const std::string& key) const;

  void OnRequest(std::shared_ptr<incoming_request> request) override;

 private:
  void Reject(incoming_request& request);
  // Responds to `load` and `executions`. Returns false for other actions.
  bool HandleControlRequest(incoming_request& request, std::string_view action);
  void ScheduleSweep();

  struct timers;
  const std::shared_ptr<stub_state> state_;
  call_server server_;
  std::unique_ptr<timers> timers_;
};

/// Returns the value of `name` in the query string of a request target, or
/// `fallback` if it is missing.
std::string QueryValue(std::string_view target, std::string_view name,
                       std::string_view fallback = {});

}  // namespace pomelohall

#endif  // POMELOHALL_BACKEND_STUB_STUB_SERVER_H_
