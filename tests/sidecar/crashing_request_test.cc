#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "concurrent_server.h"
#include "sidecar_fleet.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;

// Bounds of the platform: a request that crashes its backend servers reaches
// them at most this often later than this time after the third crash.
constexpr int kMaxLateCrashes = 3;
constexpr milliseconds kContactTime(3000);
// Time between two requests that crash servers, and until a server is back.
constexpr milliseconds kInterval(1200);

/// Three sidecars beside backend servers that requests for "poison" crash, and
/// two sidecars whose callers send them.
class crashing_request_fixture : public sidecar_fleet {
 protected:
  static constexpr std::size_t kServers = 3;

  crashing_request_fixture() {
    stop_grace_ = milliseconds(2500);
    PublishConfig(3);
    for (std::size_t i = 0; i < kServers; ++i) {
      servers_.push_back(std::make_unique<concurrent_server>(
          [this](const std::string& header) { return Respond(header); }));
      AddSidecar(servers_.back().get());
    }
    AddSidecar(nullptr, "front");
    AddSidecar(nullptr, "front");
    WaitUntilOffered(kServers);
  }

  /// Starts the servers that are down as new instances. The others announce
  /// themselves again.
  void StartCrashedServers() {
    for (std::size_t i = 0; i < kServers; ++i) {
      if (!servers_[i]->IsDown()) continue;
      servers_[i]->Start();
      RunOnIoThread([&] {
        auto& announcement = nodes_[i]->announcement;
        announcement.instance += "x";
        announcement.started_unix_ms += 1000;
        announcement.sequence = 0;
      });
    }
    AnnounceAgain();
  }

  /// Sends correct requests from all VMs, each with another path.
  std::vector<std::future<raw_response>> SendOthers() {
    std::vector<std::future<raw_response>> others;
    for (std::size_t vm = 0; vm < nodes_.size(); ++vm) {
      const auto target = "/safe/" + std::to_string(++last_other_);
      others.push_back(std::async(std::launch::async, [this, vm, target] {
        return Call(vm, "GET", target);
      }));
    }
    return others;
  }

  /// Sends a request as a caller of the platform does: safe ones are repeated
  /// after any failure and others after a refusal, both after Retry-After.
  raw_response CallWithRepeats(std::size_t vm, const std::string& method,
                               const std::string& target) {
    raw_response response;
    for (int i = 0; i <= repeats_; ++i) {
      response = Call(vm, method, target, "", method == "POST" ? "{}" : "");
      const bool refused = response.status == 503 || response.status == 429;
      if (response.status == 200 || (method == "POST" && !refused)) break;
      const auto hint = response.Field("Retry-After");
      std::this_thread::sleep_for(
          std::chrono::duration<double>(hint.empty() ? 0 : std::stod(hint)));
    }
    return response;
  }

  /// Sends the requests in turn at the VMs of one caller service, with others
  /// beside them, and starts the servers again after each round.
  void SendForAWhile(
      const std::vector<std::pair<std::string, std::string>>& method_and_target,
      int rounds) {
    for (int round = 0; round < rounds; ++round) {
      auto others = SendOthers();
      std::this_thread::sleep_for(milliseconds(10));
      std::vector<std::future<raw_response>> sent;
      for (const auto& [method, target] : method_and_target) {
        const auto vm = kServers + next_vm_++ % 2;
        sent.push_back(std::async(std::launch::async,
                                  [this, vm, method = method, target = target] {
                                    return CallWithRepeats(vm, method, target);
                                  }));
      }
      for (auto& response : sent) last_status_ = response.get().status;
      for (auto& other : others) other.get();
      if (on_round_) on_round_(round);
      StartCrashedServers();
      std::this_thread::sleep_for(kInterval);
    }
  }

