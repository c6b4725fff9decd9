#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <future>
#include <limits>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "backend_stub/pattern.h"
#include "base/error.h"
#include "caller/body_prefix.h"
#include "caller/call_server.h"
#include "mesh_fixture.h"
#include "raw_client.h"

namespace pomelohall {
namespace {

/// Two daemons. The backend server belongs to the second one, so that calls to
/// the first one are forwarded.
class two_daemons : public mesh_fixture {
 public:
  two_daemons() {
    AddDaemon();
    AddDaemon();
    AddBackend(1);
    PublishSnapshot();
  }
};

std::string Pattern(std::uint64_t seed, std::size_t size) {
  std::string bytes(size, '\0');
  FillPattern(seed, 0, bytes);
  return bytes;
}

std::string Chunked(const std::string& body, std::size_t chunk) {
  std::string text;
  for (std::size_t from = 0; from < body.size(); from += chunk) {
    const auto part = body.substr(from, chunk);
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
    text.append(size.data()).append(part).append("\r\n");
  }
  return text + "0\r\n\r\n";
}

class counting_handler : public call_handler {
 public:
  void OnRequest(std::shared_ptr<incoming_request> request) override {
    ++requests;
    incoming_response response;
    response.head.status = 200;
    request->Respond(std::move(response), nullptr);
  }

  int requests = 0;
};

// Guards against limits that no request meets: a large one was truncated to 0.
TEST_CASE("Session_LargestHeaderLimits_RequestIsServed", "[session]") {
  for (const std::uint64_t limit :
       {std::uint64_t{1} << 32U, std::numeric_limits<std::uint64_t>::max()}) {
    boost::asio::io_context io;
    counting_handler handler;
    call_server server(
        io, {.address = "127.0.0.1:0", .max_header_bytes = limit}, handler);
    REQUIRE(server.Listen());
    auto status = std::async(std::launch::async, [&] {
      raw_client client(server.Address());
      return client.Call("GET", "/", "Connection: close\r\n").status;
    });
    while (status.wait_for(std::chrono::seconds(0)) !=
           std::future_status::ready) {
      io.restart();
      io.run_for(std::chrono::milliseconds(5));
    }
    CHECK(status.get() == 200);
    CHECK(handler.requests == 1);
  }
}

/// Holds all requests until ReleaseAll().
class holding_handler : public call_handler {
 public:
  void OnRequest(std::shared_ptr<incoming_request> request) override {
    held.push_back(std::move(request));
  }

  void ReleaseAll() {
    for (const auto& request : std::exchange(held, {})) {
      incoming_response response;
      response.head.status = 200;
      response.head.length = 0;
      request->Respond(std::move(response), nullptr);
    }
  }

