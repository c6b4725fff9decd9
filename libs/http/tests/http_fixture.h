#ifndef POMELOHALL_HTTP_TESTS_HTTP_FIXTURE_H_
#define POMELOHALL_HTTP_TESTS_HTTP_FIXTURE_H_

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "http/http_client.h"
#include "http/http_server.h"

namespace pomelohall {

/// A server on its own thread and a client on the test's thread.
class http_fixture {
 protected:
  ~http_fixture() {
    if (thread_.joinable()) OnServer([this] { server_.reset(); });
    held_.reset();
    work_.reset();
    if (thread_.joinable()) thread_.join();
  }

  void Listen(http_server_options options = {}) {
    auto server =
        http_server::Listen(server_io_, std::move(options),
                            [this](const http_request& request,
                                   std::shared_ptr<http_responder> responder) {
                              Handle(request, std::move(responder));
                            });
    REQUIRE(server.has_value());
    server_ = std::move(*server);
    address_ = server_->Address();
    thread_ = std::thread([this] { server_io_.run(); });
  }

  /// Runs `task` on the server's thread and waits until it has finished.
  template <typename Task>
  void OnServer(Task task) {
    // Shared, because set_value() may still be running when wait() returns.
    const auto done = std::make_shared<std::promise<void>>();
    boost::asio::post(server_io_, [&task, done] {
      task();
      done->set_value();
    });
    done->get_future().wait();
  }

  result<http_response> Call(http_request request,
                             duration timeout = std::chrono::seconds(60)) {
    std::optional<result<http_response>> response;
    client_.Send(address_, std::move(request), timeout,
                 [&](result<http_response> got) { response = std::move(got); });
    RunClientUntil([&] { return response.has_value(); });
    return *response;
  }

  template <typename Condition>
  void RunClientUntil(Condition condition) {
    client_io_.restart();
    while (!condition()) REQUIRE(client_io_.run_one() > 0);
  }

  boost::asio::ip::tcp::socket RawConnect() {
    boost::asio::ip::tcp::socket socket(client_io_);
    const auto colon = address_.rfind(':');
    socket.connect(
        {boost::asio::ip::make_address(address_.substr(0, colon)),
         static_cast<std::uint16_t>(std::stoi(address_.substr(colon + 1)))});
    return socket;
  }

  /// Sends raw bytes and returns everything that the server sends until it
  /// closes the connection.
  std::string RawExchange(const std::string& bytes) {
    auto socket = RawConnect();
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    return ReadAll(socket);
  }

  static std::string ReadAll(boost::asio::ip::tcp::socket& socket) {
    std::string received;
    boost::system::error_code code;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), code);
    return received;
  }

  /// `/hold` stores its responder in `held_`, `/drop` destroys it without a
  /// response, `/stream` starts `stream_`; every other path echoes the method,
  /// target and body.
  void Handle(const http_request& request,
              std::shared_ptr<http_responder> responder) {
    if (request.target == "/hold") {
      held_ = std::move(responder);
      held_promise_.set_value();
    } else if (request.target == "/stream") {
      stream_ = responder->StartStream(JsonResponse(200, ""));
      stream_->Write("first\n");
    } else if (request.target != "/drop") {
      responder->Send(JsonResponse(
          200, request.method + " " + request.target + " " + request.body));
    }
  }

  boost::asio::io_context server_io_;
  boost::asio::io_context client_io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_ = boost::asio::make_work_guard(server_io_);
  std::unique_ptr<http_server> server_;
  http_client client_{client_io_};
  std::thread thread_;
  std::string address_;
  std::shared_ptr<http_responder> held_;
  std::promise<void> held_promise_;
  std::promise<void> stopped_;
  std::promise<void> closed_;
  std::shared_ptr<http_response_stream> stream_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP_TESTS_HTTP_FIXTURE_H_