  /// Checks that the requests crash no more servers, and that others run.
  void CheckThatTheyAreRefused(
      const std::vector<std::pair<std::string, std::string>>& requests) {
    SendForAWhile(requests, rounds_until_contact_);
    std::this_thread::sleep_for(kContactTime);
    StartCrashedServers();
    const int before = crashes_;
    SendForAWhile(requests, 4);
    const std::set<std::pair<std::string, std::string>> different(
        requests.begin(), requests.end());
    CHECK(crashes_ - before <=
          kMaxLateCrashes * static_cast<int>(different.size()));
    CHECK(last_status_ == 503);
    std::this_thread::sleep_for(kInterval);
    for (auto& other : SendOthers()) CHECK(other.get().status == 200);
  }

  std::vector<std::unique_ptr<concurrent_server>> servers_;
  std::atomic<const char*> crashing_caller_{"front"};
  std::function<void(int round)> on_round_;
  int last_status_ = 0;
  int repeats_ = 0;  ///< Of callers.
  /// Rounds that crash three servers at least.
  int rounds_until_contact_ = 3;
  std::atomic<milliseconds> run_time_{milliseconds(30)};

 private:
  scripted_reply Respond(const std::string& header) {
    if (header.find("poison") != std::string::npos &&
        HeaderValue(header, "Pomelohall-Caller-Service") ==
            crashing_caller_.load()) {
      ++crashes_;
      return {.bytes = "", .crash = true};
    }
    return {.bytes = OkResponse(header), .delay = run_time_};
  }

  std::atomic<int> crashes_{0};
  std::atomic<int> last_other_{0};
  std::size_t next_vm_ = 0;
};

// Guards against a request that crashes backend servers as often as it comes,
// at whatever daemon and of whatever kind, while others run beside it.
TEST_CASE_METHOD(crashing_request_fixture,
                 "Sidecar_CrashingRequest_IsRefusedAfterThreeCrashes",
                 "[sidecar]") {
  const std::pair<std::string, std::string> request = GENERATE(
      std::pair{"GET", "/safe/poison"}, std::pair{"POST", "/order/poison"},
      std::pair{"GET", "/file/poison"});
  CheckThatTheyAreRefused({request});
}

// Guards against a request whose crashes count as one because its repeats by
// daemons and callers follow each other within milliseconds.
TEST_CASE_METHOD(crashing_request_fixture,
                 "Sidecar_CrashingRequestWithRepeats_IsRefused", "[sidecar]") {
  repeats_ = 2;
  rounds_until_contact_ = 1;
  CheckThatTheyAreRefused({{"GET", "/safe/poison"}});
}

// Guards against the same request at several VMs at once, each of which tries
// it before it hears of the others' crashes.
TEST_CASE_METHOD(crashing_request_fixture,
                 "Sidecar_CrashingRequestAtSeveralVmsAtOnce_IsRefused",
                 "[sidecar]") {
  repeats_ = GENERATE(0, 2);
  rounds_until_contact_ = 1;
  CheckThatTheyAreRefused(std::vector<std::pair<std::string, std::string>>(
      6, {"GET", "/safe/poison"}));
}

// Guards against several such requests of which only one is recognised.
TEST_CASE_METHOD(crashing_request_fixture,
                 "Sidecar_SeveralCrashingRequests_AreRefused", "[sidecar]") {
  CheckThatTheyAreRefused(
      {{"GET", "/safe/poison-1"}, {"POST", "/order/poison-2"}});
}

// Guards against crashes that are forgotten because daemons restart between
// them: those beside the servers, and those of the callers.
TEST_CASE_METHOD(crashing_request_fixture,
                 "Sidecar_RestartsBetweenCrashes_RequestIsRefused",
                 "[sidecar]") {
  on_round_ = [this](int round) {
    if (round > 2) return;
    for (std::size_t vm = 0; vm < kServers; ++vm) {
      if (servers_[vm]->IsDown()) Restart(vm);
    }
    Restart(kServers + static_cast<std::size_t>(round) % 2);
  };
  repeats_ = GENERATE(0, 2);
  CheckThatTheyAreRefused({{"GET", "/safe/poison"}});
}

