#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>

#include "base/time.h"
#include "concurrent_server.h"
#include "pool_caller.h"
#include "response_table.h"
#include "sidecar_fleet.h"

namespace pomelohall {
namespace {

using namespace std::string_literals;

// Requests have 2.5 s.
constexpr auto kAtOnce = std::chrono::milliseconds(1000);

const std::string kOwnFields =
    "Pomelohall-Attempt-Id: a1\r\nPomelohall-Response-Signature: sig\r\n";

/// Sends the row of the table that the path names, and keeps the connection
/// open after a broken one.
scripted_reply RowReply(const std::string& header) {
  const auto* row = RequestedRow(header);
  if (row == nullptr) {
    return {.bytes = sidecar_fleet::SignedResponse(200, "a1", "ok")};
  }
  return {.bytes = row->Bytes(kOwnFields),
          .close = row->ends_with_connection && !row->fault};
}

/// Waits until a condition holds, for a short time. Returns whether it does.
template <typename Condition>
bool HoldsSoon(Condition condition) {
  const auto until = MonotonicNow() + kAtOnce;
  while (!condition() && MonotonicNow() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return condition();
}

class broken_response_fixture : public sidecar_fleet {
 protected:
  /// A caller's daemon without a backend server, and the one beside `server_`.
  static constexpr std::size_t kRemote = 0;
  static constexpr std::size_t kLocal = 1;

  broken_response_fixture() {
    AddSidecar(nullptr, "front");
    AddSidecar(&server_);
    PublishConfig(3);
    WaitUntilOffered(1);
  }

  void CheckBroken(std::size_t entry, const std::string& method,
                   const std::string& target) {
    const int requests = server_.Requests();
    const int lost = server_.ConnectionsLost();
    const auto sent_at = MonotonicNow();
    const auto response =
        Call(entry, method, target, "", method == "POST" ? "x" : "");
    CHECK(response.status == 502);
    CHECK(response.Field("Pomelohall-Response-Signature").empty());
    CHECK(MonotonicNow() - sent_at < kAtOnce);
    // It is the only server, so no other can run the request.
    CHECK(server_.Requests() == requests + 1);
    CHECK(HoldsSoon([&] { return server_.ConnectionsLost() > lost; }));
  }

  void CheckSound(std::size_t entry, const std::string& method,
                  const std::string& target, const response_row& row) {
    const auto response =
        Call(entry, method, target, "", method == "POST" ? "x" : "");
    CHECK(response.status == row.status);
    CHECK(response.complete);
    CHECK(response.body == row.body);
    CHECK(response.Field("Pomelohall-Response-Signature") == "sig");
    for (const auto& field : row.fields) {
      CHECK(std::count(response.fields.begin(), response.fields.end(), field) ==
            1);
    }
  }

  concurrent_server server_{RowReply};
};

}  // namespace

// Guards against bytes that are no response and reach a caller as one, or that
// keep it waiting until its deadline, and against a sound response that a
// caller does not get as the backend server sent it.
TEST_CASE_METHOD(broken_response_fixture,
                 "Sidecar_EachRowOfTheResponseTable_IsAnsweredAsListed",
                 "[broken]") {
  const auto& table = ResponseTable();
  for (std::size_t i = 0; i < table.size(); ++i) {
    const auto& row = table[i];
    AnnounceAgain();
    for (const std::string method : {row.method, "POST"}) {
      if (method == "POST" && row.method == "HEAD"s) continue;
      const auto target =
          (method == "POST" ? "/order/" : "/safe/") + RowPath(i);
      for (const std::size_t entry : {kLocal, kRemote}) {
        INFO(row.name << ", " << method << " at VM " << entry);
        if (row.fault) {
          CheckBroken(entry, method, target);
        } else {
          CheckSound(entry, method, target, row);
        }
      }
    }
  }
}

// Guards against a broken response of another daemon that is taken as one, and
// against a call that may have run and is reported as not run.
TEST_CASE("PeerResponse_EachRowOfTheTable_IsTakenAsListed", "[broken]") {
  concurrent_server server(RowReply);
  pool_caller caller(server.Address(), false);
  const auto& table = ResponseTable();
  for (std::size_t i = 0; i < table.size(); ++i) {
    const auto& row = table[i];
    INFO(row.name);
    const auto seen = caller.Call(row.method, "/" + RowPath(i));
    // Daemons mark the end of all responses.
    if (row.fault || row.ends_with_connection) {
      CHECK_FALSE(seen.complete);
      // A fault of the body is found after the head.
      if (!seen.status) CHECK(seen.ran == run_state::kUnknown);
    } else {
      CHECK(seen.status == row.status);
      CHECK(seen.complete);
      CHECK(seen.body == row.body);
    }
  }
}

// Guards against a lookup that fails although another backend server could
// serve it, and against an order that is sent again after it may have run.
TEST_CASE_METHOD(sidecar_fleet,
                 "Sidecar_BrokenResponse_IsRetriedIfTheKindAllowsIt",
                 "[broken]") {
  std::atomic<bool> broken = false;
  const auto first_is_broken = [&](const std::string&) -> scripted_reply {
    if (!broken.exchange(false))
      return {.bytes = SignedResponse(200, "a1", "ok")};
    return {.bytes = SignedResponse(0, "a1", "no")};
  };
  concurrent_server first(first_is_broken);
  concurrent_server second(first_is_broken);
  AddSidecar(&first);
  AddSidecar(&second);
  PublishConfig(3);
  WaitUntilOffered(2);
  const auto requests = [&] { return first.Requests() + second.Requests(); };
  broken = true;
  CHECK(Call(0, "GET", "/safe/1").body == "ok");
  CHECK(requests() == 2);
  broken = true;
  CHECK(Call(0, "POST", "/order/1", "", "x").status == 502);
  CHECK(requests() == 3);
}

// Guards against broken responses that the metrics do not show, or show under
// another fault.
TEST_CASE_METHOD(broken_response_fixture,
                 "Sidecar_BrokenResponse_IsCountedByFault", "[broken]") {
  const auto count = [this] {
    const auto metrics = RunOnIoThread(
        [this] { return nodes_[kLocal]->daemon->RenderMetrics(); });
    const std::string name =
        "pomelohall_broken_responses_total{fault=\"status_code\"} ";
    const auto at = metrics.find(name);
    REQUIRE(at != std::string::npos);
    return std::stoi(metrics.substr(at + name.size()));
  };
  const auto path = RowPath(FirstRowWith(message_fault::kStatusCode));
  const int before = count();
  CheckBroken(kLocal, "POST", "/order/" + path);
  CHECK(count() == before + 1);
}

// Guards against a response that breaks in its body and after which the daemon
// beside its server is taken as unreachable.
TEST_CASE_METHOD(broken_response_fixture,
                 "Sidecar_BrokenFirstChunk_DaemonStaysReachable", "[broken]") {
  const auto path = RowPath(FirstRowWith(message_fault::kChunk));
  for (int i = 0; i < 3; ++i) {
    CheckBroken(kRemote, "GET", "/safe/" + path);
    CHECK(Call(kRemote, "GET", "/safe/1").status == 200);
  }
}

// Guards against fields of one connection that are passed on to a caller, and
// against a success whose signature is lost because the response names its
// field as one of them.
TEST_CASE_METHOD(sidecar_fleet, "Sidecar_FieldsOfTheConnection_AreNotPassedOn",
                 "[broken]") {
  concurrent_server server([](const std::string& header) -> scripted_reply {
    const std::string named = header.find("/signature") == std::string::npos
                                  ? "X-Hop"
                                  : "Pomelohall-Response-Signature";
    return {.bytes = "HTTP/1.1 200 OK\r\n" + kOwnFields +
                     "Connection: keep-alive, " + named +
                     "\r\nX-Hop: 1\r\nX-Own: 1\r\nKeep-Alive: timeout=1\r\n"
                     "Trailer: X-End\r\nUpgrade: x\r\n"
                     "Content-Length: 2\r\n\r\nok"};
  });
  AddSidecar(nullptr, "front");
  AddSidecar(&server);
  PublishConfig(3);
  WaitUntilOffered(1);
  for (const std::size_t entry : {0U, 1U}) {
    INFO("at VM " << entry);
    const auto response = Call(entry, "GET", "/safe/1");
    CHECK(response.status == 200);
    CHECK(response.Field("X-Own") == "1");
    for (const char* name : {"X-Hop", "Keep-Alive", "Trailer", "Upgrade"}) {
      INFO(name);
      CHECK(response.Field(name).empty());
    }
    CHECK(Call(entry, "POST", "/order/signature", "", "x").status == 502);
  }
}

// Guards against a response that breaks after its start was passed on, and
// whose end looks complete to a caller that cannot read chunks.
TEST_CASE_METHOD(sidecar_fleet,
                 "Sidecar_ResponseBreaksInItsBody_DoesNotLookComplete",
                 "[broken]") {
  concurrent_server server([](const std::string&) -> scripted_reply {
    return {.bytes = "HTTP/1.1 200 OK\r\n" + kOwnFields +
                     "Transfer-Encoding: chunked\r\n\r\n40000\r\n" +
                     std::string(0x40000, 'a') + "\r\nx\r\n"};
  });
  AddSidecar(nullptr, "front");
  AddSidecar(&server);
  PublishConfig(3);
  WaitUntilOffered(1);
  for (const std::size_t entry : {0U, 1U}) {
    for (const std::string version : {"1.0", "1.1"}) {
      INFO("HTTP/" << version << " at VM " << entry);
      raw_client client(CallerAddress(entry));
      client.Send("GET /safe/1 HTTP/" + version +
                  "\r\nHost: test\r\nPomelohall-Attempt-Id: a1\r\n"
                  "Pomelohall-Request-Deadline: 2500\r\n\r\n");
      const auto response = client.Read();
      CHECK(response.status == 200);
      CHECK_FALSE(response.complete);
    }
  }
}

}  // namespace pomelohall
