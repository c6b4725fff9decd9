#include "http/http_client.h"

#include <catch2/catch.hpp>

#include "http_fixture.h"

namespace pomelohall {
namespace {

const std::string kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Accepts one connection for each answer, answers
/// `requests` requests with it and closes.
class scripted_peer {
 public:
  explicit scripted_peer(std::vector<std::string> answers, int requests = 1)
      : requests_(requests),
        acceptor_(io_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        thread_([this, answers = std::move(answers)] { Run(answers); }) {}
  scripted_peer(const scripted_peer&) = delete;
  scripted_peer& operator=(const scripted_peer&) = delete;
  ~scripted_peer() { thread_.join(); }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  void Run(const std::vector<std::string>& answers) {
    for (const auto& answer : answers) {
      auto socket = acceptor_.accept();
      for (int i = 0; i < requests_; ++i) {
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request),
                                "\r\n\r\n");
        boost::asio::write(socket, boost::asio::buffer(answer));
      }
    }
  }

  int requests_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

}  // namespace

// Guards against one connection for each request: the peer accepts only one.
TEST_CASE_METHOD(http_fixture, "Client_SecondRequest_ReusesTheConnection") {
  scripted_peer peer({kAnswer}, 2);
  address_ = peer.Address();
  CHECK(Call({})->body == "ok");
  CHECK(Call({})->body == "ok");
}

// Guards against a write reported as not run although it was sent.
TEST_CASE_METHOD(http_fixture, "Client_NoAnswerInTime_ReportsOutcomeUnknown") {
  Listen();
  const auto answer = Call({.method = "POST", .target = "/hold"},
                           std::chrono::milliseconds(50));
  REQUIRE_FALSE(answer.has_value());
  CHECK(answer.error().kind == error_kind::kDeadlineExceeded);
  CHECK(answer.error().ran == run_state::kUnknown);
}

// Guards against a short answer passed on as a whole one (whole_answer).
TEST_CASE_METHOD(http_fixture, "Client_AnswerCutShort_IsAnError") {
  scripted_peer peer({"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"});
  address_ = peer.Address();
  const auto answer = Call({});
  REQUIRE_FALSE(answer.has_value());
  CHECK(answer.error().kind == error_kind::kAnswerCutShort);
}

TEST_CASE_METHOD(http_fixture, "Client_MalformedAnswer_IsAProtocolError") {
  scripted_peer peer({"this is not HTTP\r\n\r\n"});
  address_ = peer.Address();
  const auto answer = Call({});
  REQUIRE_FALSE(answer.has_value());
  CHECK(answer.error().kind == error_kind::kProtocolError);
}

// Guards against errors caused only by the peer's closing of idle connections.
TEST_CASE_METHOD(http_fixture, "Client_PooledConnectionClosed_UsesANewOne") {
  scripted_peer peer({kAnswer, kAnswer});
  address_ = peer.Address();
  REQUIRE(Call({}).has_value());
  CHECK(Call({}).has_value());
}

TEST_CASE_METHOD(http_fixture, "Client_AddressWithoutPort_IsInvalidRequest") {
  Listen();
  address_ = "localhost";
  const auto answer = Call({});
  REQUIRE_FALSE(answer.has_value());
  CHECK(answer.error().kind == error_kind::kInvalidRequest);
}

// Guards against calls that never answer once their client is destroyed.
TEST_CASE_METHOD(http_fixture, "Client_DestroyedWithCall_AnswersCancelled") {
  Listen();
  std::optional<error_kind> kind;
  {
    http_client client(client_io_);
    client.Send(address_, {.target = "/hold"}, std::chrono::seconds(60),
                [&](result<http_response> answer) {
                  if (!answer) kind = answer.error().kind;
                });
  }
  RunClientUntil([&] { return kind.has_value(); });
  CHECK(kind == error_kind::kCancelled);
}

TEST_CASE("QueryParameter_EncodedValue_IsDecoded") {
  CHECK(QueryParameter("/a?x=1&f=metadata.name%3Dhead", "f") ==
        "metadata.name=head");
  CHECK(QueryParameter("/a", "f").empty());
  CHECK(PercentEncode("a=b c") == "a%3Db%20c");
}

}  // namespace pomelohall
