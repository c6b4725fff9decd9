#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "concurrent_server.h"
#include "sidecar_fleet.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;

class upload_fixture : public sidecar_fleet {
 protected:
  upload_fixture()
      : server_([](const std::string&) {
          return scripted_reply{.bytes = SignedResponse(200, "a1", "stored")};
        }) {
    route_timeout_ = milliseconds(100);
    AddSidecar(&server_);
    PublishConfig(3);
    WaitUntilOffered(1);
  }

  concurrent_server server_;
};

// Guards against a crash of the daemon when a caller goes on with an upload, or
// leaves, after its response has been written: the read of the body was still
// pending and used memory of the request that had ended.
TEST_CASE_METHOD(upload_fixture,
                 "Sidecar_UploadGoesOnAfterItsResponse_DaemonKeepsRunning",
                 "[sidecar]") {
  for (const std::string rest : {"", "dy", "dy and bytes of no request"}) {
    for (int i = 0; i < 5; ++i) {
      raw_client client(CallerAddress(0));
      client.Send(
          "POST /order/1 HTTP/1.1\r\nHost: test\r\n"
          "Pomelohall-Attempt-Id: a1\r\nContent-Length: 40000\r\n\r\nbo");
      const auto response = client.Read();
      CHECK(response.status == 504);
      CHECK(response.Field("Connection") == "close");
      client.Send(rest);
      client.Close();
    }
  }
  raw_client client(CallerAddress(0));
  client.Send(
      "POST /order/1 HTTP/1.1\r\nHost: test\r\n"
      "Pomelohall-Attempt-Id: a1\r\nContent-Length: 4\r\n\r\nbo");
  CHECK(client.Read().status == 504);
  // The daemon closes the connection once the caller has.
  client.Send("dy");
  CHECK(client.WaitForClose());
  CHECK(Call(0, "POST", "/order/1", "", "body").status == 200);
  CHECK(server_.Requests() == 1);
}

// Guards against the end of the daemon when the last bytes of a chunked body
// arrive one by one: an assertion of the HTTP library expects more of them.
TEST_CASE_METHOD(upload_fixture,
                 "Sidecar_EndOfChunkedUploadInPieces_DaemonKeepsRunning",
                 "[sidecar]") {
  for (const std::string body : {"", "4\r\nbody\r\n"}) {
    raw_client client(CallerAddress(0));
    client.Send(
        "POST /order/1 HTTP/1.1\r\nHost: test\r\n"
        "Pomelohall-Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n" +
        body + "0\r\n");
    for (const std::string part : {"\r", "\n"}) {
      std::this_thread::sleep_for(milliseconds(20));
      client.Send(part);
    }
    CHECK(client.Read().status == 200);
  }
  CHECK(server_.Requests() == 2);
}

}  // namespace
}  // namespace pomelohall
