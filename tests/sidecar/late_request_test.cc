#include <algorithm>
#include <array>
#include <atomic>
#include <boost/system/system_error.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "concurrent_server.h"
#include "sidecar_fleet.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using steady_instant = std::chrono::steady_clock::time_point;

constexpr milliseconds kDeadline(8000);
// Time from SIGTERM until the process is killed, as in the default settings.
constexpr milliseconds kGrace(6000);
// A running request may be broken off in the last sixth of the grace period.
constexpr milliseconds kLastSixth = kGrace * 5 / 6;
// Callers stop sending within this time; then the listeners close.
constexpr milliseconds kReadinessLossTime(2200);
// The last bytes of a response may be in transit when the process ends.
constexpr milliseconds kTransitTime(300);

steady_instant Now() { return std::chrono::steady_clock::now(); }

/// What a caller has got.
struct call_result {
  raw_response response;
  steady_instant sent_at;
  steady_instant ended_at;
  bool connected = false;
};

/// Run of a request on a backend server.
struct server_run {
  std::size_t vm = 0;  ///< VM of the backend server.
  steady_instant ends_at;
};

struct late_request_options {
  std::size_t slots = 90;
  double link_mbps = 0;      ///< Rate that the daemon beside the server knows.
  bool limits_link = false;  ///< Whether the link really has that rate.
  bool with_second_server = false;
};

/// A sidecar beside a backend server, and one beside callers. A request to
/// "/safe/N" or "/order/N" runs for N ms. The backend server ends its work with
/// status 504 at the deadline that it has received.
class late_request_fixture : public sidecar_fleet {
 protected:
  static constexpr std::size_t kServerVm = 0;
  static constexpr std::size_t kCallerVm = 1;
  static constexpr std::size_t kSecondServerVm = 2;

  explicit late_request_fixture(const late_request_options& options = {})
      : server_([this](const std::string& header) {
          return Serve(kServerVm, header);
        }),
        second_server_([this](const std::string& header) {
          return Serve(kSecondServerVm, header);
        }) {
    route_timeout_ = kDeadline;
    slots_ = options.slots;
    link_mbps_ = options.link_mbps;
    if (options.limits_link) forward_link_rate_ = link_mbps_ * 125'000;
    AddSidecar(&server_);
    link_mbps_ = 0;
    forward_link_rate_ = 0;
    AddSidecar(nullptr, "front");
    if (options.with_second_server) AddSidecar(&second_server_);
    PublishConfig(3);
    WaitUntilOffered(options.with_second_server ? 2 : 1);
  }

  /// Header fields of a request with the given attempt ID.
  static std::string Fields(const std::string& id) {
    return "Pomelohall-Attempt-Id: " + id +
           "\r\nPomelohall-Request-Deadline: " +
           std::to_string(kDeadline.count()) + "\r\n";
  }

  /// Sends a request at a time and reads its response, on its own thread.
  /// @param connect_early Whether the connection is open before that time.
  std::future<call_result> CallAt(steady_instant at, const std::string& method,
                                  const std::string& target,
                                  const std::string& id,
                                  bool connect_early = false,
                                  const std::string& body = "") {
    const auto address = CallerAddress(kCallerVm);
    return std::async(std::launch::async, [=] {
      call_result result;
      try {
        std::optional<raw_client> client;
        if (connect_early) client.emplace(address);
        std::this_thread::sleep_until(at);
        if (!connect_early) client.emplace(address);
        result.connected = true;
        result.sent_at = Now();
        result.response = client->Call(method, target, Fields(id), body);
      } catch (const boost::system::system_error&) {
        result.sent_at = Now();  // The listener is closed.
      }
      result.ended_at = Now();
      return result;
    });
  }

