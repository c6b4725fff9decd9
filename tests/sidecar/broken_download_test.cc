#include <catch2/catch.hpp>
#include <cstddef>
#include <string>
#include <utility>

#include "concurrent_server.h"
#include "sidecar_fleet.h"

namespace pomelohall {
namespace {

// More than a daemon reads before it starts to pass an answer on.
constexpr std::size_t kDownloadBytes = 90'000;
constexpr std::size_t kSentBytes = 75'000;

/// A sidecar beside callers and another one beside a server whose downloads end
/// early.
class broken_download_fixture : public sidecar_fleet {
 protected:
  broken_download_fixture() : server_(Reply) {
    AddSidecar(nullptr, "front");
    AddSidecar(&server_);
    PublishConfig(3);
    WaitUntilOffered(1);
  }

  static scripted_reply Reply(const std::string& header) {
    if (header.find(" /file/") == std::string::npos) {
      return {.bytes = OkResponse(header)};
    }
    auto bytes = SignedResponse(200, "a0", std::string(kDownloadBytes, 'd'));
    if (header.find("/sound") == std::string::npos) {
      bytes.resize(kSentBytes);
    }
    return {.bytes = std::move(bytes), .close = true};
  }

  /// Sends a download, and lookups before it has been answered.
  static void Pipeline(raw_client& client, const std::string& target) {
    const auto request = [](const std::string& path, int id) {
      return "GET " + path + " HTTP/1.1\r\nHost: test\r\n" +
             "Pomelohall-Attempt-Id: a" + std::to_string(id) + "\r\n\r\n";
    };
    std::string requests = request(target, 0);
    for (int i = 1; i <= kLookups; ++i) requests += request("/safe/1", i);
    client.Send(requests);
  }

  static constexpr int kLookups = 3;
  concurrent_server server_;
};

}  // namespace

// Guards against requests that have run behind a download that breaks off: the
// connection can only be closed, and they got no response.
TEST_CASE_METHOD(broken_download_fixture,
                 "Sidecar_DownloadBreaksOff_RequestsBehindItHaveNotRun",
                 "[sidecar]") {
  raw_client client(CallerAddress(0));
  Pipeline(client, "/file/broken");
  const auto response = client.Read();
  CHECK(response.status == 200);
  CHECK_FALSE(response.complete);
  CHECK(client.WaitForClose());
  CHECK(server_.Requests() == 1);
}

// Guards against requests that wait behind a download for good.
TEST_CASE_METHOD(broken_download_fixture,
                 "Sidecar_RequestsBehindSoundDownload_AreServedInOrder",
                 "[sidecar]") {
  raw_client client(CallerAddress(0));
  Pipeline(client, "/file/sound");
  CHECK(client.Read().body.size() == kDownloadBytes);
  for (int i = 1; i <= kLookups; ++i) {
    const auto response = client.Read();
    CHECK(response.status == 200);
    CHECK(response.Field("Pomelohall-Attempt-Id") == "a" + std::to_string(i));
  }
}

}  // namespace pomelohall
