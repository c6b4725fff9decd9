#include "server_request.h"

namespace pomelohall {

std::shared_ptr<body_source> server_request::Body() {
  if (head_.framing == body_framing::kNone) return nullptr;
  return shared_from_this();
}

void server_request::Respond(incoming_response response,
                             std::function<void(response_write_result)> done) {
  if (const auto session = session_.lock()) {
    session->WriteResponse(this, std::move(response), std::move(done));
    return;
  }
  if (response.body) response.body->Cancel();
  if (done) done({});
}

std::optional<response_progress> server_request::Progress() const {
  const auto session = session_.lock();
  return session ? session->Progress(this) : std::nullopt;
}

bool server_request::TakeBackResponse() {
  const auto session = session_.lock();
  return session && session->TakeBackResponse(this);
}

bool server_request::DelaysLargeResponse() const {
  const auto session = session_.lock();
  return session && session->DelaysLargeResponse(this);
}

void server_request::SetHoldsFollowing(bool holds) {
  if (const auto session = session_.lock()) {
    session->SetHoldsFollowing(this, holds);
  }
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
