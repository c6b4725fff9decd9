#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "sidecar_fleet.h"

namespace pomelohall {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Sidecars beside backend servers of version v1 and, once an operator has
/// ordered a roll-out, others of version v2.
class rollout_fixture : public sidecar_fleet {
 protected:
  static constexpr std::size_t kServers = 3;

  rollout_fixture() {
    rollouts_ = rollout_settings();
    PublishConfig(3);
    for (std::size_t i = 0; i < kServers; ++i) AddServer(old_servers_, 200);
    WaitUntilOffered(kServers);
  }

  void AddServer(std::vector<std::unique_ptr<scripted_server>>& servers,
                 int status) {
    servers.push_back(
        std::make_unique<scripted_server>([status](const std::string& header) {
          return SignedResponse(
              status, HeaderValue(header, "Pomelohall-Attempt-Id"), "ok");
        }));
    AddSidecar(servers.back().get());
  }

  void Order(int duration_s) {
    RunOnIoThread([&] {
      store_->Put("rollouts", "shop",
                  {{"service", "shop"},
                   {"targetVersion", "v2"},
                   {"durationS", duration_s}});
    });
  }

  void AddNewServers(int status) {
    server_version_ = "v2";
    for (std::size_t i = 0; i < kServers; ++i) AddServer(new_servers_, status);
    WaitUntilOffered(2 * kServers);
  }

  std::string State() {
    const auto status =
        RunOnIoThread([&] { return store_->StatusOf("rollouts", "shop"); });
    return status.is_object() ? status.value("state", "") : std::string();
  }

  /// Sends requests to all sidecars until the store has an outcome. Returns
  /// false if there is none in time.
  bool CallUntilOutcome(seconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        const auto status = Call(i, "GET", "/safe/1").status;
        ++requests_;
        if (status != 200) ++failures_;
      }
      const auto state = State();
      if (state == "completed" || state == "rolled_back") return true;
      if (requests_ % 20 == 0) AnnounceAgain();
    }
    return false;
  }

  static int Requests(
      const std::vector<std::unique_ptr<scripted_server>>& servers) {
    int requests = 0;
    for (const auto& server : servers) requests += server->Requests();
    return requests;
  }

  std::vector<std::unique_ptr<scripted_server>> old_servers_;
  std::vector<std::unique_ptr<scripted_server>> new_servers_;
  int requests_ = 0;
  int failures_ = 0;
};

}  // namespace

// Guards against a bad version that gets a full share of the requests, or any
// after it was found bad.
TEST_CASE_METHOD(rollout_fixture, "Sidecar_BadVersion_IsRolledBack",
                 "[sidecar]") {
  Order(30);
  AddNewServers(500);
  REQUIRE(CallUntilOutcome(seconds(25)));
  CHECK(State() == "rolled_back");
  const int exposed = Requests(new_servers_);
  CHECK(exposed <= requests_ / 10 + 1);
  std::this_thread::sleep_for(milliseconds(500));
  for (std::size_t i = 0; i < 60; ++i)
    Call(i % nodes_.size(), "GET", "/safe/1");
  CHECK(Requests(new_servers_) == exposed);
}

// Guards against a good version that does not complete, and against requests
// at the old servers once the store says that it has.
TEST_CASE_METHOD(rollout_fixture, "Sidecar_GoodVersion_CompletesInTime",
                 "[sidecar]") {
  constexpr int kDurationS = 14;
  Order(kDurationS);
  AddNewServers(200);
  REQUIRE(CallUntilOutcome(seconds(kDurationS + 2)));
  CHECK(State() == "completed");
  CHECK(failures_ == 0);
  const int before = Requests(old_servers_);
  for (std::size_t i = 0; i < 60; ++i) {
    CHECK(Call(i % nodes_.size(), "GET", "/safe/1").status == 200);
  }
  CHECK(Requests(old_servers_) == before);
}

// Guards against a backend server whose response passes for the word of a
// daemon: it would take its own service out of use.
TEST_CASE_METHOD(rollout_fixture, "Sidecar_FieldOfDaemonsInAnswer_IsRemoved",
                 "[sidecar]") {
  scripted_server forger([](const std::string& header) {
    return "HTTP/1.1 200 OK\r\nPomelohall-Attempt-Id: " +
           HeaderValue(header, "Pomelohall-Attempt-Id") +
           "\r\nPomelohall-Response-Signature: sig\r\n"
           "Pomelohall-Mesh-Rollout: [{\"service\":\"shop\",\"target\":\"v1\","
           "\"created\":1,\"limit_ms\":60000,\"revision\":1,"
           "\"state\":\"failed\",\"elapsed_ms\":0}]\r\n"
           "Content-Length: 2\r\n\r\nok";
  });
  AddSidecar(&forger);
  WaitUntilOffered(kServers + 1);
  for (std::size_t i = 0; i < 60; ++i) {
    const auto answer = Call(i % nodes_.size(), "GET", "/safe/1");
    CHECK(answer.status == 200);
    CHECK(answer.Field("Pomelohall-Mesh-Rollout").empty());
  }
  CHECK(forger.Requests() > 0);
}

// Guards against servers of another version without a roll-out that get no
// requests.
TEST_CASE_METHOD(rollout_fixture, "Sidecar_OtherVersionWithoutOrder_IsUsed",
                 "[sidecar]") {
  AddNewServers(200);
  for (std::size_t i = 0; i < 90; ++i)
    Call(i % nodes_.size(), "GET", "/safe/1");
  CHECK(Requests(new_servers_) > 10);
}

}  // namespace pomelohall
