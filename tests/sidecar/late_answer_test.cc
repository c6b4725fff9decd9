#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "concurrent_server.h"
#include "sidecar_fleet.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;

/// A sidecar beside callers and another one beside a server that answers
/// shortly after the time-out of the route.
class late_answer_fixture : public sidecar_fleet {
 protected:
  static constexpr milliseconds kRouteTimeout{400};

  late_answer_fixture()
      : server_([](const std::string&) {
          return scripted_reply{.bytes = SignedResponse(200, "a1", "ok"),
                                .delay = kRouteTimeout + milliseconds(50)};
        }) {
    route_timeout_ = kRouteTimeout;
    AddSidecar(&server_);
    AddSidecar(nullptr, "front");
    PublishConfig(3);
    WaitUntilOffered(1);
  }

  concurrent_server server_;
};

// Guards against a ready answer that is replaced by 504: the backend server
// has run the request, and its caller still waits.
TEST_CASE_METHOD(late_answer_fixture,
                 "Sidecar_AnswerShortlyAfterTheTimeout_IsDelivered",
                 "[sidecar]") {
  for (const auto* target : {"/safe/1", "/order/1"}) {
    CAPTURE(target);
    CHECK(Call(1, "GET", target).status == 200);
  }
}

/// A sidecar beside callers, one beside a server that never answers and one
/// beside a server that answers at once.
class silent_server_fixture : public sidecar_fleet {
 protected:
  static constexpr milliseconds kRouteTimeout{150};
  static constexpr milliseconds kDeadline{200};

  silent_server_fixture()
      : silent_([](const std::string&) {
          return scripted_reply{.bytes = {}, .delay = std::chrono::seconds(20)};
        }),
        sound_([](const std::string&) {
          return scripted_reply{.bytes = SignedResponse(200, "a1", "ok")};
        }) {
    route_timeout_ = kRouteTimeout;
    AddSidecar(&silent_);
    AddSidecar(&sound_);
    AddSidecar(nullptr, "front");
    PublishConfig(3);
    WaitUntilOffered(2);
  }

  /// Sends a lookup and leaves shortly before the deadline, like a backend
  /// server whose own caller has the same deadline.
  void CallAndLeave() {
    raw_client client(CallerAddress(2));
    client.SendRequest("GET", "/safe/1",
                       "Pomelohall-Attempt-Id: a1\r\n"
                       "Pomelohall-Request-Deadline: " +
                           std::to_string(kDeadline.count()) + "\r\n");
    std::this_thread::sleep_for(kDeadline - milliseconds(5));
    client.Close();
  }

  concurrent_server silent_;
  concurrent_server sound_;
};

// Guards against a server that never answers and is chosen again and again: its
// callers leave before the time-out that would show it.
TEST_CASE_METHOD(silent_server_fixture,
                 "Sidecar_CallersLeaveASilentServer_OthersAreUsed",
                 "[sidecar][load]") {
  constexpr int kCalls = 20;
  for (int i = 0; i < kCalls; ++i) CallAndLeave();
  CAPTURE(silent_.Requests(), sound_.Requests());
  CHECK(sound_.Requests() > silent_.Requests());
}

}  // namespace
}  // namespace pomelohall
