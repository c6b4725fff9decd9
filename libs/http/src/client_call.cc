#include "client_call.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <utility>

#include "base/ascii_text.h"
#include "endpoint.h"
#include "http1/broken_responses.h"
#include "http1/buffered_bytes.h"
#include "http1/head_writer.h"

namespace pomelohall {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int kOk = 200;
constexpr std::size_t kReadBytes = 64UL * 1024;

std::string FormatHead(const http_request& request, const std::string& host) {
  auto head = head_writer::Request(request.method, request.target);
  head.Add("Host", host);
  for (const auto& [name, value] : request.headers) {
    if (!EqualsIgnoringCase(name, "Host")) head.Add(name, value);
  }
  if (!request.body.empty() || request.method == "POST" ||
      request.method == "PUT") {
    head.AddLength(request.body.size());
  }
  return head.Finish();
}

}  // namespace

client_call::client_call(std::shared_ptr<client_core> core, std::string address,
                         http_request request, instant deadline)
    : core_(std::move(core)),
      address_(std::move(address)),
      request_(std::move(request)),
      head_text_(FormatHead(request_, address_)),
      deadline_(deadline) {}

void client_call::Start(http_client::body_callback on_body,
                        http_client::callback done) {
  on_body_ = std::move(on_body);
  done_ = std::move(done);
  core_->Add(shared_from_this());
  connection_ = core_->TakeIdle(address_);
  connection_reused_ = connection_ != nullptr;
  if (connection_reused_) return Write();
  Connect();
}

void client_call::Cancel() {
  boost::asio::post(core_->Io(), [self = shared_from_this()] {
    self->Finish(Fail(error_kind::kCancelled, "the HTTP client was destroyed"));
  });
}

void client_call::Connect() {
  connection_reused_ = false;
  write_started_ = false;
  write_failure_ = {};
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
  if (code) return OnError(code);
  error_code ignored;
  connection_->stream.socket().set_option(tcp::no_delay(true), ignored);
  Write();
}

void client_call::Write() {
  write_started_ = true;
  connection_->stream.expires_at(deadline_);
  const std::array buffers{
      boost::asio::const_buffer(head_text_.data(), head_text_.size()),
      boost::asio::const_buffer(request_.body.data(), request_.body.size()),
  };
  boost::asio::async_write(
      connection_->stream, buffers,
      [self = shared_from_this()](const error_code& code, std::size_t) {
        self->OnWritten(code);
      });
}

// A write error does not end the call: a server may respond and close before it
// has read the whole request, for example because the body is too large. Its
// response can still be read, unless only the end of a connection that was lost
// would end it.
void client_call::OnWritten(const error_code& code) {
  if (!done_) return;
  if (code == boost::beast::error::timeout) return OnError(code);
  write_failure_ = code;
  parser_.emplace(response_parser_options{
      .max_head_bytes = core_->Options().max_header_bytes,
      .to_head = request_.method == "HEAD"});
  ReadResponse();
}

void client_call::ReadResponse() {
  connection_->stream.async_read_some(
      connection_->buffer.prepare(kReadBytes),
      [self = shared_from_this()](const error_code& code, std::size_t bytes) {
        self->OnRead(code, bytes);
      });
}

void client_call::OnRead(const error_code& code, std::size_t bytes) {
  if (!IsActive()) return;
  connection_->buffer.commit(bytes);
  if (code) {
    const bool complete =
        code == boost::asio::error::eof && parser_->ParseEnd(write_failure_);
    return complete ? Succeed() : OnError(code);
  }
  if (parser_->IsHeadDone()) {
    ParseBody();
  } else {
    ParseHead();
  }
}

void client_call::ParseHead() {
  connection_->buffer.consume(
      parser_->ParseHead(BufferedBytes(connection_->buffer)));
  if (const auto fault = parser_->Fault()) {
    OnBrokenResponse(*fault);
  } else if (parser_->IsHeadDone()) {
    OnHead();
  } else {
    ReadResponse();
  }
}