  /// Sends safe requests, stops a sidecar 200 ms later, and returns what the
  /// callers have got. Checks that each response is complete before the process
  /// would end: the fixture does not end it, so a later one arrives as well.
  std::vector<call_result> StopDuringCalls(std::size_t vm, std::size_t count,
                                           const std::string& target) {
    std::vector<std::future<call_result>> calls;
    calls.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
      calls.push_back(CallAt(Now() + milliseconds(100), "GET", target,
                             "s" + std::to_string(i)));
    }
    std::this_thread::sleep_for(milliseconds(300));
    auto stopped = Stop(vm);
    REQUIRE(stopped.wait_for(kGrace) == std::future_status::ready);
    const auto ended_at = Now();
    std::vector<call_result> results;
    results.reserve(count);
    for (auto& call : calls) {
      results.push_back(call.get());
      CHECK(results.back().response.complete);
      CHECK(results.back().ended_at <= ended_at + kTransitTime);
    }
    return results;
  }

  /// Returns the last run of a request, if it has run.
  std::optional<server_run> RunOf(const std::string& id) {
    const std::lock_guard lock(mutex_);
    const auto found = runs_.find(id);
    if (found == runs_.end()) return std::nullopt;
    return found->second;
  }
  bool HasRun(const std::string& id) { return RunOf(id).has_value(); }

  int ServerRequests() const { return server_.Requests(); }

  /// Whether the backend server works on past the deadline that it receives.
  std::atomic<bool> ignore_deadline_{false};
  /// Size of the responses.
  std::atomic<std::size_t> response_bytes_{10};

 private:
  scripted_reply Serve(std::size_t vm, const std::string& header) {
    const auto id = HeaderValue(header, "Pomelohall-Attempt-Id");
    const auto path_end = header.find(" HTTP/1.1");
    const auto number = header.rfind('/', path_end) + 1;
    const milliseconds run_time(
        std::stoi(header.substr(number, path_end - number)));
    const milliseconds time_left(
        std::stoi(HeaderValue(header, "Pomelohall-Request-Deadline")));
    const bool late = run_time > time_left && !ignore_deadline_;
    const auto delay = late ? time_left : run_time;
    {
      const std::lock_guard lock(mutex_);
      runs_[id] = {.vm = vm, .ends_at = Now() + delay};
    }
    return {.bytes = SignedResponse(late ? 504 : 200, id,
                                    std::string(response_bytes_, 'x')),
            .delay = delay};
  }

  std::mutex mutex_;
  std::map<std::string, server_run> runs_;  // By attempt ID.
  concurrent_server server_;
  concurrent_server second_server_;
};

/// Describes what is wrong with the result of a request that was sent around a
/// planned stop; empty if nothing is.
std::string Fault(const call_result& result, steady_instant stop_at,
                  const std::optional<server_run>& run,
                  bool stops_caller_daemon) {
  const auto& response = result.response;
  const auto sent = result.sent_at - stop_at;
  if (response.status == 503) {
    if (!stops_caller_daemon) return "was refused although a server is free";
    if (run) return "was told that it has not run, but it has";
    if (response.Field("Retry-After").empty()) return "lacks Retry-After";
    return response.complete ? "" : "got an incomplete refusal";
  }
  if (response.status == 0) {
    if (run) return "was cut after it had been passed on";
    // Callers of a daemon that is not ready may still send for this time.
    if (!stops_caller_daemon || sent < kReadinessLossTime - milliseconds(100)) {
      return "got no response";
    }
    return "";
  }
  if (!response.complete) return "got an incomplete response";
  if (response.status == 200) return "";
  if (!run) return "failed although it has not run";
  if (run->ends_at - stop_at >= kLastSixth) {
    // The backend server was still at work at the end.
    return !stops_caller_daemon || sent <= seconds(3) ? "" : "ran too late";
  }
  return "failed with " + std::to_string(response.status) +
         " although the server had answered";
}

class grid_fixture : public late_request_fixture {
 protected:
  grid_fixture() : late_request_fixture({.with_second_server = true}) {}

