#ifndef POMELOHALL_HTTP_SESSION_RESPONDER_H_
#define POMELOHALL_HTTP_SESSION_RESPONDER_H_

#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "http/http_responder.h"
#include "server_session.h"

namespace pomelohall {

/// The body of a session's chunked response.
class session_stream : public http_response_stream {
 public:
  explicit session_stream(std::shared_ptr<server_session> session)
      : session_(std::move(session)) {}
  session_stream(const session_stream&) = delete;
  session_stream& operator=(const session_stream&) = delete;
  ~session_stream() override { DispatchFinish(); }

  void Write(std::string chunk) override {
    boost::asio::dispatch(session_->Executor(),
                          [session = session_, chunk = std::move(chunk)] {
                            session->WriteStream(chunk);
                          });
  }

  void Finish() override { DispatchFinish(); }

  void OnClosed(std::function<void()> closed) override {
    boost::asio::dispatch(
        session_->Executor(),
        [session = session_, closed = std::move(closed)]() mutable {
          session->OnStreamClosed(std::move(closed));
        });
  }

 private:
  void DispatchFinish() {
    boost::asio::dispatch(session_->Executor(),
                          [session = session_] { session->FinishStream(); });
  }

  std::shared_ptr<server_session> session_;
};

/// Responds to the request that its session is handling.
class session_responder : public http_responder {
 public:
  explicit session_responder(std::shared_ptr<server_session> session)
      : session_(std::move(session)) {}
  session_responder(const session_responder&) = delete;
  session_responder& operator=(const session_responder&) = delete;
  ~session_responder() override {
    SendOnce(ErrorResponse({error_kind::kInternal,
                            "the request handler did not send a response"}));
  }

  void Send(http_response response) override { SendOnce(std::move(response)); }

  void Abort() override {
    if (responded_.exchange(true)) return;
    boost::asio::dispatch(session_->Executor(),
                          [session = session_] { session->Close(); });
  }

  std::shared_ptr<http_response_stream> StartStream(
      http_response head) override {
    if (!responded_.exchange(true)) {
      boost::asio::dispatch(session_->Executor(),
                            [session = session_, head = std::move(head)] {
                              session->BeginStream(head);
                            });
    }
    return std::make_shared<session_stream>(session_);
  }

 private:
  void SendOnce(http_response response) {
    if (responded_.exchange(true)) return;
    boost::asio::dispatch(
        session_->Executor(),
        [session = session_, response = std::move(response)]() mutable {
          session->SendResponse(std::move(response));
        });
  }

  std::shared_ptr<server_session> session_;
  std::atomic<bool> responded_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP_SESSION_RESPONDER_H_
