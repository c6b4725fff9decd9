#include "client_call.h"

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace pomelohall {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

}  // namespace

client_call::client_call(std::shared_ptr<client_core> core, std::string address,
                         http_request request, instant deadline)
    : core_(std::move(core)),
      address_(std::move(address)),
      request_(ToBeast(std::move(request), address_)),
      deadline_(deadline) {}

void client_call::Start(http_client::body_callback on_body,
                        http_client::callback done) {
  on_body_ = std::move(on_body);
  done_ = std::move(done);
  core_->Add(shared_from_this());
  connection_ = core_->TakeIdle(address_);
  reused_ = connection_ != nullptr;
  if (reused_) return Write();
  Connect();
}

void client_call::Cancel() {
  boost::asio::post(core_->Io(), [self = shared_from_this()] {
    self->Finish(Fail(error_kind::kCancelled, "the client was closed"));
  });
}

void client_call::Connect() {
  reused_ = false;
  sent_ = false;
  connection_ = core_->NewConnection();
  const auto endpoint = ParseEndpoint(address_);
  if (!endpoint) {
    boost::asio::post(core_->Io(), [self = shared_from_this(), endpoint] {
      self->Finish(tl::unexpected(endpoint.error()));
    });
    return;
  }
  connection_->stream.expires_at(deadline_);
  connection_->stream.async_connect(
      *endpoint, [self = shared_from_this()](const error_code& code) {
        self->OnConnected(code);
      });
}

void client_call::OnConnected(const error_code& code) {
  if (!done_) return;
  if (code) return FailWith(code);
  error_code ignored;
  connection_->stream.socket().set_option(tcp::no_delay(true), ignored);
  Write();
}

void client_call::Write() {
  sent_ = true;
  connection_->stream.expires_at(deadline_);
  http::async_write(
      connection_->stream, request_,
      [self = shared_from_this()](const error_code& code, std::size_t) {
        self->OnWritten(code);
      });
}

// A server may answer and close before it has read the whole request, for
// example because the body is too large; the answer is then still readable.
void client_call::OnWritten(const error_code& code) {
  if (!done_) return;
  if (code == boost::beast::error::timeout) return FailWith(code);
  ReadHeader();
}

void client_call::ReadHeader() {
  parser_.emplace();
  parser_->header_limit(
      static_cast<std::uint32_t>(core_->Options().max_header_bytes));
  parser_->body_limit(core_->Options().max_body_bytes);
  parser_->skip(request_.method() == http::verb::head);
  http::async_read_header(
      connection_->stream, connection_->buffer, *parser_,
      [self = shared_from_this()](const error_code& code, std::size_t) {
        self->OnHeader(code);
      });
}

void client_call::OnHeader(const error_code& code) {
  if (!done_) return;
  if (code) return FailWith(code);
  if (parser_->get().result() != http::status::ok) on_body_ = nullptr;
  if (on_body_) parser_->body_limit(boost::none);
  if (parser_->is_done()) return Succeed();
  ReadBody();
}

void client_call::ReadBody() {
  http::async_read_some(
      connection_->stream, connection_->buffer, *parser_,
      [self = shared_from_this()](const error_code& code, std::size_t) {
        self->OnBody(code);
      });
}

void client_call::OnBody(const error_code& code) {
  if (!done_) return;
  if (!DeliverBody()) {
    // The rest of the body stays unread, so the connection is not reused.
    connection_.reset();
    return Succeed();
  }
  if (code) return FailWith(code);
  if (parser_->is_done()) return Succeed();
  ReadBody();
}

bool client_call::DeliverBody() {
  auto& body = parser_->get().body();
  if (!on_body_ || body.empty()) return true;
  const std::string piece = std::exchange(body, {});
  return on_body_(piece);
}

void client_call::Succeed() {
  // A body callback may have destroyed the client.
  if (!done_) return;
  const bool keep = connection_ && parser_->get().keep_alive();
  if (keep) core_->PutIdle(address_, std::move(connection_));
  Finish(FromBeast(parser_->release()));
}

void client_call::FailWith(const error_code& code) {
  if (MaySendAgain(code)) return Connect();
  Finish(tl::unexpected(ErrorOf(code)));
}

bool client_call::MaySendAgain(const error_code& code) const {
  const bool safe = request_.method() == http::verb::get ||
                    request_.method() == http::verb::head;
  const bool answered = parser_ && parser_->got_some();
  return reused_ && safe && !answered && code != boost::beast::error::timeout;
}

error client_call::ErrorOf(const error_code& code) const {
  const std::string text = address_ + ": " + code.message();
  const run_state ran = sent_ ? run_state::kUnknown : run_state::kNotRun;
  if (code == boost::beast::error::timeout) {
    return {error_kind::kDeadlineExceeded, "no answer in time from " + address_,
            ran};
  }
  if (!sent_)
    return {error_kind::kPeerUnreachable, "cannot connect to " + text};
  if (IsHttpError(code) && code != http::error::end_of_stream &&
      code != http::error::partial_message) {
    return {error_kind::kProtocolError, "malformed answer from " + text};
  }
  return {error_kind::kAnswerCutShort, "lost the answer of " + text};
}

void client_call::Finish(result<http_response> answer) {
  if (!done_) return;
  const auto done = std::exchange(done_, nullptr);
  const auto self = shared_from_this();
  if (connection_) connection_->stream.close();
  core_->Remove(self);
  done(std::move(answer));
}

}  // namespace pomelohall
