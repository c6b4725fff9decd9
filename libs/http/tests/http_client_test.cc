#include "http/http_client.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <utility>

#include "early_answer_server.h"
#include "http_fixture.h"
#include "response_table.h"

namespace pomelohall {
namespace {

const std::string kOkResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A server that accepts one connection per canned response, sends that
/// response to `requests` requests and closes the connection.
class scripted_server {
 public:
  explicit scripted_server(std::vector<std::string> responses, int requests = 1)
      : requests_(requests),
        acceptor_(io_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        thread_([this, responses = std::move(responses)] { Run(responses); }) {}
  scripted_server(const scripted_server&) = delete;
  scripted_server& operator=(const scripted_server&) = delete;
  ~scripted_server() { thread_.join(); }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  void Run(const std::vector<std::string>& responses) {
    for (const auto& response : responses) {
      auto socket = acceptor_.accept();
      for (int i = 0; i < requests_; ++i) {
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request),
                                "\r\n\r\n");
        boost::asio::write(socket, boost::asio::buffer(response));
      }
    }
  }

  int requests_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

/// A server that sends a body of eight bytes in parts, with a pause before
/// each, and keeps the connection open after the last one.
class slow_body_fixture : public http_fixture {
 protected:
  ~slow_body_fixture() {
    done_.set_value();
    if (server_thread_.joinable()) server_thread_.join();
  }

  void Serve(std::vector<std::string> parts, std::chrono::milliseconds pause) {
    server_thread_ = std::thread([this, parts = std::move(parts), pause] {
      auto socket = acceptor_.accept();
      boost::system::error_code ignored;
      boost::asio::write(socket,
                         boost::asio::buffer(std::string(
                             "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n")),
                         ignored);
      for (const auto& part : parts) {
        std::this_thread::sleep_for(pause);
        boost::asio::write(socket, boost::asio::buffer(part), ignored);
      }
      done_.get_future().wait();
    });
  }

  /// Calls the server with a limit on the silence between parts of the body.
  result<http_response> Call(duration timeout) {
    http_client client(
        client_io_, {.body_silence_timeout = std::chrono::milliseconds(300)});
    std::optional<result<http_response>> response;
    client.Send(server_address_, {}, timeout,
                [&](result<http_response> got) { response = std::move(got); });
    RunClientUntil([&] { return response.has_value(); });
    return *response;
  }

  boost::asio::io_context acceptor_io_;
  boost::asio::ip::tcp::acceptor acceptor_{
      acceptor_io_, {boost::asio::ip::make_address("127.0.0.1"), 0}};
  std::string server_address_ =
      "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());

 private:
  std::promise<void> done_;
  std::thread server_thread_;
};

}  // namespace

// Guards against a new connection for each request: the server accepts only
// one.
TEST_CASE_METHOD(http_fixture, "Client_SecondRequest_ReusesConnection") {
  scripted_server server({kOkResponse}, 2);
  address_ = server.Address();
  CHECK(Call({})->body == "ok");
  CHECK(Call({})->body == "ok");
}

// Guards against bytes behind a response that are taken as the response to the
// next request.
TEST_CASE_METHOD(http_fixture, "Client_BytesBehindAResponse_AreDiscarded") {
  using boost::asio::ip::tcp;
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const auto serve = [&acceptor](const std::string& response) {
    boost::system::error_code failure;
    auto socket = acceptor.accept();
    std::string request;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request),
                            "\r\n\r\n", failure);
    boost::asio::write(socket, boost::asio::buffer(response), failure);
    // Waits for the next request or the end of the connection.
    char byte = 0;
    boost::asio::read(socket, boost::asio::buffer(&byte, 1), failure);
  };
  std::thread server([&serve] {
    serve(kOkResponse + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
    serve(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n"
        "\r\nown");
  });
  address_ = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  const auto first = Call({});
  CHECK((first && first->body == "ok"));
  const auto second = Call({});
  CHECK((second && second->body == "own"));
  // Ends the server even if the client did not open a second connection.
  tcp::socket(io).connect(acceptor.local_endpoint());
  server.join();
}

// Guards against a request that is reported as not run although it was sent.
TEST_CASE_METHOD(http_fixture, "Client_ResponseTimeout_ReportsOutcomeUnknown") {
  Listen();
  const auto response = Call({.method = "POST", .target = "/hold"},
                             std::chrono::milliseconds(50));
  REQUIRE_FALSE(response.has_value());
  CHECK(response.error().kind == error_kind::kDeadlineExceeded);
  CHECK(response.error().ran == run_state::kUnknown);
}

// Guards against a timeout whose message does not tell a silent server from one
// whose response takes too long.
TEST_CASE_METHOD(slow_body_fixture,
                 "Client_TimeoutDuringBody_ReportsReceivedBytes") {
  Serve({"1234"}, std::chrono::milliseconds(0));
  address_ = server_address_;
  const auto response = http_fixture::Call({}, std::chrono::milliseconds(200));
  REQUIRE_FALSE(response.has_value());
  CHECK(response.error().kind == error_kind::kDeadlineExceeded);
  CHECK_THAT(response.error().message, Catch::Contains("after 4 of 8 bytes"));
}

// Guards against a large body on a slow link that is given up while its bytes
// arrive.
TEST_CASE_METHOD(slow_body_fixture,
                 "Client_SlowBodyWithSilenceTimeout_IsReceived") {
  Serve({"12", "34", "56", "78"}, std::chrono::milliseconds(100));
  const auto response = Call(std::chrono::milliseconds(200));
  REQUIRE(response.has_value());
  CHECK(response->body == "12345678");
}