  /// Sends requests at each 100 ms of a stop and checks their responses.
  void CheckStop(const std::vector<std::size_t>& stopped_vms) {
    // In milliseconds. The last one is longer than the grace period.
    constexpr std::array kRunTimes{100, 300, 1000, 2000, 3000, 5000, 7000};
    const bool stops_caller_daemon =
        std::find(stopped_vms.begin(), stopped_vms.end(), kCallerVm) !=
        stopped_vms.end();
    // The number of run times and of requests at one time have no common
    // divisor, so that each kind of request meets each run time.
    static_assert(kRunTimes.size() % 2 == 1);
    // All early connections are open by then.
    const auto stop_at = Now() + milliseconds(300);
    std::map<std::string, std::future<call_result>> calls;
    std::size_t i = 0;
    for (auto at = milliseconds(-200); at < kGrace; at += milliseconds(100)) {
      for (const bool safe : {true, false}) {
        for (const bool connect_early : {true, false}) {
          // Only the daemon of the caller closes these connections.
          if (connect_early && !stops_caller_daemon) continue;
          const auto run_time = kRunTimes[i++ % kRunTimes.size()];
          const auto id =
              std::string(safe ? "s" : "u") + (connect_early ? "e" : "n") +
              std::to_string(at.count()) + "r" + std::to_string(run_time);
          calls[id] =
              CallAt(stop_at + at, safe ? "GET" : "POST",
                     (safe ? "/safe/" : "/order/") + std::to_string(run_time),
                     id, connect_early, safe ? "" : "body");
        }
      }
    }
    std::this_thread::sleep_until(stop_at);
    std::vector<std::future<void>> stopped;
    stopped.reserve(stopped_vms.size());
    for (const auto vm : stopped_vms) stopped.push_back(Stop(vm));
    for (auto& future : stopped) {
      REQUIRE(future.wait_for(kGrace) == std::future_status::ready);
    }
    const auto ended_at = Now();
    std::map<int, int> statuses;
    for (auto& [id, call] : calls) {
      const auto result = call.get();
      ++statuses[result.response.status];
      const auto run = RunOf(id);
      auto fault = Fault(result, stop_at, run, stops_caller_daemon);
      const bool awaited = stops_caller_daemon
                               ? result.connected && result.sent_at <= ended_at
                               : run && run->vm == kServerVm;
      if (awaited && result.ended_at > ended_at + kTransitTime) {
        fault += " (the process has ended before)";
      }
      INFO(id);
      CHECK_THAT(fault, Catch::Equals(""));
    }
    CHECK(statuses[200] > 0);
  }
};

// Guards against requests that a stopping daemon passes on and cuts at its end,
// and against refusals of requests that have run.
TEST_CASE_METHOD(grid_fixture,
                 "Sidecar_RequestsUntilTheEndOfAStop_GetResponsesOrRefusals",
                 "[sidecar]") {
  CheckStop({kCallerVm});
}

// Guards against failures of requests that the stopping daemon beside the
// backend server has accepted, or has refused without running them.
TEST_CASE_METHOD(grid_fixture,
                 "Sidecar_RequestsWhileTheDaemonBesideTheServerStops_AreServed",
                 "[sidecar]") {
  CheckStop({kServerVm});
}

TEST_CASE_METHOD(grid_fixture,
                 "Sidecar_RequestsWhileBothDaemonsStop_GetResponsesOrRefusals",
                 "[sidecar]") {
  CheckStop({kCallerVm, kServerVm});
}

// Guards against deadlines after the end of the daemon: the backend server then
// works for a caller that gets nothing.
TEST_CASE_METHOD(late_request_fixture,
                 "Sidecar_RequestWhileStopping_CarriesTimeUntilStop",
                 "[sidecar]") {
  const auto stop_at = Now();
  auto stopped = Stop(kCallerVm);
  auto call = CallAt(stop_at + milliseconds(500), "POST", "/order/7000", "u1",
                     false, "body");
  REQUIRE(stopped.wait_for(kGrace) == std::future_status::ready);
  const auto result = call.get();
  CHECK(result.response.status == 504);
  REQUIRE(HasRun("u1"));
  const auto ended = RunOf("u1")->ends_at - stop_at;
  CHECK(ended >= kLastSixth);
  CHECK(ended < kGrace);
}

