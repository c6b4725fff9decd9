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

/// Remembers the headers that reached a backend server.
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

std::string Refusal() {
  return "HTTP/1.1 503 X\r\nPomelohall-Not-Executed: 1\r\n"
         "Content-Length: 0\r\n\r\n";
}

// Guards against a daemon that takes work, or says that the request cannot be
// repeated, before it knows a configuration.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_NoConfiguration_RefusesAndIsNotReady",
                 "[sidecar]") {
  Add(nullptr);
  CHECK_FALSE(IsReady(0));
  const auto answer = Call(0, "GET", "/safe/1");
  CHECK(answer.status == 503);
  CHECK_FALSE(answer.Field("Retry-After").empty());
  CHECK(answer.Field("Pomelohall-Attempt-Id") == "a1");
}

// Guards against a daemon that refuses all requests while the store does not
// serve it, although daemons around it have the configuration.
TEST_CASE_METHOD(sidecar_fleet,
                 "Sidecar_ConfigurationOutOfReach_IsFetchedFromADaemon",
                 "[sidecar]") {
  scripted_server server(
      [](const std::string&) { return Signed(200, "a1", "ok"); });
  Add(nullptr, "front");
  Configure(3);
  WaitUntilKnown(0);
  OnIo([this] { store_->failing_kind = "config"; });
  Add(&server);
  // The other daemon learns of it within two pauses of its watch.
  std::this_thread::sleep_for(std::chrono::milliseconds(1100));
  CHECK_FALSE(IsReady(1));
  CHECK(Call(0, "GET", "/safe/1").status == 200);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  CHECK(IsReady(1));
  CHECK(Call(1, "GET", "/safe/1").status == 200);
}

// Guards against a caller that makes a daemon take its request for one of
// another daemon.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_ForgedFetch_IsForwarded",
                 "[sidecar]") {
  scripted_server server(
      [](const std::string&) { return Signed(200, "a1", "ok"); });
  Add(nullptr, "front");
  Add(&server);
  Configure(3);
  WaitUntilKnown(1);
  const auto answer = Call(0, "GET", "/safe/1", "Pomelohall-Mesh-Fetch: 1\r\n");
  CHECK(answer.body == "ok");
}

// Guards against fields that are lost, forged or leaked on the way over two
// daemons.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_CallOverTwoDaemons_KeepsItsFields",
                 "[sidecar]") {
  header_log headers;
  scripted_server server([&](const std::string& header) {
    headers.Add(header);
    return Signed(200, "a1", "hello");
  });
  Add(nullptr, "front");
  Add(&server);
  Configure(3);
  WaitUntilKnown(1);
  const auto answer = Call(0, "GET", "/safe/1?q=2",
                           "Pomelohall-Caller-Service: forged\r\nX-Own: 7\r\n"
                           "Pomelohall-Mesh-Priority: 0\r\n");
  CHECK(answer.status == 200);
  CHECK(answer.body == "hello");
  CHECK(answer.Field("Pomelohall-Response-Signature") == "sig");
  CHECK(answer.Field("Pomelohall-Mesh-Load").empty());
  const auto header = headers.Last();
  CHECK(header.starts_with("GET /safe/1?q=2 HTTP/1.1\r\n"));
  CHECK(HeaderValue(header, "Host") == "test");
  CHECK(HeaderValue(header, "Pomelohall-Attempt-Id") == "a1");
  CHECK(HeaderValue(header, "Pomelohall-Caller-Service") == "front");
  CHECK(HeaderValue(header, "Pomelohall-Expect-Instance") == "i-1");
  CHECK(HeaderValue(header, "X-Own") == "7");
  CHECK(header.find("Pomelohall-Mesh-") == std::string::npos);
  const auto left =
      std::stoi(HeaderValue(header, "Pomelohall-Request-Deadline"));
  CHECK(left > 1000);
  CHECK(left <= 2500);
}

// Guards against a route of a version that is not in force, and a version that
// is not taken while the daemon runs.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_UnknownRoute_IsNotFound",
                 "[sidecar]") {
  Add(nullptr);
  Configure(3);
  WaitUntilKnown(0);
  CHECK(Call(0, "GET", "/other/1").status == 404);
}

// Guards against an order that runs twice: its answer is lost, and another
// backend server could run it.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_OrderWithLostAnswer_RunsOnce",
                 "[sidecar]") {
  scripted_server one([](const std::string&) { return std::string(); });
  scripted_server two([](const std::string&) { return std::string(); });
  Add(&one);
  Add(&two);
  Configure(3);
  WaitUntilKnown(2);
  const auto answer = Call(0, "POST", "/order/1", "", "x");
  CHECK(answer.status == 502);
  CHECK(one.Requests() + two.Requests() == 1);
}

