#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "concurrent_server.h"
#include "sidecar_fleet.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A sidecar beside a server of large responses whose link carries 700 kB/s of
/// responses, and one beside callers.
class shared_link_fixture : public sidecar_fleet {
 protected:
  static constexpr std::size_t kServerVm = 0;
  static constexpr std::size_t kCallerVm = 1;
  static constexpr std::size_t kBytes = 60'000;
  static constexpr double kBytesPerSecond = 700'000;

  explicit shared_link_fixture(seconds timeout = seconds(8))
      : server_(&shared_link_fixture::Serve) {
    route_timeout_ = timeout;
    link_mbps_ = 7;
    AddSidecar(&server_);
    link_mbps_ = 0;
    AddSidecar(nullptr, "front");
    PublishConfig(3);
    WaitUntilOffered(1);
  }

  static raw_response Download(const std::string& address,
                               const std::string& target) {
    raw_client client(address);
    return client.Call("GET", target, kFields);
  }

  /// Sends requests of several callers at a sidecar, one after the other each,
  /// and returns the number of complete responses.
  std::future<int> StartCallers(std::size_t index, std::size_t callers,
                                seconds time) {
    const auto address = CallerAddress(index);
    return std::async(std::launch::async, [address, callers, time] {
      const auto end = std::chrono::steady_clock::now() + time;
      std::atomic<int> served{0};
      std::vector<std::thread> threads;
      for (std::size_t i = 0; i < callers; ++i) {
        threads.emplace_back([&served, address, end] {
          while (std::chrono::steady_clock::now() < end) {
            const auto response = Download(address, "/safe/file");
            if (response.status == 200 && response.complete) {
              ++served;
            } else {
              // Refusals take link time too.
              std::this_thread::sleep_for(milliseconds(200));
            }
          }
        });
      }
      for (auto& thread : threads) thread.join();
      return served.load();
    });
  }

  static constexpr const char* kFields =
      "Pomelohall-Attempt-Id: a1\r\nPomelohall-Request-Deadline: 8000\r\n";