// Guards against a closed connection as the only response to a request that the
// backend server does not end by its deadline.
TEST_CASE_METHOD(late_request_fixture,
                 "Sidecar_ServerRunsPastTheEndOfAStop_CallerGetsTimeout",
                 "[sidecar]") {
  ignore_deadline_ = true;
  std::map<std::string, std::future<call_result>> calls;
  calls["u1"] = CallAt(Now(), "POST", "/order/7000", "u1", false, "body");
  calls["s1"] = CallAt(Now(), "GET", "/safe/7000", "s1");
  std::this_thread::sleep_for(milliseconds(300));
  const auto stop_at = Now();
  auto stopped = Stop(kCallerVm);
  calls["u2"] = CallAt(stop_at + milliseconds(500), "POST", "/order/7000", "u2",
                       false, "body");
  REQUIRE(stopped.wait_for(kGrace) == std::future_status::ready);
  const auto ended_at = Now();
  for (auto& [id, call] : calls) {
    const auto result = call.get();
    INFO(id);
    CHECK((result.response.status == 504 || result.response.status == 502));
    CHECK(result.response.complete);
    CHECK(result.ended_at - stop_at >= kLastSixth);
    CHECK(result.ended_at <= ended_at + kTransitTime);
  }
}

// Guards against pipelined requests that are cut at the end, and against ones
// that run behind a response that announces the end of the connection.
TEST_CASE_METHOD(late_request_fixture,
                 "Sidecar_PipelinedRequestsAroundStop_AreAnsweredOrNotRun",
                 "[sidecar]") {
  const auto request = [](const std::string& target, const std::string& id) {
    return "GET " + target + " HTTP/1.1\r\nHost: test\r\n" + Fields(id) +
           "\r\n";
  };
  raw_client before(CallerAddress(kCallerVm));
  before.Send(request("/safe/7000", "b1") + request("/safe/100", "b2") +
              request("/safe/100", "b3"));
  raw_client after(CallerAddress(kCallerVm));
  std::this_thread::sleep_for(milliseconds(300));
  auto stopped = Stop(kCallerVm);
  std::this_thread::sleep_for(milliseconds(300));
  after.Send(request("/safe/100", "a1") + request("/safe/100", "a2"));
  const auto only = after.Read();
  CHECK(only.status == 200);
  CHECK(only.Field("Connection") == "close");
  CHECK(after.Read().status == 0);
  CHECK_FALSE(HasRun("a2"));
  REQUIRE(stopped.wait_for(kGrace) == std::future_status::ready);
  const auto ended_at = Now();
  CHECK(before.Read().status == 504);
  CHECK(before.Read().status == 200);
  CHECK(before.Read().status == 200);
  CHECK(Now() < ended_at + kTransitTime);
}

// Guards against requests that are taken after the listeners have closed, on
// connections that were not idle then.
TEST_CASE_METHOD(late_request_fixture,
                 "Sidecar_HeaderCompletedAfterListenersClose_IsRefused",
                 "[sidecar]") {
  raw_client order(CallerAddress(kCallerVm));
  raw_client query(CallerAddress(kCallerVm));
  auto stopped = Stop(kCallerVm);
  std::this_thread::sleep_for(kReadinessLossTime - milliseconds(300));
  order.Send("POST /order/100 HTTP/1.1\r\nHost: test\r\n");
  query.Send("GET /safe/100 HTTP/1.1\r\nHo");
  std::this_thread::sleep_for(milliseconds(700));
  order.Send(Fields("u1") + "Content-Length: 4\r\n\r\nbody");
  query.Send("st: test\r\n" + Fields("s1") + "\r\n");
  for (auto* const client : {&order, &query}) {
    const auto response = client->Read();
    CHECK(response.status == 503);
    CHECK(response.complete);
    CHECK(response.Field("Connection") == "close");
    CHECK_FALSE(response.Field("Retry-After").empty());
    client->Close();
  }
  CHECK(ServerRequests() == 0);
  // Nothing is left to wait for.
  CHECK(stopped.wait_for(seconds(1)) == std::future_status::ready);
}

