#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "base/http_limits.h"
#include "concurrent_server.h"
#include "sidecar_fleet.h"

namespace pomelohall {
namespace {

constexpr std::size_t kRaisedLimit = 131'072;

/// Two sidecars; the backend server is beside the second one, so that requests
/// to the first one pass through two daemons.
class header_limit_fixture : public sidecar_fleet {
 protected:
  header_limit_fixture()
      : server_([this](const std::string& header) {
          return scripted_reply{.bytes = OkResponse(header)};
        }) {}

  void Start() {
    AddSidecar(nullptr);
    AddSidecar(&server_);
    PublishConfig(3);
    WaitUntilOffered(1);
  }

  /// Returns a request whose header has exactly `size` bytes.
  static std::string RequestOfSize(std::size_t size, const std::string& id) {
    const std::string start =
        "GET /safe/1 HTTP/1.1\r\nHost: test\r\n"
        "Pomelohall-Attempt-Id: " +
        id + "\r\nCookie: ";
    const std::string end = "\r\n\r\n";
    return start + std::string(size - start.size() - end.size(), 'c') + end;
  }

  int StatusOf(std::size_t sidecar, const std::string& request,
               std::size_t piece_size) {
    raw_client client(CallerAddress(sidecar));
    for (std::string_view rest = request; !rest.empty();) {
      const auto piece = rest.substr(0, piece_size);
      client.Send(piece);
      rest.remove_prefix(piece.size());
      if (!rest.empty()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
    }
    return client.Read().status;
  }

  concurrent_server server_;
};

}  // namespace

// Guards against a header within the limit that a daemon accepts and the next
// one refuses, after which it took that one for unreachable and refused the
// requests of all other callers.
TEST_CASE_METHOD(header_limit_fixture,
                 "Sidecar_HeaderNearTheLimit_IsServedByAnotherDaemon",
                 "[sidecar]") {
  Start();
  for (const std::size_t size : {16'000, 16'200, 16'383, 16'384}) {
    INFO(size);
    for (const std::size_t sidecar : {0, 1}) {
      CHECK(StatusOf(sidecar, RequestOfSize(size, "a1"), size) == 200);
      CHECK(StatusOf(sidecar, RequestOfSize(size, "a1"), 5000) == 200);
    }
  }
  for (const std::size_t sidecar : {0, 1}) {
    CHECK(StatusOf(sidecar, RequestOfSize(16'385, "a1"), 17'000) == 431);
    CHECK(Call(sidecar, "GET", "/safe/2").status == 200);
  }
}

// Guards against the end of the daemon for a field, name or target above 64 KiB
// within a raised limit: the library could not hold it and threw.
TEST_CASE_METHOD(header_limit_fixture,
                 "Sidecar_LongPartWithinRaisedLimit_IsServed", "[sidecar]") {
  max_header_bytes_ = kRaisedLimit;
  Start();
  const std::string text(66'000, 'a');
  const std::string rest = "Host: test\r\nPomelohall-Attempt-Id: a1\r\n";
  const std::vector<std::string> requests{
      RequestOfSize(66'124, "a1"),
      RequestOfSize(kRaisedLimit, "a1"),
      "GET /safe/" + text + " HTTP/1.1\r\n" + rest + "\r\n",
      "GET /safe/1 HTTP/1.1\r\n" + rest + text + ": v\r\n\r\n",
      text + " /safe/1 HTTP/1.1\r\n" + rest + "\r\n",
  };
  for (const std::size_t sidecar : {0, 1}) {
    for (const auto& request : requests) {
      INFO(request.substr(0, 20));
      CHECK(StatusOf(sidecar, request, request.size()) == 200);
      CHECK(StatusOf(sidecar, request, 9000) == 200);
    }
    CHECK(StatusOf(sidecar, RequestOfSize(kRaisedLimit + 1, "a1"),
                   kRaisedLimit + 1) == 431);
    CHECK(Call(sidecar, "GET", "/safe/2").status == 200);
  }
}

// Guards against the end of the daemon for pipelined requests with long fields,
// and against responses that are lost or in another order.
TEST_CASE_METHOD(header_limit_fixture,
                 "Sidecar_LongFieldsPipelined_AllRequestsAreServed",
                 "[sidecar]") {
  max_header_bytes_ = kRaisedLimit;
  Start();
  raw_client client(CallerAddress(0));
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) {
    client.Send(RequestOfSize(70'000, "p" + std::to_string(i)));
  }
  for (int i = 0; i < kRequests; ++i) {
    const auto response = client.Read();
    CHECK(response.status == 200);
    CHECK(response.Field("Pomelohall-Attempt-Id") == "p" + std::to_string(i));
  }
}

// Guards against the end of the daemon for a trailer or a chunk extension above
// 64 KiB: with the usual limit, the library threw as well.
TEST_CASE_METHOD(header_limit_fixture,
                 "Sidecar_LongTrailerOrExtension_LeavesTheDaemonRunning",
                 "[sidecar]") {
  Start();
  const std::string head =
      "POST /order/1 HTTP/1.1\r\nHost: test\r\n"
      "Pomelohall-Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::size_t sidecar : {0, 1}) {
    for (const std::size_t size : {60'000, 65'600, 70'000, 200'000}) {
      INFO(size);
      const int expected = size == 60'000 ? 200 : 431;
      const std::string text(size, 'a');
      const std::string trailer = "4\r\nbody\r\n0\r\nT: " + text + "\r\n\r\n";
      const std::string extension = "4;" + text + "\r\nbody\r\n0\r\n\r\n";
      CHECK(StatusOf(sidecar, head + trailer, 1'000'000) == expected);
      CHECK(StatusOf(sidecar, head + extension, 9000) == expected);
    }
    CHECK(Call(sidecar, "GET", "/safe/2").status == 200);
  }
}

// Guards against a limit that has another value on the two daemons, and against
// limits that no memory can hold: they are cut with a warning.
TEST_CASE_METHOD(header_limit_fixture,
                 "Sidecar_LimitChangedInTurn_RequestsWithinItAreServed",
                 "[sidecar]") {
  Start();
  int version = 3;
  for (const std::size_t limit :
       {kRaisedLimit, std::size_t{4096}, std::size_t{1} << 40U,
        std::size_t{8192}, std::size_t{262'144}}) {
    INFO(limit);
    max_header_bytes_ = limit;
    ++version;
    const auto prefix = "/v" + std::to_string(version) + "/";
    PublishConfig(version, prefix);
    for (const std::size_t sidecar : {0, 1}) {
      while (Call(sidecar, "GET", prefix + "1").status != 200) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
    }
    const auto in_force = std::min(limit, kMaxRequestHeadBytes);
    for (const std::size_t sidecar : {0, 1}) {
      CHECK(StatusOf(sidecar, RequestOfSize(in_force, "a1"), 100'000) == 200);
      CHECK(StatusOf(sidecar, RequestOfSize(in_force + 1, "a1"), 100'000) ==
            431);
    }
  }
}

// Guards against a chunked body that grows above the limit unnoticed, and
// against taking the member that got a part of it for unreachable.
TEST_CASE_METHOD(header_limit_fixture, "Sidecar_ChunkedBodyAboveLimit_Gets413",
                 "[sidecar]") {
  Start();
  for (const std::size_t sidecar : {0, 1}) {
    for (const std::size_t size : {60'000, 100'000, 100'001, 300'000}) {
      INFO(size);
      std::string request =
          "POST /order/1 HTTP/1.1\r\nHost: test\r\n"
          "Pomelohall-Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n";
      std::array<char, 20> line{};
      std::snprintf(line.data(), line.size(), "%zx\r\n", size);
      request.append(line.data()).append(size, 'b').append("\r\n0\r\n\r\n");
      CHECK(StatusOf(sidecar, request, 20'000) == (size > 100'000 ? 413 : 200));
      CHECK(Call(sidecar, "GET", "/safe/2").status == 200);
    }
  }
}

}  // namespace pomelohall
