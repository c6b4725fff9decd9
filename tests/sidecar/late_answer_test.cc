#include <catch2/catch.hpp>
#include <chrono>
#include <string>

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

}  // namespace
}  // namespace pomelohall
