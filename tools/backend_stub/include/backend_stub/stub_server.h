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
  std::uint32_t slots = 20;             ///< Requests above it are refused.
  duration service_time{0};             ///< Of each request.
  double speed = 1.0;                   ///< Divides `service_time`; above 0.
  bool lie_about_load = false;          ///< `/load` always reports 0.
  /// Crash on a request with the field `X-Test-Crash`; empty: ignore it.
  std::function<void()> on_crash = {};
};

/// What a stub_server and its requests share. A request that is cancelled late
/// outlives the server.
struct stub_state {
  boost::asio::io_context& io;
  const stub_options options;
  std::map<std::string, std::uint64_t> executions =
      {};  ///< By idempotency key.
  std::uint32_t running = 0;
  std::uint64_t runs = 0;
  std::uint64_t cancelled = 0;
};

/// A backend server for tests. The last segment of the path selects what it
/// does:
/// - `bytes?n=N&seed=S&chunk_delay_ms=D`: N bytes of FillPattern(), chunked;
/// - `sleep?ms=N`: answers after N ms;
/// - `load`: `{"running": .., "slots": ..}`;
/// - `executions?key=K`: how often a request with the Idempotency-Key K ran;
/// - anything else: the request's body, or its target if it has none.
///
/// A request above the slots is refused with 503 and `Pomelohall-Outcome:
/// not_run`. Pomelohall-Call-Id is echoed.
class stub_server final : public call_handler {
 public:
  stub_server(boost::asio::io_context& io, stub_options options);
  ~stub_server() override;

  /// Fails with `kInvalidSettings` if the address is in use.
  result<void> Listen();
  std::string Address() const { return server_.Address(); }

  /// Lets the requests in progress end, then calls `done`.
  void Stop(std::function<void()> done);
  /// Closes the listener and all connections, as a crash does.
  void Abort() { server_.Abort(); }

  std::uint32_t Running() const { return state_->running; }
  std::uint64_t Runs() const { return state_->runs; }
  std::uint64_t Cancelled() const { return state_->cancelled; }
  std::uint64_t Executions(const std::string& key) const;

  void OnRequest(std::shared_ptr<incoming_request> request) override;

 private:
  void Refuse(incoming_request& request);
  bool AnswerControl(incoming_request& request, std::string_view action);
  void ScheduleSweep();

  struct timers;
  const std::shared_ptr<stub_state> state_;
  call_server server_;
  std::unique_ptr<timers> timers_;
};

/// Returns the value of `name` in the query of a target, or `fallback`.
std::string QueryValue(std::string_view target, std::string_view name,
                       std::string_view fallback = {});

}  // namespace pomelohall

#endif  // POMELOHALL_BACKEND_STUB_STUB_SERVER_H_
