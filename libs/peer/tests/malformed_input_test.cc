#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

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

  // Reads at least `bytes` bytes, or until the other side closes.
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

  // Sends a frame of at most 125 bytes, with a masking key of zeros.
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

constexpr unsigned char kTextOpcode = 1;
constexpr unsigned char kBinaryOpcode = 2;

// Two transports with an open link, which must survive malformed input on other
// connections.
class malformed_input_fixture {
 protected:
  malformed_input_fixture() {
    linked_ = sender_.SendUntilReceived(receiver_, "before");
  }

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

// Guards against a listener that fails on plain HTTP requests or on bytes that
// are not HTTP, or keeps such connections open.
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

// Guards against connections that stay open although the peer never sends a
// request or a greeting.
TEST_CASE_METHOD(malformed_input_fixture,
                 "Transport_SilentConnection_IsClosed") {
  const raw_client silent(receiver_.Address());
  silent.Read();
  const raw_client unidentified(receiver_.Address());
  REQUIRE(unidentified.Upgrade());
  unidentified.Read();
  CheckLinkSurvived();
}

// Guards against accepting frames before the greeting, and text frames.
TEST_CASE_METHOD(malformed_input_fixture,
                 "Transport_WrongFirstFrame_OnlyThatLinkCloses") {
  const raw_client no_greeting(receiver_.Address());
  REQUIRE(no_greeting.Upgrade());
  REQUIRE(no_greeting.WriteFrame(kBinaryOpcode, "no greeting"));
  no_greeting.Read();
  const raw_client text(receiver_.Address());
  REQUIRE(text.Upgrade());
  REQUIRE(text.WriteFrame(kBinaryOpcode, "pomelohall-peer/1 127.0.0.1:1"));
  REQUIRE(text.WriteFrame(kTextOpcode, "text"));
  text.Read();
  CHECK(receiver_->Counters().frames_malformed == 2);
  CHECK_FALSE(receiver_.Received("no greeting"));
  CHECK_FALSE(receiver_.Received("text"));
  CheckLinkSurvived();
}

// Guards against a malformed frame that closes other links, or no link.
TEST_CASE_METHOD(malformed_input_fixture,
                 "Transport_HandlerRefusesFrame_OnlyThatLinkCloses") {
  test_peer faulty;
  faulty->Send(receiver_.Address(), "malformed");
  REQUIRE(Eventually([&] { return receiver_.Received("malformed"); }));
  CHECK(
      Eventually([&] { return receiver_->Counters().frames_malformed == 1; }));
  CheckLinkSurvived();
  CHECK(faulty.SendUntilReceived(receiver_, "well formed"));
  CHECK(faulty->Counters().links_opened == 2);
}

// Guards against clients that use up all file descriptors of the daemon.
TEST_CASE_METHOD(malformed_input_fixture,
                 "Transport_FewDescriptorsLeft_FurtherConnectionsAreRefused") {
  rlimit original{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &original) == 0);
  rlimit low = original;
  low.rlim_cur = 128;
  REQUIRE(setrlimit(RLIMIT_NOFILE, &low) == 0);
  std::vector<std::unique_ptr<raw_client>> clients;
  clients.reserve(50);
  for (int i = 0; i < 50; ++i) {
    clients.push_back(std::make_unique<raw_client>(receiver_.Address()));
  }
  // Descriptors from 64 on are in use now, so the last connection is closed
  // immediately; an accepted one would receive a response to its request.
  clients.back()->Write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(clients.back()->Read().empty());
  REQUIRE(setrlimit(RLIMIT_NOFILE, &original) == 0);
  CheckLinkSurvived();
}

// Guards against buffering a whole frame that exceeds the limit.
TEST_CASE("Transport_OversizedFrame_ClosesItsLink") {
  transport_options limited;
  limited.max_frame_bytes = 1000;
  test_peer receiver(limited);
  test_peer sender;
  REQUIRE(sender.SendUntilReceived(receiver, "before"));
  sender->Send(receiver.Address(), std::string(1001, 'x'));
  CHECK(sender.SendUntilReceived(receiver, "after"));
  CHECK(sender->Counters().links_opened == 2);
  CHECK(receiver->Counters().frames_malformed == 1);
  for (const auto& item : receiver.Frames()) CHECK(item.frame.size() < 1000);
}

}  // namespace pomelohall