// Guards against uploads that are passed on so late that their run is cut, and
// against uploads that are cut without a refusal.
TEST_CASE_METHOD(late_request_fixture,
                 "Sidecar_UploadNotReadWhenListenersClose_IsRefused",
                 "[sidecar]") {
  const auto start = [&](raw_client& client, const std::string& id) {
    client.Send("POST /order/100 HTTP/1.1\r\nHost: test\r\n" + Fields(id) +
                "Content-Length: 8\r\n\r\nbody");
  };
  raw_client late(CallerAddress(kCallerVm));
  raw_client unfinished(CallerAddress(kCallerVm));
  raw_client in_time(CallerAddress(kCallerVm));
  const auto stop_at = Now();
  auto stopped = Stop(kCallerVm);
  std::this_thread::sleep_for(seconds(1));
  start(late, "u1");
  start(unfinished, "u2");
  start(in_time, "u3");
  std::this_thread::sleep_for(milliseconds(500));
  in_time.Send("body");
  CHECK(in_time.Read().status == 200);
  std::this_thread::sleep_until(stop_at + seconds(3));
  late.Send("body");
  const auto refused = late.Read();
  CHECK(refused.status == 503);
  CHECK(refused.complete);
  CHECK(Now() < stop_at + seconds(4));
  const auto at_end = unfinished.Read();
  CHECK(at_end.status == 503);
  CHECK(at_end.complete);
  CHECK_FALSE(at_end.Field("Retry-After").empty());
  CHECK(Now() - stop_at >= kLastSixth);
  // The caller may still be sending when the response arrives.
  unfinished.Send("body");
  CHECK(stopped.wait_for(seconds(1)) == std::future_status::ready);
  CHECK_FALSE(HasRun("u1"));
  CHECK_FALSE(HasRun("u2"));
}

