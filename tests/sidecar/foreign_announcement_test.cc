#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "sidecar_fleet.h"

namespace pomelohall {
namespace {

/// A sidecar beside a backend server, and another program on its VM that sends
/// announcements too.
class foreign_announcement_fixture : public sidecar_fleet {
 protected:
  foreign_announcement_fixture() {
    PublishConfig(3);
    AddSidecar(&server_);
    WaitUntilOffered(1);
  }

  /// Returns an announcement that counts after those of the backend server.
  server_announcement LaterAnnouncement(const std::string& instance) {
    auto announcement = nodes_[0]->announcement;
    announcement.instance = instance;
    announcement.started_unix_ms += 1'000'000;
    announcement.sequence += 100;
    return announcement;
  }

  void CheckThatRequestsRunAsOwnService() {
    AnnounceAgain();
    for (int i = 0; i < 5; ++i) {
      CHECK(Call(0, "GET", "/safe/1").status == 200);
      CHECK(Call(0, "POST", "/order/1", "", "{}").status == 200);
      CHECK(Call(0, "GET", "/file/1").status == 200);
    }
    CHECK(other_services_ == 0);
  }

  std::atomic<int> other_services_{0};
  scripted_server server_{[this](const std::string& header) {
    if (HeaderValue(header, "Pomelohall-Caller-Service") != "shop") {
      ++other_services_;
    }
    if (HeaderValue(header, "Pomelohall-Expect-Instance") != "i-0") {
      return "HTTP/1.1 421 X\r\nPomelohall-Attempt-Id: " +
             HeaderValue(header, "Pomelohall-Attempt-Id") +
             "\r\nContent-Length: 0\r\n\r\n";
    }
    return OkResponse(header);
  }};
};

// Guards against requests that reach backend servers with the caller service
// that another program announced, and against a backend server that gets no
// requests because its own announcements no longer count.
TEST_CASE_METHOD(foreign_announcement_fixture,
                 "Sidecar_AnnouncementOfAnotherService_IsRefused",
                 "[sidecar]") {
  const std::string instance = GENERATE("i-other", "i-0");
  const bool draining = GENERATE(false, true);
  auto foreign = LaterAnnouncement(instance);
  foreign.service = "unnamed";
  foreign.draining = draining;
  CHECK(RunOnIoThread([&] {
          return nodes_[0]->daemon->OnAnnounced(foreign);
        }) == announcement_outcome::kForeign);
  CheckThatRequestsRunAsOwnService();
}

// Guards against a wrong caller service, or a backend server without requests
// for more than a moment, if only the instance is another one.
TEST_CASE_METHOD(foreign_announcement_fixture,
                 "Sidecar_AnnouncementOfAnotherInstance_OwnServerComesBack",
                 "[sidecar]") {
  const bool draining = GENERATE(false, true);
  auto foreign = LaterAnnouncement("i-other");
  foreign.draining = draining;
  RunOnIoThread([&] { nodes_[0]->daemon->OnAnnounced(foreign); });
  Call(0, "GET", "/safe/1");  // The server tells that it is not i-other.
  CheckThatRequestsRunAsOwnService();
}

}  // namespace
}  // namespace pomelohall
