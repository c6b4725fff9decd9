#include "server_request.h"

namespace pomelohall {

std::shared_ptr<body_source> server_request::Body() {
  if (head_.framing == body_framing::kNone) return nullptr;
  return shared_from_this();
}

void server_request::Answer(incoming_answer answer,
                            std::function<void(answer_written)> done) {
  if (const auto session = session_.lock()) {
    session->WriteAnswer(this, std::move(answer), std::move(done));
    return;
  }
  if (answer.body) answer.body->Cancel();
  if (done) done({});
}

void server_request::Abort() {
  if (const auto session = session_.lock()) session->Close();
}

void server_request::SetDisconnectHandler(std::function<void()> handler) {
  if (const auto session = session_.lock()) {
    session->SetDisconnectHandler(this, std::move(handler));
  }
}

void server_request::Read(callback done) {
  if (const auto session = session_.lock()) {
    session->ReadBody(std::move(done));
    return;
  }
  done(pomelohall::Fail(error_kind::kCancelled, "the caller disconnected"));
}

}  // namespace pomelohall
