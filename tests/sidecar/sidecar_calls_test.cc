#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <mutex>
#include <string>
#include <vector>

#include "sidecar_fleet.h"

namespace pomelohall {
namespace {

using std::chrono::seconds;

/// Records the request headers that a backend server received. Thread-safe.
class header_log {
 public:
  void Add(const std::string& header) {
    const std::lock_guard lock(mutex_);
    headers_.push_back(header);
  }
  std::string Last() {
    const std::lock_guard lock(mutex_);
    return headers_.empty() ? std::string() : headers_.back();
  }

 private:
  std::mutex mutex_;
  std::vector<std::string> headers_;
};

std::string NotExecutedResponse() {
  return "HTTP/1.1 503 X\r\nPomelohall-Not-Executed: 1\r\n"
         "Content-Length: 0\r\n\r\n";
}

// Guards against a daemon without a configuration that accepts requests, or
// refuses them without Retry-After.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_NoConfiguration_RefusesAndIsNotReady",
                 "[sidecar]") {
  AddSidecar(nullptr);
  CHECK_FALSE(IsReady(0));
  const auto response = Call(0, "GET", "/safe/1");
  CHECK(response.status == 503);
  CHECK_FALSE(response.Field("Retry-After").empty());
  CHECK(response.Field("Pomelohall-Attempt-Id") == "a1");
}

// Guards against a daemon that refuses all requests while the store is
// unavailable, although other daemons have the configuration.
TEST_CASE_METHOD(sidecar_fleet,
                 "Sidecar_ConfigurationUnavailable_IsFetchedFromADaemon",
                 "[sidecar]") {
  scripted_server server(
      [](const std::string&) { return SignedResponse(200, "a1", "ok"); });
  AddSidecar(nullptr, "front");
  PublishConfig(3);
  WaitUntilOffered(0);
  RunOnIoThread([this] { store_->failing_kind = "config"; });
  AddSidecar(&server);
  CHECK_FALSE(IsReady(1));
  // Without a request of a caller, it asks the other daemon itself. The other
  // daemon's watch pauses after each change, so that daemon receives the new
  // member record within two pauses.
  std::this_thread::sleep_for(std::chrono::milliseconds(1300));
  CHECK(IsReady(1));
  CHECK(Call(0, "GET", "/safe/1").status == 200);
  CHECK(Call(1, "GET", "/safe/1").status == 200);
}

// Guards against treating a caller's request with a forged field as another
// daemon's configuration fetch.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_ForgedFetch_IsForwarded",
                 "[sidecar]") {
  scripted_server server(
      [](const std::string&) { return SignedResponse(200, "a1", "ok"); });
  AddSidecar(nullptr, "front");
  AddSidecar(&server);
  PublishConfig(3);
  WaitUntilOffered(1);
  const auto response =
      Call(0, "GET", "/safe/1", "Pomelohall-Mesh-Fetch: 1\r\n");
  CHECK(response.body == "ok");
}

// Guards against header fields that are lost, forged or leaked when a request
// passes through two daemons.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_CallOverTwoDaemons_KeepsItsFields",
                 "[sidecar]") {
  header_log headers;
  scripted_server server([&](const std::string& header) {
    headers.Add(header);
    return SignedResponse(200, "a1", "hello");
  });
  AddSidecar(nullptr, "front");
  AddSidecar(&server);
  PublishConfig(3);
  WaitUntilOffered(1);
  const auto response = Call(0, "GET", "/safe/1?q=2",
                             "Pomelohall-Caller-Service: forged\r\nX-Own: 7\r\n"
                             "Pomelohall-Mesh-Priority: 0\r\n");
  CHECK(response.status == 200);
  CHECK(response.body == "hello");
  CHECK(response.Field("Pomelohall-Response-Signature") == "sig");
  CHECK(response.Field("Pomelohall-Mesh-Load").empty());
  const auto header = headers.Last();
  CHECK(header.starts_with("GET /safe/1?q=2 HTTP/1.1\r\n"));
  CHECK(HeaderValue(header, "Host") == "test");
  CHECK(HeaderValue(header, "Pomelohall-Attempt-Id") == "a1");
  CHECK(HeaderValue(header, "Pomelohall-Caller-Service") == "front");
  CHECK(HeaderValue(header, "Pomelohall-Expect-Instance") == "i-1");
  CHECK(HeaderValue(header, "X-Own") == "7");
  CHECK(header.find("Pomelohall-Mesh-") == std::string::npos);
  const auto remaining_ms =
      std::stoi(HeaderValue(header, "Pomelohall-Request-Deadline"));
  CHECK(remaining_ms > 1000);
  CHECK(remaining_ms <= 2500);
}