// Guards against a request that waits without a bound for the rest of a body.
TEST_CASE_METHOD(slow_body_fixture, "Client_SilenceDuringBody_TimesOut") {
  Serve({"12", "34"}, std::chrono::milliseconds(0));
  const auto response = Call(std::chrono::seconds(60));
  REQUIRE_FALSE(response.has_value());
  CHECK(response.error().kind == error_kind::kDeadlineExceeded);
  CHECK_THAT(response.error().message, Catch::Contains("after 4 of 8 bytes"));
}

// Guards against a truncated response that is treated as complete
// (guarantee whole_answer).
TEST_CASE_METHOD(http_fixture, "Client_TruncatedResponse_IsAnswerCutShort") {
  scripted_server server({"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"});
  address_ = server.Address();
  const auto response = Call({});
  REQUIRE_FALSE(response.has_value());
  CHECK(response.error().kind == error_kind::kAnswerCutShort);
}

// Guards against a part of a response that is treated as complete because the
// write of the request took the error of the reset.
TEST_CASE_METHOD(http_fixture, "Client_ResetDuringUpload_IsAnswerCutShort") {
  constexpr int kRepetitions = 4;
  const http_request upload{.method = "POST",
                            .target = "/",
                            .body = std::string(8UL * 1024 * 1024, 'u')};
  for (const auto end :
       {answer_end::kReset, answer_end::kEndThenReset, answer_end::kClose}) {
    for (const std::size_t size : {6UL, 60'000UL, 300'000UL}) {
      // The client reads only once it has written, so that the end behind a
      // large answer would not arrive before the reset.
      if (end == answer_end::kEndThenReset && size > 6) continue;
      early_answer_server server([&](const std::string&) {
        return early_answer{
            .bytes = "HTTP/1.1 200 OK\r\n\r\n" + std::string(size, 'p'),
            .end = end};
      });
      address_ = server.Address();
      for (int i = 0; i < kRepetitions; ++i) {
        INFO(size << " bytes, end " << static_cast<int>(end));
        const auto response = Call(upload);
        REQUIRE(response.has_value() == (end != answer_end::kReset));
        if (response) {
          CHECK(response->body.size() == size);
        } else {
          CHECK(response.error().kind == error_kind::kAnswerCutShort);
          CHECK(response.error().ran == run_state::kUnknown);
        }
      }
    }
  }
}

TEST_CASE_METHOD(http_fixture, "Client_MalformedResponse_IsProtocolError") {
  scripted_server server({"this is not HTTP\r\n\r\n"});
  address_ = server.Address();
  const auto response = Call({});
  REQUIRE_FALSE(response.has_value());
  CHECK(response.error().kind == error_kind::kProtocolError);
}

// Guards against a status code that does not exist and that a client of the
// store or a tool takes as one.
TEST_CASE_METHOD(http_fixture, "Client_StatusOutsideTheRange_IsProtocolError") {
  for (const std::string code : {"000", "099", "600", "999"}) {
    INFO(code);
    scripted_server server(
        {"HTTP/1.1 " + code + " X\r\nContent-Length: 2\r\n\r\nok"});
    address_ = server.Address();
    const auto response = Call({});
    REQUIRE_FALSE(response.has_value());
    CHECK(response.error().kind == error_kind::kProtocolError);
    CHECK(response.error().ran == run_state::kUnknown);
  }
}

// Guards against bytes that are no response and that a client of the store or
// a tool takes as one, and against a sound response that it does not get.
TEST_CASE_METHOD(http_fixture,
                 "Client_EachRowOfTheResponseTable_IsTakenAsListed") {
  for (const auto& row : ResponseTable()) {
    INFO(row.name);
    scripted_server server({row.Bytes("")});
    address_ = server.Address();
    const auto response = Call({.method = row.method});
    REQUIRE(response.has_value() == !row.fault);
    if (row.fault) {
      CHECK(response.error().kind == error_kind::kProtocolError);
      CHECK(response.error().ran == run_state::kUnknown);
      continue;
    }
    CHECK(response->status == row.status);
    CHECK(response->body == row.body);
    CHECK(FindHeader(response->headers, "X-End").empty());
    for (const auto& field : row.fields) {
      CHECK(std::count(response->headers.begin(), response->headers.end(),
                       std::pair(field.name, field.value)) == 1);
    }
  }
}

// Guards against errors for requests that reuse an idle connection which the
// server has just closed.
TEST_CASE_METHOD(http_fixture,
                 "Client_PooledConnectionClosed_OpensNewConnection") {
  scripted_server server({kOkResponse, kOkResponse});
  address_ = server.Address();
  REQUIRE(Call({}).has_value());
  CHECK(Call({}).has_value());
}

TEST_CASE_METHOD(http_fixture, "Client_AddressWithoutPort_IsInvalidRequest") {
  Listen();
  address_ = "localhost";
  const auto response = Call({});
  REQUIRE_FALSE(response.has_value());
  CHECK(response.error().kind == error_kind::kInvalidRequest);
}

// Guards against a callback that is never invoked after the client is
// destroyed.
TEST_CASE_METHOD(http_fixture,
                 "Client_DestroyedDuringRequest_ReportsCancelled") {
  Listen();
  std::optional<error_kind> kind;
  {
    http_client client(client_io_);
    client.Send(address_, {.target = "/hold"}, std::chrono::seconds(60),
                [&](result<http_response> response) {
                  if (!response) kind = response.error().kind;
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