  std::vector<std::shared_ptr<incoming_request>> held;
};

// Guards against a limit that is changed while requests are read ahead: the
// bytes above the earlier limit ended the process.
TEST_CASE("Session_LimitChangedWhilePipelining_AllRequestsAreServed",
          "[session]") {
  constexpr std::size_t kHeld = 16;
  constexpr int kRequests = 90;
  const auto later_limits = GENERATE(
      std::vector<std::size_t>{131'072}, std::vector<std::size_t>{4096},
      std::vector<std::size_t>{131'072, 4096, 262'144, 8192});
  // Ends after the server, whose end ends the client.
  std::future<int> answered;
  boost::asio::io_context io;
  holding_handler handler;
  call_server server(io, {.address = "127.0.0.1:0"}, handler);
  REQUIRE(server.Listen());
  std::atomic<bool> changed = false;
  answered = std::async(std::launch::async, [&] {
    raw_client client(server.Address());
    const auto send = [&client](int count) {
      const std::string field = "Cookie: " + std::string(2800, 'c') + "\r\n";
      for (int i = 0; i < count; ++i) client.SendRequest("GET", "/", field);
    };
    send(kHeld);
    while (!changed) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    send(kRequests - static_cast<int>(kHeld));
    int count = 0;
    while (count < kRequests && client.Read().status == 200) ++count;
    return count;
  });
  const auto run_for = [&io](std::chrono::milliseconds time) {
    io.restart();
    io.run_for(time);
  };
  while (handler.held.size() < kHeld) run_for(std::chrono::milliseconds(1));
  for (const auto limit : later_limits) {
    server.SetLimits({.max_header_bytes = limit});
    changed = true;
    run_for(std::chrono::milliseconds(100));
  }
  while (answered.wait_for(std::chrono::seconds(0)) !=
         std::future_status::ready) {
    handler.ReleaseAll();
    run_for(std::chrono::milliseconds(1));
  }
  CHECK(answered.get() == kRequests);
}

/// Reads each body and answers 200, or the status of its fault.
class body_reading_handler : public call_handler {
 public:
  void OnRequest(std::shared_ptr<incoming_request> request) override {
    ++requests;
    ReadBodyPrefix(request->Body(), kMaxBufferedBodyBytes,
                   [request](const result<body_prefix>& body) {
                     incoming_response response;
                     response.head.status =
                         body ? 200
                              : GetErrorInfo(body.error().kind).http_status;
                     response.head.length = 0;
                     request->Respond(std::move(response), nullptr);
                   });
  }

  int requests = 0;
};

// Guards against a trailer that is held to the limit from before its request,
// although a larger one is in force.
TEST_CASE("Session_LimitRaisedWithinBody_TrailerIsHeldToTheNewLimit",
          "[session]") {
  std::future<int> status;
  boost::asio::io_context io;
  body_reading_handler handler;
  call_server server(io, {.address = "127.0.0.1:0"}, handler);
  REQUIRE(server.Listen());
  std::atomic<bool> raised = false;
  status = std::async(std::launch::async, [&] {
    raw_client client(server.Address());
    client.SendRequest("POST", "/", "Transfer-Encoding: chunked\r\n");
    client.Send("1\r\nx\r\n");
    while (!raised) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    client.Send("0\r\nT: " + std::string(100'000, 't') + "\r\n\r\n");
    return client.Read().status;
  });
  while (status.wait_for(std::chrono::seconds(0)) !=
         std::future_status::ready) {
    if (handler.requests > 0 && !raised) {
      server.SetLimits({.max_header_bytes = 131'072});
      raised = true;
    }
    io.restart();
    io.run_for(std::chrono::milliseconds(1));
  }
  CHECK(status.get() == 200);
}

// Guards against unbounded memory for the headers of many callers, and against
// a caller whose large header keeps others from being served.
TEST_CASE("Session_HeaderMemoryUsedUp_OnlyLargeHeadersAreRefused",
          "[session]") {
  constexpr std::size_t kMemory = 100'000;
  std::future<void> calls;
  boost::asio::io_context io;
  holding_handler handler;
  call_server server(io,
                     {.address = "127.0.0.1:0",
                      .max_header_bytes = 1'000'000,
                      .max_head_memory_bytes = kMemory},
                     handler);
  REQUIRE(server.Listen());
  std::atomic<bool> first_held = false;
  std::atomic<bool> answering = false;
  calls = std::async(std::launch::async, [&] {
    const auto field = [](std::size_t size) {
      return "Cookie: " + std::string(size, 'c') + "\r\n";
    };
    raw_client first(server.Address());
    first.SendRequest("GET", "/", field(80'000));
    while (!first_held) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    raw_client second(server.Address());
    const auto refused = second.Call("GET", "/", field(80'000));
    CHECK(refused.status == 503);
    CHECK(refused.Field("Pomelohall-Outcome") == "not_run");
    CHECK(refused.Field("Retry-After") == "1");
    answering = true;
    raw_client small(server.Address());
    CHECK(small.Call("GET", "/", field(8000)).status == 200);
    CHECK(first.Read().status == 200);
    raw_client again(server.Address());
    CHECK(again.Call("GET", "/", field(80'000)).status == 200);
    raw_client largest(server.Address());
    CHECK(largest.Call("GET", "/", field(2 * kMemory)).status == 431);
  });
  while (calls.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
    if (!handler.held.empty()) first_held = true;
    if (answering) handler.ReleaseAll();
    io.restart();
    io.run_for(std::chrono::milliseconds(1));
  }
}

// Guards against a malformed request that breaks other connections, crashes the
// daemon or is forwarded.
TEST_CASE_METHOD(two_daemons, "Session_MalformedRequest_EndsOnlyItsConnection",
                 "[session]") {
  raw_client other(CallerAddress(0));
  CHECK(other.Call("GET", "/look/1").status == 200);
  for (const char* request :
       {"GARBAGE\r\n\r\n", "GET /look HTTP/1.1\r\n\r\n",
        "GET look HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /look HTTP/1.1\r\nHost: a\r\nBad Name: 1\r\n\r\n",
        "POST /look HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /look HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n",
        "GET /look HTTP/1.1\r\nHost: a\r\nPomelohall-Deadline-Ms: -1\r\n"
        "Connection: close\r\n\r\n"}) {
    INFO(request);
    raw_client client(CallerAddress(0));
    client.Send(request);
    const auto response = client.Read();
    CHECK(response.status == 400);
    CHECK(response.Field("Pomelohall-Error") == "invalid_request");
    CHECK(response.Field("Pomelohall-Outcome") == "not_run");
    CHECK(client.WaitForClose());
  }
  CHECK(other.Call("GET", "/look/2").body == "/look/2\n");
  CHECK(At(1).stub->Runs() == 2);
}

// Guards against malformed chunks that reach the backend server as a body.
TEST_CASE_METHOD(two_daemons, "Session_MalformedChunk_IsRefused", "[session]") {
  raw_client client(CallerAddress(0));
  client.SendRequest("POST", "/look/1", "Transfer-Encoding: chunked\r\n");
  client.Send("zz\r\n");
  CHECK(client.Read().status == 400);
  CHECK(client.WaitForClose());
  CHECK(At(1).stub->Runs() == 0);
}

// Guards against unbounded memory for a header.
TEST_CASE_METHOD(two_daemons, "Session_OversizedHeader_IsRefused",
                 "[session]") {
  raw_client client(CallerAddress(0));
  const std::string field = "X-Large: " + std::string(17'000, 'a') + "\r\n";
  const auto response = client.Call("GET", "/look/1", field);
  CHECK(response.status == 431);
  CHECK(response.Field("Pomelohall-Error") == "headers_too_large");
  CHECK(client.WaitForClose());
}

// Guards against a header that one daemon accepts and the next one refuses, as
// the first one has added fields to it.
TEST_CASE_METHOD(two_daemons,
                 "Session_HeaderNearTheLimit_IsServedByAnotherDaemon",
                 "[session]") {
  const std::string rest = "GET /look/1 HTTP/1.1\r\nHost: test\r\nX: \r\n\r\n";
  for (const std::size_t size : {16'250, 16'384}) {
    raw_client client(CallerAddress(0));
    const std::string value(size - rest.size(), 'x');
    CHECK(client.Call("GET", "/look/1", "X: " + value + "\r\n").status == 200);
  }
}

// Guards against a body in the response to HEAD, which the caller would parse
// as the next response.
TEST_CASE_METHOD(two_daemons, "Session_Head_HasNoBodyAndKeepsTheConnection",
                 "[session]") {
  raw_client client(CallerAddress(0));
  const auto head = client.Call("HEAD", "/look/7");
  CHECK(head.status == 200);
  CHECK(head.Field("Content-Length") == "8");
  CHECK(head.body.empty());
  CHECK(client.Call("HEAD", "/unknown").status == 404);
  CHECK(client.Call("GET", "/look/8").body == "/look/8\n");
}

// Guards against a caller that waits for 100 Continue until its deadline.
TEST_CASE_METHOD(two_daemons, "Session_ExpectContinue_GetsInterimResponse",
                 "[session]") {
  raw_client client(CallerAddress(0));
  client.SendRequest("POST", "/look/1",
                     "Expect: 100-continue\r\nContent-Length: 5\r\n");
  CHECK(client.ReadBytes(25) == "HTTP/1.1 100 Continue\r\n\r\n");
  client.Send("hello");
  const auto response = client.Read();
  CHECK(response.status == 200);
  CHECK(response.body == "hello");
}

// Guards against requesting a body with 100 Continue although the call is
// rejected.
TEST_CASE_METHOD(two_daemons, "Session_ExpectContinueWithoutRoute_GetsTheError",
                 "[session]") {
  raw_client client(CallerAddress(0));
  client.SendRequest("POST", "/unknown",
                     "Expect: 100-continue\r\nContent-Length: 5\r\n");
  CHECK(client.Read().status == 404);
}

// Guards against lost, repeated or reordered parts of large bodies.
TEST_CASE_METHOD(two_daemons, "Session_ChunkedUpload_ArrivesUnchanged",
                 "[session]") {
  for (const std::size_t size : {10UL, 65'536UL, 65'537UL, 3'000'000UL}) {
    INFO(size);
    const auto body = Pattern(size, size);
    raw_client client(CallerAddress(0));
    client.SendRequest("POST", "/look/1", "Transfer-Encoding: chunked\r\n");
    client.Send(Chunked(body, 10'007));
    const auto response = client.Read();
    CHECK(response.status == 200);
    CHECK((response.complete && response.body == body));
    CHECK(client.Call("GET", "/look/2").body == "/look/2\n");
  }
}

// Guards against responses in another order than their requests, and against
// losing a request that was read into the buffer with the preceding one.
TEST_CASE_METHOD(two_daemons, "Session_PipelinedRequests_GetResponsesInOrder",
                 "[session]") {
  raw_client client(CallerAddress(0));
  std::string requests;
  for (int i = 0; i < 20; ++i) {
    requests += "POST /look/" + std::to_string(i) +
                " HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n" +
                std::to_string(i + 10);
  }
  client.Send(requests);
  for (int i = 0; i < 20; ++i) {
    CHECK(client.Read().body == std::to_string(i + 10));
  }
}

// Guards against running pipelined lookups one after another: a caller that
// sends several at once would wait for the sum of their times.
TEST_CASE_METHOD(two_daemons, "Session_PipelinedLookups_RunConcurrently",
                 "[session]") {
  raw_client client(CallerAddress(0));
  std::string requests;
  // A new backend server starts with two slots.
  for (int i = 0; i < 2; ++i) {
    requests += "GET /look/sleep?ms=" + std::to_string(500 - i) +
                " HTTP/1.1\r\nHost: a\r\n\r\n";
  }
  client.Send(requests);
  WaitUntil([this] { return At(1).stub->Running() == 2; });
  for (int i = 0; i < 2; ++i) CHECK(client.Read().status == 200);
  CHECK(client.Call("GET", "/look/9").body == "/look/9\n");
}

// Guards against starting a non-idempotent request before the earlier responses
// are written, as one of them may end the connection.
TEST_CASE_METHOD(two_daemons, "Session_PipelinedPost_WaitsForEarlierResponses",
                 "[session]") {
  raw_client client(CallerAddress(0));
  client.Send(
      "GET /look/sleep?ms=200 HTTP/1.1\r\nHost: a\r\n\r\n"
      "POST /look/2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"
      "GET /look/3 HTTP/1.1\r\nHost: a\r\n\r\n");
  WaitUntil([this] { return At(1).stub->Running() == 1; });
  CHECK(At(1).stub->Runs() <= 1);
  CHECK(client.Read().status == 200);
  CHECK(client.Read().body == "hi");
  CHECK(client.Read().body == "/look/3\n");
}

// Guards against missing a disconnect while further requests of the caller are
// already in the buffer.
TEST_CASE_METHOD(two_daemons, "Session_PipeliningCallerDisconnects_Cancels",
                 "[session]") {
  raw_client client(CallerAddress(0));
  client.Send(
      "GET /look/sleep?ms=60000 HTTP/1.1\r\nHost: a\r\n\r\n"
      "POST /look/2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi");
  WaitUntil([this] { return At(1).stub->Running() == 1; });
  client.Close();
  WaitUntil([this] { return At(1).stub->Running() == 0; });
  CHECK(At(1).stub->Runs() <= 1);
}

// Guards against buffering a download in memory for a slow reader, and against
// corrupting its body. 64 MB exceed the socket buffers along the path.
TEST_CASE_METHOD(two_daemons, "Session_SlowReader_GetsCompleteDownload",
                 "[session]") {
  constexpr std::size_t kSize = 64'000'000;
  raw_client client(CallerAddress(0));
  client.SetReceiveBuffer(65'536);
  client.SendRequest("GET", "/file/bytes?seed=5&n=" + std::to_string(kSize),
                     "Connection: close\r\n");
  const auto start = client.ReadBytes(1'000'000);
  CHECK(start.size() == 1'000'000);
  // Long enough for a daemon without backpressure to read all of it.
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  CHECK(RunOnIoThread([this] { return At(1).stub->Running(); }) == 1);
  const auto rest = client.ReadBytes(2 * kSize);
  const auto text = start + rest;
  CHECK(text.find("\r\n0\r\n\r\n") == text.size() - 7);
  raw_client second(CallerAddress(0));
  const auto response =
      second.Call("GET", "/file/bytes?seed=5&n=" + std::to_string(kSize));
  CHECK(response.complete);
  CHECK(response.body.size() == kSize);
  CHECK(MatchesPattern(5, 0, response.body));
}

}  // namespace
}  // namespace pomelohall