void client_call::OnHead() {
  if (parser_->Status() != kOk) on_body_ = nullptr;
  const bool too_large = !on_body_ && parser_->ContentLength().value_or(0) >
                                          core_->Options().max_body_bytes;
  if (too_large && !parser_->IsDone()) {
    OnBrokenResponse(message_fault::kTooLarge);
  } else {
    ParseBody();
  }
}

void client_call::ParseBody() {
  auto& buffer = connection_->buffer;
  while (!parser_->IsDone() && buffer.size() > 0) {
    const auto bytes = BufferedBytes(connection_->buffer);
    const auto step = parser_->ParseBody(bytes, bytes.size());
    const bool wanted = step.content.empty() || DeliverContent(step.content);
    // The body callback may have destroyed the client.
    if (!IsActive()) return;
    if (!wanted) {
      // The rest of the body is unread, so the connection cannot be reused.
      connection_.reset();
      return Succeed();
    }
    buffer.consume(step.consumed);
    if (const auto fault = parser_->Fault()) return OnBrokenResponse(*fault);
    if (body_.size() > core_->Options().max_body_bytes) {
      return OnBrokenResponse(message_fault::kTooLarge);
    }
  }
  if (parser_->IsDone()) return Succeed();
  const auto silence_timeout = core_->Options().body_silence_timeout;
  if (silence_timeout.count() > 0) {
    connection_->stream.expires_after(silence_timeout);
  }
  ReadResponse();
}

bool client_call::DeliverContent(std::string_view content) {
  if (on_body_) return on_body_(content);
  body_.append(content);
  return true;
}

void client_call::Succeed() {
  // Bytes beyond the response belong to no request, and would be read as the
  // response to the next one.
  const bool reusable = connection_ && connection_->buffer.size() == 0 &&
                        parser_->KeepsConnection();
  if (reusable) core_->ReturnIdle(address_, std::move(connection_));
  http_response response{.status = parser_->Status(), .body = std::move(body_)};
  for (auto& field : parser_->TakeFields()) {
    response.headers.emplace_back(std::move(field.name),
                                  std::move(field.value));
  }
  Finish(std::move(response));
}

void client_call::OnBrokenResponse(message_fault fault) {
  ReportBrokenResponse(fault, address_);
  Finish(Fail(error_kind::kProtocolError,
              "the response from " + address_ + " is broken: " +
                  std::string(kMessageFaultNames.Name(fault))));
}

void client_call::OnError(const error_code& code) {
  if (CanRetry(code)) return Connect();
  Finish(tl::unexpected(ToError(code)));
}

bool client_call::CanRetry(const error_code& code) const {
  const bool idempotent = request_.method == "GET" || request_.method == "HEAD";
  const bool response_started = parser_ && parser_->HasStarted();
  return connection_reused_ && idempotent && !response_started &&
         code != boost::beast::error::timeout;
}

error client_call::ToError(const error_code& code) const {
  const std::string text = address_ + ": " + code.message();
  const run_state ran =
      write_started_ ? run_state::kUnknown : run_state::kNotRun;
  if (code == boost::beast::error::timeout) {
    return {error_kind::kDeadlineExceeded,
            "timed out waiting for " + address_ + ReceivedBytes(), ran};
  }
  if (!write_started_)
    return {error_kind::kPeerUnreachable, "cannot connect to " + text};
  return {error_kind::kAnswerCutShort,
          "connection closed before the end of the response from " + text};
}

// Returns how much of the body has arrived, "" if its length is unknown.
std::string client_call::ReceivedBytes() const {
  if (!parser_ || !parser_->IsHeadDone()) return "";
  const auto& length = parser_->ContentLength();
  if (!length) return "";
  return " after " + std::to_string(*length - parser_->RemainingLength()) +
         " of " + std::to_string(*length) + " bytes";
}

void client_call::Finish(result<http_response> response) {
  if (!done_) return;
  const auto done = std::exchange(done_, nullptr);
  const auto self = shared_from_this();
  if (connection_) connection_->stream.close();
  core_->Remove(self);
  done(std::move(response));
}

}  // namespace pomelohall
