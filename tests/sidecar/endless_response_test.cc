#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "endless_server.h"
#include "sidecar_fleet.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;

// Deadline of the caller, and the time after it at which its request must have
// ended everywhere.
constexpr milliseconds kDeadline(600);
constexpr milliseconds kGrace(500);

const std::string kSigned =
    "HTTP/1.1 200 OK\r\nPomelohall-Attempt-Id: a1\r\n"
    "Pomelohall-Response-Signature: sig\r\n";
const std::string kChunk = "400\r\n" + std::string(1024, 'x') + "\r\n";

/// A sidecar whose callers send one lookup to a backend server that never stops
/// sending.
class endless_response_fixture : public sidecar_fleet {
 protected:
  /// Sends a lookup and waits until it must have ended.
  /// @param remote Whether the caller is on another VM than the server.
  raw_response CallAndWait(endless_server& server, bool remote,
                           const std::string& method = "GET",
                           const std::string& target = "/safe/1") {
    AddSidecar(&server);
    if (remote) AddSidecar(nullptr, "front");
    PublishConfig(3);
    WaitUntilOffered(1);
    const auto end = std::chrono::steady_clock::now() + kDeadline + kGrace;
    raw_client client(CallerAddress(remote ? 1 : 0));
    auto response = client.Call(  // Reads at most kMaxBodyBytes of the body.
        method, target,
        "Pomelohall-Attempt-Id: a1\r\nPomelohall-Request-Deadline: " +
            std::to_string(kDeadline.count()) + "\r\n");
    if (response.status == 200 && !response.complete) client.WaitForClose();
    in_time_ = std::chrono::steady_clock::now() < end;
    std::this_thread::sleep_until(end);
    return response;
  }

  bool in_time_ = false;  ///< The caller had its response in time.
};

// Guards against a backend server whose bytes are no response and never end:
// the caller waits beyond its deadline, and the slot and connection stay in
// use.
TEST_CASE_METHOD(endless_response_fixture,
                 "Sidecar_EndlessBytesInHead_CallerGetsAnErrorInTime",
                 "[sidecar]") {
  const bool remote = GENERATE(false, true);
  const auto [start, repeated] = GENERATE(
      std::pair<std::string, std::string>{"", "no response "},
      std::pair<std::string, std::string>{"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
      std::pair<std::string, std::string>{"HTTP/1.1 200 OK\r\nX-A: ", "b"},
      std::pair<std::string, std::string>{"", "\r\n"},
      std::pair<std::string, std::string>{"", "HTTP/1.1 100 Continue\r\n\r\n"},
      std::pair<std::string, std::string>{
          "",
          "HTTP/1.1 200 OK\r\nPomelohall-Attempt-Id: other\r\n"
          "Content-Length: 0\r\n\r\n"},
      std::pair<std::string, std::string>{
          "HTTP/1.1 200 OK\r\nPomelohall-Attempt-Id: other\r\n"
          "Transfer-Encoding: chunked\r\n\r\n",
          kChunk});
  INFO((remote ? "remote: " : "local: ") << start << repeated);
  endless_server server(start, repeated);
  const auto response = CallAndWait(server, remote);
  CHECK((response.status == 502 || response.status == 504));
  CHECK(response.complete);
  CHECK(in_time_);
  CHECK(server.OpenConnections() == 0);
}

// Guards against a response body without an end, which occupied a slot, a
// connection and the link for as long as the caller read it.
TEST_CASE_METHOD(endless_response_fixture,
                 "Sidecar_EndlessBody_IsCutAtTheDeadline", "[sidecar]") {
  const bool remote = GENERATE(false, true);
  const auto [start, repeated] = GENERATE_COPY(
      std::pair<std::string, std::string>{
          kSigned + "Transfer-Encoding: chunked\r\n\r\n", kChunk},
      std::pair<std::string, std::string>{kSigned + "\r\n", "body "},
      std::pair<std::string, std::string>{
          kSigned + "Transfer-Encoding: chunked\r\n\r\n1;", "extension"},
      std::pair<std::string, std::string>{
          kSigned + "Transfer-Encoding: chunked\r\n\r\n", "0"},
      std::pair<std::string, std::string>{
          kSigned + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"});
  INFO((remote ? "remote: " : "local: ") << start << repeated.substr(0, 10));
  endless_server server(start, repeated);
  const auto response = CallAndWait(server, remote);
  CHECK_FALSE((response.status == 200 && response.complete));
  CHECK(in_time_);
  CHECK(server.OpenConnections() == 0);
}

// Guards against a refusal whose body is read without an end to keep the
// connection.
TEST_CASE_METHOD(endless_response_fixture,
                 "Sidecar_EndlessRefusal_IsNotReadToItsEnd", "[sidecar]") {
  const bool remote = GENERATE(false, true);
  INFO((remote ? "remote" : "local"));
  endless_server server(
      "HTTP/1.1 503 X\r\nPomelohall-Attempt-Id: a1\r\n"
      "Pomelohall-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
      kChunk);
  const auto response = CallAndWait(server, remote);
  CHECK(response.status == 503);
  CHECK(in_time_);
  CHECK(server.OpenConnections() == 0);
}

// Guards against an order that is read on without an end after its caller has
// left.
TEST_CASE_METHOD(endless_response_fixture,
                 "Sidecar_EndlessResponseToAnOrder_IsCutAtTheDeadline",
                 "[sidecar]") {
  const bool remote = GENERATE(false, true);
  INFO((remote ? "remote" : "local"));
  endless_server server(kSigned + "Transfer-Encoding: chunked\r\n\r\n", kChunk);
  CallAndWait(server, remote, "POST", "/order/1");
  CHECK(in_time_);
  CHECK(server.OpenConnections() == 0);
}

}  // namespace
}  // namespace pomelohall
