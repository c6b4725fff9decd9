#include "http/http_server.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <string>

#include "base/random.h"
#include "http_fixture.h"

namespace pomelohall {

// Guards against an error on one connection that affects other connections.
TEST_CASE_METHOD(
    http_fixture,
    "Server_MalformedRequest_Returns400AndClosesOnlyItsConnection") {
  Listen();
  REQUIRE(Call({.target = "/a"})->body == "GET /a ");
  const auto response = RawExchange("NOT HTTP\r\n\r\n");
  CHECK(response.find("HTTP/1.1 400") == 0);
  CHECK(response.find("\"error\":\"invalid_request\"") != std::string::npos);
  CHECK(Call({.target = "/b"})->body == "GET /b ");
}

TEST_CASE_METHOD(http_fixture, "Server_HeadersAboveLimit_Returns431") {
  Listen();
  const auto response = RawExchange(
      "GET / HTTP/1.1\r\nLong: " + std::string(17'000, 'x') + "\r\n\r\n");
  CHECK(response.find("HTTP/1.1 431") == 0);
  CHECK(response.find("headers_too_large") != std::string::npos);
}

// Guards against the end of the process for a trailer or an extension above
// 64 KiB: the library used before could not hold such a field and threw.
TEST_CASE_METHOD(http_fixture, "Server_LongTrailerOrExtension_KeepsServing") {
  Listen();
  const std::string head =
      "POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::size_t size : {60'000, 65'600, 70'000, 200'000}) {
    INFO(size);
    const std::string text(size, 'a');
    const std::string expected =
        size == 60'000 ? "HTTP/1.1 200" : "HTTP/1.1 431";
    std::string trailer = head;
    trailer.append("1\r\nx\r\n0\r\nT: ").append(text).append("\r\n\r\n");
    CHECK(RawExchange(trailer).starts_with(expected));
    std::string extension = head;
    extension.append("1;").append(text).append("\r\nx\r\n0\r\n\r\n");
    CHECK(RawExchange(extension).starts_with(expected));
  }
  CHECK(Call({.target = "/b"})->body == "GET /b ");
}

// Guards against a 413 response that the client cannot read because closing
// with an unread body resets the connection.
TEST_CASE_METHOD(http_fixture, "Server_BodyAboveLimit_ClientReceives413") {
  Listen({.max_body_bytes = 1000});
  const auto response =
      Call({.method = "POST", .body = std::string(500'000, 'x')});
  REQUIRE(response.has_value());
  CHECK(response->status == 413);
  CHECK(ParseErrorResponse(*response).kind == error_kind::kBodyTooLarge);
  CHECK(Call({.method = "POST", .target = "/p", .body = "x"})->status == 200);
}

TEST_CASE_METHOD(http_fixture, "Server_PipelinedRequests_AreServedInOrder") {
  Listen();
  const auto response = RawExchange(
      "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
      "GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  const auto first = response.find("GET /1");
  REQUIRE(first != std::string::npos);
  CHECK(response.find("GET /2", first) != std::string::npos);
}

// Guards against a caller that waits indefinitely when a handler drops its
// responder.
TEST_CASE_METHOD(http_fixture, "Server_ResponderDropped_ReturnsInternalError") {
  Listen();
  const auto response = Call({.target = "/drop"});
  REQUIRE(response.has_value());
  CHECK(ParseErrorResponse(*response).kind == error_kind::kInternal);
}

// Guards against a graceful shutdown that aborts a request in flight
// (guarantee graceful_stop).
TEST_CASE_METHOD(http_fixture, "Server_StopWithRequestInFlight_CompletesIt") {
  Listen();
  auto socket = RawConnect();
  boost::asio::write(socket, boost::asio::buffer(std::string(
                                 "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")));
  held_promise_.get_future().wait();
  const auto stopped = stopped_.get_future();
  bool stopped_early = true;
  OnServer([&] { server_->Stop([&] { stopped_.set_value(); }); });
  OnServer([&] {
    stopped_early =
        stopped.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    held_->Send(JsonResponse(200, "kept"));
  });
  CHECK_FALSE(stopped_early);
  const auto response = ReadAll(socket);
  CHECK(response.find("kept") != std::string::npos);
  CHECK(response.find("Connection: close") != std::string::npos);
  socket.close();
  stopped.wait();
}

// Guards against a shutdown that waits for idle connections.
TEST_CASE_METHOD(http_fixture, "Server_StopWithIdleConnection_ClosesIt") {
  Listen();
  REQUIRE(Call({.target = "/a"}).has_value());
  OnServer([&] { server_->Stop([&] { stopped_.set_value(); }); });
  stopped_.get_future().wait();
  const auto response = Call({.target = "/a"});
  REQUIRE_FALSE(response.has_value());
  CHECK(response.error().kind == error_kind::kPeerUnreachable);
  CHECK(response.error().ran == run_state::kNotRun);
}

// Guards against a shutdown that waits indefinitely for an open watch.
TEST_CASE_METHOD(http_fixture, "Server_StopWithOpenStream_SendsPendingChunks") {
  Listen();
  std::string body;
  std::optional<result<http_response>> response;
  client_.SendStreaming(
      address_, {.target = "/stream"}, std::chrono::seconds(60),
      [&](std::string_view chunk) {
        body += chunk;
        return true;
      },
      [&](result<http_response> got) { response = std::move(got); });
  RunClientUntil([&] { return !body.empty(); });
  OnServer([&] {
    stream_->Write("second\n");
    server_->Stop([&] { stopped_.set_value(); });
  });
  RunClientUntil([&] { return response.has_value(); });
  CHECK(response->has_value());
  CHECK(body == "first\nsecond\n");
  stopped_.get_future().wait();
}

// Guards against watches that are never released after their client has
// disconnected.
TEST_CASE_METHOD(http_fixture, "Server_StreamClientDisconnects_ReportsClosed") {
  Listen();
  bool done = false;
  client_.SendStreaming(
      address_, {.target = "/stream"}, std::chrono::seconds(60),
      [](std::string_view) { return false; },
      [&](const result<http_response>&) { done = true; });
  RunClientUntil([&] { return done; });
  OnServer([&] { stream_->OnClosed([&] { closed_.set_value(); }); });
  closed_.get_future().wait();
}

// Guards against a malformed request that crashes or blocks the server. The
// requests are mutated at random with seed 1.
TEST_CASE_METHOD(http_fixture, "Server_RandomlyMutatedRequests_KeepsServing") {
  Listen();
  random_source random(1);
  for (int i = 0; i < 300; ++i) {
    std::string bytes =
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nhello\r\n0\r\n\r\n";
    for (std::uint64_t n = 1 + random.Below(4); n > 0; --n) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    }
    bytes.resize(1 + random.Below(bytes.size()));
    RawExchange(bytes);
  }
  CHECK(Call({.target = "/b"})->body == "GET /b ");
}

TEST_CASE_METHOD(http_fixture, "Server_AddressInUse_FailsWithInvalidSettings") {
  Listen();
  const auto second =
      http_server::Listen(client_io_, {.address = address_}, nullptr);
  REQUIRE_FALSE(second.has_value());
  CHECK(second.error().kind == error_kind::kInvalidSettings);
  CHECK(second.error().message.find(address_) != std::string::npos);
}

}  // namespace pomelohall
