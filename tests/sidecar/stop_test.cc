#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "concurrent_server.h"
#include "sidecar_fleet.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kDeadline(8000);

/// Two sidecars beside callers, and a third beside a server of large responses
/// whose link is full.
class full_link_fixture : public sidecar_fleet {
 protected:
  static constexpr std::size_t kServerVm = 0;
  static constexpr std::size_t kCallerVm = 1;
  static constexpr std::size_t kOtherVm = 2;

  full_link_fixture() : server_(&full_link_fixture::Serve) {
    route_timeout_ = kDeadline;
    link_mbps_ = 7;
    AddSidecar(&server_);
    link_mbps_ = 0;
    AddSidecar(nullptr, "front");
    AddSidecar(nullptr, "front");
    PublishConfig(3);
    WaitUntilOffered(1);
  }

  ~full_link_fixture() {
    loading_ = false;
    for (auto& load : loads_) load.join();
  }

  /// Keeps requests in progress at a sidecar, more than the link carries.
  void StartLoad(std::size_t index, std::size_t callers) {
    const auto address = CallerAddress(index);
    for (std::size_t i = 0; i < callers; ++i) {
      loads_.emplace_back([this, address] {
        while (loading_) {
          if (Download(address, "/safe/small").status != 200) {
            std::this_thread::sleep_for(milliseconds(20));
          }
        }
      });
    }
  }

  /// Starts a download at each interval.
  std::vector<std::future<raw_response>> StartDownloads(std::size_t index,
                                                        int count,
                                                        milliseconds interval) {
    const auto address = CallerAddress(index);
    std::vector<std::future<raw_response>> calls;
    for (int i = 0; i < count; ++i) {
      calls.push_back(
          std::async(std::launch::async, Download, address, "/safe/large"));
      std::this_thread::sleep_for(interval);
    }
    return calls;
  }

 private:
  static scripted_reply Serve(const std::string& header) {
    // The link time that is reserved for a response is the mean of its class.
    const std::size_t bytes =
        header.starts_with("GET /safe/large") ? 300'000 : 60'000;
    return {.bytes = SignedResponse(200, "a1", std::string(bytes, 'x')),
            .delay = milliseconds(50)};
  }

  static raw_response Download(const std::string& address,
                               const std::string& target) {
    try {
      raw_client client(address);
      return client.Call("GET", target,
                         "Pomelohall-Attempt-Id: a1\r\n"
                         "Pomelohall-Request-Deadline: " +
                             std::to_string(kDeadline.count()) + "\r\n");
    } catch (const boost::system::system_error&) {
      raw_response refused;  // The listener is closed: nothing was accepted.
      refused.status = -1;
      return refused;
    }
  }

  concurrent_server server_;
  std::atomic<bool> loading_{true};
  std::vector<std::thread> loads_;
};

/// Checks that each call has a complete response of the server or a refusal
/// now, and that some are served.
void CheckAnswered(std::vector<std::future<raw_response>>& calls) {
  int served = 0;
  int unanswered = 0;
  for (auto& call : calls) {
    // The last bytes may still be in transit to the caller.
    if (call.wait_for(milliseconds(100)) != std::future_status::ready) {
      ++unanswered;
      continue;
    }
    const auto response = call.get();
    // The server has answered: a time-out in place of its response is no better
    // than none.
    const bool failed = response.status >= 500 && response.status != 503;
    if (response.status == 0 || failed ||
        (response.status > 0 && !response.complete)) {
      ++unanswered;
    }
    if (response.status == 200) ++served;
  }
  CHECK(unanswered == 0);
  CHECK(served > 0);
}

// Guards against responses that wait for a full link until the daemon of their
// caller has ended: the caller gets neither a response nor a refusal. Here
// responses that are still in time pass those that are late.
TEST_CASE_METHOD(full_link_fixture,
                 "Sidecar_StopWhileAnotherDaemonFillsTheLink_AnswersAll",
                 "[sidecar]") {
  auto stopped = Stop(kCallerVm);
  std::this_thread::sleep_for(milliseconds(800));
  StartLoad(kOtherVm, 12);
  auto calls = StartDownloads(kCallerVm, 6, milliseconds(20));
  // The process ends when the sidecar has stopped.
  REQUIRE(stopped.wait_for(seconds(6)) == std::future_status::ready);
  CheckAnswered(calls);
}

// Guards against the same if callers beside the server take the link: their
// responses were sent without regard to those that waited for it.
TEST_CASE_METHOD(full_link_fixture,
                 "Sidecar_StopWhileLocalCallersFillTheLink_AnswersAll",
                 "[sidecar]") {
  auto stopped = Stop(kCallerVm);
  std::this_thread::sleep_for(milliseconds(800));
  auto calls = StartDownloads(kCallerVm, 6, milliseconds(20));
  StartLoad(kServerVm, 12);
  REQUIRE(stopped.wait_for(seconds(6)) == std::future_status::ready);
  CheckAnswered(calls);
}

}  // namespace
}  // namespace pomelohall