// Guards against forwarding requests that match no route, and against ignoring
// a version that is published while the daemon runs.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_UnknownRoute_IsNotFound",
                 "[sidecar]") {
  AddSidecar(nullptr);
  PublishConfig(3);
  WaitUntilOffered(0);
  CHECK(Call(0, "GET", "/other/1").status == 404);
}

// Guards against an order that runs twice because its response is lost and it
// is retried on another backend server.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_OrderWithLostResponse_RunsOnce",
                 "[sidecar]") {
  scripted_server first_server(
      [](const std::string&) { return std::string(); });
  scripted_server second_server(
      [](const std::string&) { return std::string(); });
  AddSidecar(&first_server);
  AddSidecar(&second_server);
  PublishConfig(3);
  WaitUntilOffered(2);
  const auto response = Call(0, "POST", "/order/1", "", "x");
  CHECK(response.status == 502);
  CHECK(first_server.Requests() + second_server.Requests() == 1);
}

// Guards against a lookup that fails although another backend server could
// serve it, and against one that is sent to more backend servers than its route
// allows.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_LookupWithLostResponse_IsRetried",
                 "[sidecar]") {
  std::atomic<int> request_count = 0;
  const auto first_fails = [&](const std::string&) {
    return ++request_count == 1 ? std::string()
                                : SignedResponse(200, "a1", "ok");
  };
  scripted_server first_server(first_fails);
  scripted_server second_server(first_fails);
  AddSidecar(&first_server);
  AddSidecar(&second_server);
  PublishConfig(3);
  WaitUntilOffered(2);
  CHECK(Call(0, "GET", "/safe/1").body == "ok");
  CHECK(request_count == 2);
}

// Guards against reporting a refused order as one of unknown outcome, which
// callers do not retry, and against the reverse.
TEST_CASE_METHOD(sidecar_fleet,
                 "Sidecar_OrderRefusedByServers_IsReportedAsNotRun",
                 "[sidecar]") {
  scripted_server first_server(
      [](const std::string&) { return NotExecutedResponse(); });
  scripted_server second_server(
      [](const std::string&) { return NotExecutedResponse(); });
  AddSidecar(&first_server);
  AddSidecar(&second_server);
  PublishConfig(3);
  WaitUntilOffered(2);
  const auto response = Call(0, "POST", "/order/1", "", "x");
  CHECK(response.status == 503);
  CHECK(std::stod(response.Field("Retry-After")) > 0.1);
  CHECK(first_server.Requests() + second_server.Requests() == 2);
}

// Guards against reporting a request that ran as not run because its retry was
// refused. The caller gets the failure of the first run.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_RetryIsRefused_ReturnsTheFirstFailure",
                 "[sidecar]") {
  std::atomic<int> request_count = 0;
  const auto respond_in_turn = [&](const std::string&) {
    return ++request_count == 1 ? SignedResponse(500, "a1", "failed")
                                : NotExecutedResponse();
  };
  scripted_server first_server(respond_in_turn);
  scripted_server second_server(respond_in_turn);
  AddSidecar(&first_server);
  AddSidecar(&second_server);
  PublishConfig(3);
  WaitUntilOffered(2);
  const auto response = Call(0, "GET", "/safe/1");
  CHECK(response.status == 500);
  CHECK(response.body == "failed");
}