// Guards against a lookup that fails although another backend server can
// answer it, and against one that is sent to more servers than its route
// allows.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_LookupWithLostAnswer_IsRepeated",
                 "[sidecar]") {
  std::atomic<int> runs = 0;
  const auto first_fails = [&](const std::string&) {
    return ++runs == 1 ? std::string() : Signed(200, "a1", "ok");
  };
  scripted_server one(first_fails);
  scripted_server two(first_fails);
  Add(&one);
  Add(&two);
  Configure(3);
  WaitUntilKnown(2);
  CHECK(Call(0, "GET", "/safe/1").body == "ok");
  CHECK(runs == 2);
}

// Guards against a refusal that is told as an unknown outcome, after which an
// order is not sent again, and against the reverse.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_OrderRefusedByServers_IsToldNotRun",
                 "[sidecar]") {
  scripted_server one([](const std::string&) { return Refusal(); });
  scripted_server two([](const std::string&) { return Refusal(); });
  Add(&one);
  Add(&two);
  Configure(3);
  WaitUntilKnown(2);
  const auto answer = Call(0, "POST", "/order/1", "", "x");
  CHECK(answer.status == 503);
  CHECK(std::stod(answer.Field("Retry-After")) > 0.1);
  CHECK(one.Requests() + two.Requests() == 2);
}

// Guards against a request that ran and is told as not run, because its repeat
// was refused: the failure of the first run is the answer.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_RepeatIsRefused_GetsTheFirstFailure",
                 "[sidecar]") {
  std::atomic<int> runs = 0;
  const auto answer_by_turn = [&](const std::string&) {
    return ++runs == 1 ? Signed(500, "a1", "failed") : Refusal();
  };
  scripted_server one(answer_by_turn);
  scripted_server two(answer_by_turn);
  Add(&one);
  Add(&two);
  Configure(3);
  WaitUntilKnown(2);
  const auto answer = Call(0, "GET", "/safe/1");
  CHECK(answer.status == 500);
  CHECK(answer.body == "failed");
}

// Guards against a success that no backend server has signed, or that belongs
// to another request.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_ForeignAnswer_IsNotPassedOn",
                 "[sidecar]") {
  scripted_server server([](const std::string& header) {
    return header.starts_with("GET /safe/unsigned")
               ? std::string("HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nhi")
               : Signed(200, "other", "stale") + Signed(200, "a1", "own");
  });
  Add(&server);
  Configure(3);
  WaitUntilKnown(1);
  CHECK(Call(0, "GET", "/safe/unsigned").status == 502);
  CHECK(Call(0, "GET", "/safe/late").body == "own");
}

// Guards against answers without a length, which end with their connection.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_AnswerWithoutLength_IsWhole",
                 "[sidecar]") {
  scripted_server server([](const std::string&) {
    return std::string(
        "HTTP/1.1 200 X\r\nPomelohall-Attempt-Id: a1\r\n"
        "Pomelohall-Response-Signature: sig\r\n\r\nall of it");
  });
  Add(&server);
  Configure(3);
  WaitUntilKnown(1);
  const auto answer = Call(0, "GET", "/safe/1");
  CHECK(answer.whole);
  CHECK(answer.body == "all of it");
}

// Guards against new work for a backend server that said that it leaves.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_ServerLeaves_GetsNoNewWork",
                 "[sidecar]") {
  const auto serve = [](const std::string&) { return Signed(200, "a1", "ok"); };
  scripted_server leaving(serve);
  scripted_server staying(serve);
  Add(&leaving);
  Add(&staying);
  Configure(3);
  WaitUntilKnown(2);
  AnnounceLeaving(0);
  const int before = leaving.Requests();
  for (int i = 0; i < 10; ++i) {
    CHECK(Call(static_cast<std::size_t>(i) % 2, "GET", "/safe/1").status ==
          200);
  }
  CHECK(leaving.Requests() == before);
}

// Guards against a backend server that is gone and that requests still wait
// for.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_ServerGone_IsAvoided", "[sidecar]") {
  scripted_server staying(
      [](const std::string&) { return Signed(200, "a1", "ok"); });
  auto gone = std::make_unique<scripted_server>(
      [](const std::string&) { return Signed(200, "a1", "ok"); });
  Add(gone.get());
  Add(&staying);
  Configure(3);
  WaitUntilKnown(2);
  gone.reset();
  for (int i = 0; i < 5; ++i) {
    CHECK(Call(0, "POST", "/order/1", "", "x").status == 200);
  }
}

// Guards against a planned stop that breaks off requests, and one that takes
// longer than its grace.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_Stop_ServesUntilCallersHaveLeft",
                 "[sidecar]") {
  scripted_server server(
      [](const std::string&) { return Signed(200, "a1", "ok"); });
  Add(&server);
  Configure(3);
  WaitUntilKnown(1);
  auto stopped = Stop(0);
  CHECK_FALSE(IsReady(0));
  CHECK(Call(0, "GET", "/safe/1").status == 200);
  CHECK(stopped.wait_for(seconds(6)) == std::future_status::ready);
}

}  // namespace
}  // namespace pomelohall