// Guards against the refusal of a correct request that many callers send while
// the backend servers crash again and again for other reasons.
TEST_CASE_METHOD(crashing_request_fixture,
                 "Sidecar_ServersCrashOften_CorrectRequestsAreServed",
                 "[sidecar]") {
  const auto call = [this](std::size_t vm) {
    return std::async(std::launch::async,
                      [this, vm] { return Call(vm, "GET", "/safe/same"); });
  };
  for (int round = 0; round < 6; ++round) {
    std::vector<std::future<raw_response>> calls;
    for (std::size_t vm = 0; vm < nodes_.size(); ++vm) {
      calls.push_back(call(vm));
      calls.push_back(call(vm));
    }
    std::this_thread::sleep_for(milliseconds(15));
    servers_[static_cast<std::size_t>(round) % kServers]->Crash();
    for (auto& response : calls) response.get();
    StartCrashedServers();
    std::this_thread::sleep_for(kInterval);
    for (std::size_t vm = 0; vm < nodes_.size(); ++vm) {
      CHECK(call(vm).get().status == 200);
    }
  }
}

// Guards against the refusal of a correct request that differs from one that
// crashes servers in its caller or body alone.
TEST_CASE_METHOD(crashing_request_fixture, "Sidecar_OtherCallerOrBody_IsServed",
                 "[sidecar]") {
  crashing_caller_ = "front";
  CheckThatTheyAreRefused({{"POST", "/order/poison"}});
  CHECK(Call(0, "POST", "/order/poison", "", "{}").status == 200);
  crashing_caller_ = "none";
  CHECK(Call(kServers, "POST", "/order/poison", "", "{ }").status == 200);
}

// Guards against the same if all servers crash at once, several times.
TEST_CASE_METHOD(crashing_request_fixture,
                 "Sidecar_AllServersCrashTogether_CorrectRequestsAreServed",
                 "[sidecar]") {
  for (int round = 0; round < 3; ++round) {
    std::vector<std::future<raw_response>> calls;
    for (std::size_t vm = 0; vm < nodes_.size(); ++vm) {
      calls.push_back(std::async(std::launch::async, [this, vm] {
        return Call(vm, "GET", "/safe/same");
      }));
    }
    std::this_thread::sleep_for(milliseconds(15));
    for (const auto& server : servers_) server->Crash();
    for (auto& response : calls) response.get();
    StartCrashedServers();
    std::this_thread::sleep_for(2 * kInterval);
    for (std::size_t vm = 0; vm < nodes_.size(); ++vm) {
      CHECK(Call(vm, "GET", "/safe/same").status == 200);
    }
  }
}

// Guards against the refusal of a correct request that callers repeat at each
// of the servers while these crash one after the other, or all together: none
// of its runs completes meanwhile.
TEST_CASE_METHOD(crashing_request_fixture,
                 "Sidecar_ServersCrashInSeries_CorrectRequestsAreServed",
                 "[sidecar]") {
  const milliseconds interval =
      GENERATE(milliseconds(0), milliseconds(200), milliseconds(1200));
  repeats_ = 2;
  const auto call_everywhere = [this] {
    std::vector<std::future<raw_response>> calls;
    for (std::size_t vm = 0; vm < nodes_.size(); ++vm) {
      for (int i = 0; i < 2; ++i) {
        calls.push_back(std::async(std::launch::async, [this, vm] {
          return CallWithRepeats(vm, "GET", "/safe/same");
        }));
      }
    }
    return calls;
  };
  for (int round = 0; round < 2; ++round) {
    run_time_ = milliseconds(5000);  // Above the time-out of the route.
    auto calls = call_everywhere();
    std::this_thread::sleep_for(milliseconds(100));
    for (const auto& server : servers_) {
      server->Crash();
      std::this_thread::sleep_for(interval);
    }
    run_time_ = milliseconds(100);
    StartCrashedServers();
    for (auto& response : calls) response.get();
    std::this_thread::sleep_for(2 * kInterval);
    AnnounceAgain();
    for (auto& response : call_everywhere())
      CHECK(response.get().status == 200);
  }
}

}  // namespace
}  // namespace pomelohall