// Guards against forwarding a successful response that has no signature, or
// that belongs to another request.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_ForeignResponse_IsNotForwarded",
                 "[sidecar]") {
  scripted_server server([](const std::string& header) {
    return header.starts_with("GET /safe/unsigned")
               ? std::string("HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nhi")
               : SignedResponse(200, "other", "stale") +
                     SignedResponse(200, "a1", "own");
  });
  AddSidecar(&server);
  PublishConfig(3);
  WaitUntilOffered(1);
  CHECK(Call(0, "GET", "/safe/unsigned").status == 502);
  CHECK(Call(0, "GET", "/safe/late").body == "own");
}

// Guards against truncating responses without a length, which end when their
// connection is closed.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_ResponseWithoutLength_IsComplete",
                 "[sidecar]") {
  scripted_server server([](const std::string&) {
    return std::string(
        "HTTP/1.1 200 X\r\nPomelohall-Attempt-Id: a1\r\n"
        "Pomelohall-Response-Signature: sig\r\n\r\nall of it");
  });
  AddSidecar(&server);
  PublishConfig(3);
  WaitUntilOffered(1);
  const auto response = Call(0, "GET", "/safe/1");
  CHECK(response.complete);
  CHECK(response.body == "all of it");
}

// Guards against routing new requests to a draining backend server.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_DrainingServer_GetsNoNewRequests",
                 "[sidecar]") {
  const auto serve = [](const std::string&) {
    return SignedResponse(200, "a1", "ok");
  };
  scripted_server draining(serve);
  scripted_server serving(serve);
  AddSidecar(&draining);
  AddSidecar(&serving);
  PublishConfig(3);
  WaitUntilOffered(2);
  AnnounceDraining(0);
  const int before = draining.Requests();
  for (int i = 0; i < 10; ++i) {
    CHECK(Call(static_cast<std::size_t>(i) % 2, "GET", "/safe/1").status ==
          200);
  }
  CHECK(draining.Requests() == before);
}

// Guards against requests that fail or stall on a terminated backend server.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_TerminatedServer_IsAvoided",
                 "[sidecar]") {
  scripted_server serving(
      [](const std::string&) { return SignedResponse(200, "a1", "ok"); });
  auto terminated = std::make_unique<scripted_server>(
      [](const std::string&) { return SignedResponse(200, "a1", "ok"); });
  AddSidecar(terminated.get());
  AddSidecar(&serving);
  PublishConfig(3);
  WaitUntilOffered(2);
  terminated.reset();
  for (int i = 0; i < 5; ++i) {
    CHECK(Call(0, "POST", "/order/1", "", "x").status == 200);
  }
}

// Guards against a planned stop that aborts requests, and against one that
// takes longer than its grace period.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_Stop_ServesUntilCallersDisconnect",
                 "[sidecar]") {
  scripted_server server(
      [](const std::string&) { return SignedResponse(200, "a1", "ok"); });
  AddSidecar(&server);
  PublishConfig(3);
  WaitUntilOffered(1);
  auto stopped = Stop(0);
  CHECK_FALSE(IsReady(0));
  CHECK(Call(0, "GET", "/safe/1").status == 200);
  CHECK(stopped.wait_for(seconds(6)) == std::future_status::ready);
}

// Guards against a refused request whose caller is not told that it did not
// run: without a promise, an order cannot be sent again.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_RefusedByTheOnlyServer_SaysNotRun",
                 "[sidecar]") {
  scripted_server server(
      [](const std::string&) { return NotExecutedResponse(); });
  AddSidecar(&server);
  PublishConfig(3);
  WaitUntilOffered(1);
  const auto response = Call(0, "POST", "/order/1", "", "x");
  CHECK(response.status == 503);
  CHECK_FALSE(response.Field("Retry-After").empty());
}

}  // namespace
}  // namespace pomelohall