// Guards against responses that are lost at the end because their caller reads
// slowly.
TEST_CASE_METHOD(late_request_fixture,
                 "Sidecar_SlowReaderAtTheEndOfAStop_GetsWholeResponse",
                 "[sidecar]") {
  response_bytes_ = 60'000;
  raw_client client(CallerAddress(kCallerVm));
  client.SetReceiveBuffer(4096);
  auto stopped = Stop(kCallerVm);
  std::this_thread::sleep_for(seconds(2));
  client.SendRequest("GET", "/safe/3000", Fields("s1"));
  REQUIRE(stopped.wait_for(kGrace) == std::future_status::ready);
  const auto response = client.Read();
  CHECK(response.status == 200);
  CHECK(response.body.size() == 60'000);
  CHECK(response.complete);
}

class full_link_late_fixture : public late_request_fixture {
 protected:
  full_link_late_fixture() : late_request_fixture({.link_mbps = 7}) {}
};

// Guards against large responses that are dropped when the daemon beside the
// backend server ends while they wait for the link.
TEST_CASE_METHOD(full_link_late_fixture,
                 "Sidecar_ResponsesQueuedForLinkAtTheEndOfAStop_AreSent",
                 "[sidecar]") {
  // They are ready 4.4 s after the signal, and the link carries them in 7.7 s.
  response_bytes_ = 300'000;
  constexpr std::size_t kCalls = 18;
  for (const auto& result : StopDuringCalls(kServerVm, kCalls, "/safe/4600")) {
    CHECK(result.response.status == 200);
  }
}

class one_slot_fixture : public late_request_fixture {
 protected:
  one_slot_fixture() : late_request_fixture({.slots = 1}) {}
};

// Guards against waiting requests that start so late that they are cut when the
// daemon beside the backend server ends.
TEST_CASE_METHOD(one_slot_fixture,
                 "Sidecar_RequestWaitsForSlotUntilStopEnds_IsRefusedNotRun",
                 "[sidecar]") {
  auto running = CallAt(Now(), "POST", "/order/5000", "u1", false, "body");
  std::this_thread::sleep_for(milliseconds(200));
  auto waiting = CallAt(Now(), "POST", "/order/5000", "u2", false, "body");
  std::this_thread::sleep_for(milliseconds(100));
  auto stopped = Stop(kServerVm);
  REQUIRE(stopped.wait_for(kGrace) == std::future_status::ready);
  CHECK(running.get().response.status == 200);
  const auto refused = waiting.get();
  CHECK(refused.response.status == 503);
  CHECK_FALSE(refused.response.Field("Retry-After").empty());
  CHECK_FALSE(HasRun("u2"));
}

// Guards against a time-out for an order that waits for a slot for so long that
// the daemon of its caller stops before its run ends: it was passed on with a
// later deadline. Callers can repeat an order after a refusal, but not after a
// time-out.
TEST_CASE_METHOD(one_slot_fixture,
                 "Sidecar_OrderPassedOnBeforeStopWaits_IsRefusedNotRun",
                 "[sidecar]") {
  // The daemon beside the server expects orders to take 500 ms and a slot to
  // become free soon.
  REQUIRE(Call(kCallerVm, "POST", "/order/500", Fields("u1"), "body").status ==
          200);
  for (int i = 0; i < 20; ++i) {
    REQUIRE(Call(kCallerVm, "GET", "/safe/10", Fields("s1")).status == 200);
  }
  auto running = CallAt(Now(), "POST", "/order/5200", "u2", false, "body");
  std::this_thread::sleep_for(milliseconds(200));
  auto waiting = CallAt(Now(), "POST", "/order/900", "u3", false, "body");
  std::this_thread::sleep_for(milliseconds(200));
  auto stopped = Stop(kCallerVm);
  const auto refused = waiting.get();
  CHECK(refused.response.status == 503);
  CHECK(refused.response.complete);
  CHECK_FALSE(refused.response.Field("Retry-After").empty());
  CHECK(running.get().response.status == 200);
  REQUIRE(stopped.wait_for(kGrace) == std::future_status::ready);
  CHECK_FALSE(HasRun("u3"));
}

class slow_link_late_fixture : public late_request_fixture {
 protected:
  slow_link_late_fixture()
      : late_request_fixture({.link_mbps = 7, .limits_link = true}) {}
};

// Guards against a malformed notice that shortens the time of requests, or that
// is passed on as a request.
TEST_CASE_METHOD(slow_link_late_fixture,
                 "Sidecar_MalformedStopNotice_IsRejected", "[sidecar]") {
  const auto address = nodes_[kServerVm]->forward_link->Address();
  const auto status_of = [&](const std::string& fields) {
    return raw_client(address).Call("POST", "/", fields).status;
  };
  const std::string notice =
      "Pomelohall-Mesh-Sender: 127.0.0.1:1\r\nPomelohall-Mesh-Stop: ";
  for (const char* const time :
       {"x", "-1", "1.5", "600001", "99999999999999999999"}) {
    INFO(time);
    CHECK(status_of(std::string(notice).append(time).append("\r\n")) == 400);
  }
  CHECK(status_of("Pomelohall-Mesh-Stop: 100\r\n") == 400);
  CHECK(status_of(notice + "100\r\n") == 204);
  CHECK(ServerRequests() == 0);
  CHECK(Call(kCallerVm, "GET", "/safe/300", Fields("s1")).status == 200);
}

// Guards against large responses that are truncated when the daemon of their
// caller ends: the server has answered before, but the link is too slow for all
// of them.
TEST_CASE_METHOD(slow_link_late_fixture,
                 "Sidecar_LargeResponsesAtTheEndOfAStop_AreNotTruncated",
                 "[sidecar]") {
  // They are ready 4 s after the signal. The link carries one in 1 s.
  response_bytes_ = 900'000;
  constexpr std::size_t kCalls = 3;
  std::map<int, int> statuses;
  for (const auto& result : StopDuringCalls(kCallerVm, kCalls, "/safe/4200")) {
    ++statuses[result.response.status];
  }
  CHECK(statuses[200] >= 1);
  CHECK(statuses[200] + statuses[504] == kCalls);
}

}  // namespace
}  // namespace pomelohall
