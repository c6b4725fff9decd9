#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>

#include "peer/transport.h"
#include "transport_fixture.h"

namespace pomelohall {
namespace {

// A plain TCP connection to the transport's listener.
class raw_client {
 public:
  explicit raw_client(const std::string& address)
      : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    const auto colon = address.rfind(':');
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    connected_ = ::connect(socket_, reinterpret_cast<sockaddr*>(&target),
                           sizeof(target)) == 0;
  }
  ~raw_client() { ::close(socket_); }
  raw_client(const raw_client&) = delete;
  raw_client& operator=(const raw_client&) = delete;

  bool Write(const std::string& bytes) const {
    return connected_ &&
           ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
               static_cast<ssize_t>(bytes.size());
  }

  // Reads until `bytes` were read or the other side closed.
  std::string Read(std::size_t bytes = static_cast<std::size_t>(-1)) const {
    std::string all;
    char buffer[4096];
    while (all.size() < bytes) {
      const auto got = ::recv(socket_, buffer, sizeof(buffer), 0);
      if (got <= 0) break;
      all.append(buffer, static_cast<std::size_t>(got));
    }
    return all;
  }

  bool Upgrade() const {
    Write(
        "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: "
        "Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
        "Sec-WebSocket-Version: 13\r\n\r\n");
    return Read(1).rfind("HTTP/1.1 101", 0) == 0;
  }

  // Sends a short frame with a mask of zeros.
  bool WriteFrame(unsigned char opcode, const std::string& payload) const {
    std::string frame;
    frame.push_back(static_cast<char>(0x80U | opcode));
    frame.push_back(static_cast<char>(0x80U | payload.size()));
    return Write(frame + std::string(4, '\0') + payload);
  }

 private:
  int socket_;
  bool connected_ = false;
};

constexpr unsigned char kText = 1;
constexpr unsigned char kBinary = 2;

// Two transports with an open link, which must survive what strangers send.
class malformed_input_fixture {
 protected:
  malformed_input_fixture() { linked_ = sender_.Reaches(receiver_, "before"); }

  void CheckLinkSurvived() {
    CHECK(linked_);
    const auto opened = sender_->Counters().links_opened;
    sender_->Send(receiver_.Address(), "after");
    CHECK(Eventually([&] { return receiver_.Received("after"); }));
    CHECK(sender_->Counters().links_opened == opened);
  }

  test_peer receiver_;
  test_peer sender_;
  bool linked_ = false;
};

}  // namespace

// Guards against a listener that breaks, or keeps a connection, on HTTP
// requests and bytes that are no HTTP.
TEST_CASE_METHOD(malformed_input_fixture,
                 "Transport_NotWebsocket_OnlyThatConnectionCloses") {
  const raw_client http(receiver_.Address());
  REQUIRE(http.Write("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"));
  CHECK(http.Read().rfind("HTTP/1.1 4", 0) == 0);
  const raw_client garbage(receiver_.Address());
  REQUIRE(garbage.Write(std::string(5000, '\x7f') + "\r\n\r\n"));
  garbage.Read();
  CheckLinkSurvived();
}

// Guards against a connection that is kept although its peer never speaks.
TEST_CASE_METHOD(malformed_input_fixture,
                 "Transport_SilentConnection_IsClosed") {
  const raw_client silent(receiver_.Address());
  silent.Read();
  const raw_client unidentified(receiver_.Address());
  REQUIRE(unidentified.Upgrade());
  unidentified.Read();
  CheckLinkSurvived();
}

// Guards against frames that are handed on before the peer said who it is, and
// against text frames.
TEST_CASE_METHOD(malformed_input_fixture,
                 "Transport_WrongFirstFrame_OnlyThatLinkCloses") {
  const raw_client nameless(receiver_.Address());
  REQUIRE(nameless.Upgrade());
  REQUIRE(nameless.WriteFrame(kBinary, "no greeting"));
  nameless.Read();
  const raw_client text(receiver_.Address());
  REQUIRE(text.Upgrade());
  REQUIRE(text.WriteFrame(kBinary, "pomelohall-peer/1 127.0.0.1:1"));
  REQUIRE(text.WriteFrame(kText, "text"));
  text.Read();
  CHECK(receiver_->Counters().frames_malformed == 2);
  CHECK_FALSE(receiver_.Received("no greeting"));
  CHECK_FALSE(receiver_.Received("text"));
  CheckLinkSurvived();
}

// Guards against a malformed frame that closes other links, or none.
TEST_CASE_METHOD(malformed_input_fixture,
                 "Transport_HandlerRefusesFrame_OnlyThatLinkCloses") {
  test_peer faulty;
  faulty->Send(receiver_.Address(), "malformed");
  REQUIRE(Eventually([&] { return receiver_.Received("malformed"); }));
  CHECK(
      Eventually([&] { return receiver_->Counters().frames_malformed == 1; }));
  CheckLinkSurvived();
  CHECK(faulty.Reaches(receiver_, "well formed"));
  CHECK(faulty->Counters().links_opened == 2);
}

// Guards against a frame above the limit that is buffered whole.
TEST_CASE("Transport_OversizedFrame_ClosesItsLink") {
  transport_options limited;
  limited.max_frame_bytes = 1000;
  test_peer receiver(limited);
  test_peer sender;
  REQUIRE(sender.Reaches(receiver, "before"));
  sender->Send(receiver.Address(), std::string(1001, 'x'));
  CHECK(sender.Reaches(receiver, "after"));
  CHECK(sender->Counters().links_opened == 2);
  CHECK(receiver->Counters().frames_malformed == 1);
  for (const auto& item : receiver.Frames()) CHECK(item.frame.size() < 1000);
}

}  // namespace pomelohall
