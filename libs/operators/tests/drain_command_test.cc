#include "operators/drain_command.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <thread>

#include "http/http_server.h"

namespace pomelohall {
namespace {

/// Runs a daemon stub that sends a fixed response, on its own thread.
class daemon_fixture {
 protected:
  ~daemon_fixture() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
  }

  command_output Drain(const http_response& answer) {
    server_ = std::move(*http_server::Listen(
        io_, {},
        [this, answer](const http_request& request,
                       const std::shared_ptr<http_responder>& responder) {
          request_line_ = request.method + " " + request.target;
          responder->Send(answer);
        }));
    address_ = server_->Address();
    thread_ = std::thread([this] { io_.run(); });
    return RunDrain({.daemon = address_, .timeout = std::chrono::seconds(60)});
  }

  boost::asio::io_context io_;
  std::unique_ptr<http_server> server_;
  std::thread thread_;
  std::string address_;
  std::string request_line_;
};

}  // namespace

TEST_CASE_METHOD(daemon_fixture, "Drain_DaemonAccepts_ExitCode0") {
  const auto output = Drain(JsonResponse(200, "{}"));
  CHECK(ExitCode(output) == 0);
  CHECK(output.text ==
        "the backend server of " + address_ + " gets no new work\n");
  CHECK(request_line_ == "POST /v1/drain");
}

TEST_CASE_METHOD(daemon_fixture, "Drain_DaemonRefuses_ShowsItsError") {
  const auto output =
      Drain(ErrorResponse({error_kind::kNoBackendServer, "none announced"}));
  CHECK(ExitCode(output) == 1);
  CHECK(output.failure->kind == error_kind::kNoBackendServer);
}

TEST_CASE("Drain_NoDaemon_IsUnreachable") {
  // Port 1 of the loopback address has no listener.
  const auto output = RunDrain({.daemon = "127.0.0.1:1"});
  REQUIRE(output.failure.has_value());
  CHECK(output.failure->kind == error_kind::kPeerUnreachable);
}

}  // namespace pomelohall