  static scripted_reply Serve(const std::string& header) {
    if (header.starts_with("GET /safe/huge")) {
      // Larger than what a sidecar buffers. The size is not known to the
      // sidecar before the second request.
      return {.bytes = SignedResponse(200, "a1", std::string(1'500'000, 'x')),
              .delay = milliseconds(300)};
    }
    if (header.starts_with("GET /file/slow")) {
      // 300 kB over 3 s, without a length.
      constexpr std::size_t kPieceBytes = 10'000;
      return {.bytes =
                  "HTTP/1.1 200 OK\r\n"
                  "Pomelohall-Attempt-Id: a1\r\n"
                  "Pomelohall-Response-Signature: s\r\n\r\n" +
                  std::string(30 * kPieceBytes, 'x'),
              .close = true,
              .piece_bytes = kPieceBytes,
              .piece_interval = milliseconds(100)};
    }
    if (header.starts_with("GET /file/")) {
      // The first response comes when all requests of a test have arrived.
      auto response = SignedResponse(200, "a1", std::string(300'000, 'x'));
      if (header.starts_with("GET /file/unknown")) {
        response.replace(
            response.find("Content-Length"),
            response.find("\r\n\r\n") - response.find("Content-Length"),
            "Connection: close");
        return {.bytes = response, .delay = seconds(1), .close = true};
      }
      return {.bytes = response, .delay = seconds(1)};
    }
    return {.bytes = SignedResponse(200, "a1", std::string(kBytes, 'x')),
            .delay = milliseconds(20)};
  }

  concurrent_server server_;
};

// Guards against callers beside the server that take the link without
// admission: the responses need more than the link carries, so all of them are
// late.
TEST_CASE_METHOD(shared_link_fixture,
                 "Sidecar_LocalCallersFillTheLink_AllShareWhatItCarries",
                 "[sidecar]") {
  constexpr seconds kTime(4);
  Download(CallerAddress(kServerVm), "/safe/file");  // The size is known now.
  const auto start = std::chrono::steady_clock::now();
  auto local = StartCallers(kServerVm, 12, kTime);
  auto remote = StartCallers(kCallerVm, 12, kTime);
  const auto local_served = local.get();
  const auto remote_served = remote.get();
  const std::chrono::duration<double> time =
      std::chrono::steady_clock::now() - start;
  const auto carried = kBytesPerSecond * time.count() / kBytes;
  INFO("local " << local_served << ", remote " << remote_served
                << ", the link carries " << carried);
  // Responses in transmission at the end count as well.
  CHECK(local_served + remote_served <= 1.1 * carried + 2);
  CHECK(local_served >= 0.05 * carried);
  CHECK(remote_served >= 0.05 * carried);
}

// Guards against responses to disconnected callers that keep their link time,
// and against callers behind them that get none.
TEST_CASE_METHOD(shared_link_fixture,
                 "Sidecar_LocalCallerDisconnectsInQueue_OthersAreAnswered",
                 "[sidecar]") {
  // The size is not known yet, so all requests are accepted.
  std::vector<std::unique_ptr<raw_client>> leaving;
  for (int i = 0; i < 8; ++i) {
    leaving.push_back(std::make_unique<raw_client>(CallerAddress(kServerVm)));
    leaving.back()->SendRequest("GET", "/safe/file", kFields);
  }
  std::this_thread::sleep_for(milliseconds(100));
  leaving.clear();
  const auto start = std::chrono::steady_clock::now();
  const auto response = Download(CallerAddress(kServerVm), "/safe/file");
  CHECK(response.status == 200);
  CHECK(response.complete);
  CHECK(std::chrono::steady_clock::now() - start < seconds(8));
}

// Guards against responses that are cut at the size up to which they are
// buffered.
TEST_CASE_METHOD(shared_link_fixture,
                 "Sidecar_HugeAnswerToLocalCaller_IsComplete", "[sidecar]") {
  auto other = std::async(std::launch::async, Download,
                          CallerAddress(kServerVm), "/safe/huge");
  const auto response = Download(CallerAddress(kServerVm), "/safe/huge");
  CHECK(response.status == 200);
  CHECK(response.complete);
  CHECK(response.body.size() == 1'500'000);
  CHECK(other.get().body.size() == 1'500'000);
}

// Guards against a response that can no longer be sent before its deadline and
// waits beyond that for the link.
TEST_CASE_METHOD(shared_link_fixture,
                 "Sidecar_LocalAnswerTooLargeForItsDeadline_DoesNotWait",
                 "[sidecar]") {
  auto other = std::async(std::launch::async, Download,
                          CallerAddress(kServerVm), "/safe/huge");
  raw_client client(CallerAddress(kServerVm));
  const auto response =
      client.Call("GET", "/safe/huge",
                  "Pomelohall-Attempt-Id: a1\r\n"
                  "Pomelohall-Request-Deadline: 1500\r\n");  // Takes 2.1 s.
  CHECK(response.status == 200);
  CHECK(response.complete);
  CHECK(other.get().complete);
}

class short_timeout_fixture : public shared_link_fixture {
 protected:
  short_timeout_fixture() : shared_link_fixture(seconds(2)) {}
};

// Guards against a download that its server makes slowly and that is held back
// until it is complete: its first bytes then miss the time-out of the route.
TEST_CASE_METHOD(short_timeout_fixture,
                 "Sidecar_DownloadWithoutLengthOutlastsTimeout_IsForwarded",
                 "[sidecar]") {
  const auto response = Download(CallerAddress(kCallerVm), "/file/slow");
  CHECK(response.status == 200);
  CHECK(response.complete);
  CHECK(response.body.size() == 300'000);
}

// Guards against a daemon that has just started and runs all downloads at once,
// as it does not know the size of a response yet: the link then takes many
// seconds for them.
TEST_CASE_METHOD(shared_link_fixture,
                 "Sidecar_FirstDownloads_AreLimitedToWhatTheLinkCarries",
                 "[sidecar]") {
  const auto* const target = GENERATE("/file/known", "/file/unknown");
  INFO(target);
  constexpr int kCalls = 16;
  std::vector<std::future<raw_response>> calls;
  calls.reserve(kCalls);
  for (int i = 0; i < kCalls; ++i) {
    calls.push_back(std::async(std::launch::async, Download,
                               CallerAddress(i % 2 ? kServerVm : kCallerVm),
                               target));
  }
  int served = 0;
  for (auto& call : calls) {
    const auto response = call.get();
    CHECK((response.status == 200 || response.status == 503));
    CHECK(response.complete);
    if (response.status == 200) ++served;
  }
  // The target is 1 s, in which the link carries seven of the assumed size.
  CHECK(served >= 1);
  CHECK(served <= 7);
  // The size is known now, and the link has sent what was served.
  std::this_thread::sleep_for(seconds(3));
  CHECK(Download(CallerAddress(kCallerVm), target).status == 200);
}

}  // namespace
}  // namespace pomelohall
