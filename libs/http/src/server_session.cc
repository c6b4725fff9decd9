#include "server_session.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <utility>

#include "server_core.h"
#include "session_responder.h"

namespace pomelohall {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr unsigned kHttp11 = 11;
constexpr std::size_t kMaxUnreadStreamBytes = 8'388'608;
constexpr std::size_t kDiscardBytes = 16'384;
// Time for the peer to read the last answer. Closing with unread input resets
// the connection, and the peer would lose the answer.
constexpr std::chrono::seconds kCloseDelay{1};

error_kind RefusalOf(const boost::system::error_code& code) {
  if (code == http::error::header_limit) return error_kind::kHeadersTooLarge;
  if (code == http::error::body_limit) return error_kind::kBodyTooLarge;
  return error_kind::kInvalidRequest;
}

}  // namespace

server_session::server_session(tcp::socket socket,
                               std::shared_ptr<server_core> core)
    : stream_(std::move(socket)),
      close_timer_(stream_.get_executor()),
      core_(std::move(core)) {
  boost::system::error_code ignored;
  stream_.socket().set_option(tcp::no_delay(true), ignored);
}

void server_session::ReadRequest() {
  phase_ = phase::kReading;
  parser_.emplace();
  parser_->header_limit(
      static_cast<std::uint32_t>(core_->Options().max_header_bytes));
  parser_->body_limit(core_->Options().max_body_bytes);
  stream_.expires_after(core_->Options().idle_timeout);
  http::async_read(
      stream_, buffer_, *parser_,
      [self = shared_from_this()](const boost::system::error_code& code,
                                  std::size_t) { self->OnRead(code); });
}

void server_session::OnRead(const boost::system::error_code& code) {
  if (phase_ == phase::kClosed) return;
  if (!code) return Handle();
  if (code == http::error::end_of_stream || !IsHttpError(code)) return Close();
  Refuse(code);
}

void server_session::Handle() {
  phase_ = phase::kHandling;
  stream_.expires_never();
  beast_request message = parser_->release();
  keep_alive_ = message.keep_alive();
  head_request_ = message.method() == http::verb::head;
  core_->Handler()(FromBeast(std::move(message)),
                   std::make_shared<session_responder>(shared_from_this()));
}

void server_session::Refuse(const boost::system::error_code& code) {
  keep_alive_ = false;
  head_request_ = false;
  SendResponse(ErrorResponse(
      {RefusalOf(code), "the request was refused: " + code.message()}));
}

// Bytes that the socket has received count as a request in flight.
bool server_session::IsIdle() const {
  boost::system::error_code code;
  return phase_ == phase::kReading && !parser_->got_some() &&
         buffer_.size() == 0 && stream_.socket().available(code) == 0;
}

void server_session::Stop() {
  if (phase_ == phase::kStreaming) return FinishStream();
  if (IsIdle()) Close();
}

void server_session::Answer(http_response response) {
  if (phase_ != phase::kHandling) return;
  SendResponse(std::move(response));
}

void server_session::SendResponse(http_response response) {
  phase_ = phase::kAnswering;
  keep_alive_ = keep_alive_ && !core_->Stopping();
  response_ = beast_response();
  response_.version(kHttp11);
  response_.result(static_cast<unsigned>(response.status));
  CopyHeaders(response.headers, response_);
  response_.keep_alive(keep_alive_);
  response_.content_length(response.body.size());
  if (!head_request_) response_.body() = std::move(response.body);
  stream_.expires_after(core_->Options().idle_timeout);
  http::async_write(
      stream_, response_,
      [self = shared_from_this()](const boost::system::error_code& code,
                                  std::size_t) { self->OnAnswered(code); });
}

void server_session::OnAnswered(const boost::system::error_code& code) {
  if (phase_ == phase::kClosed) return;
  if (code) return Close();
  if (keep_alive_ && !core_->Stopping()) return ReadRequest();
  CloseAfterPeer();
  DiscardInput();
}

void server_session::BeginStream(const http_response& head) {
  if (phase_ != phase::kHandling) return;
  phase_ = phase::kStreaming;
  keep_alive_ = false;
  stream_head_.emplace();
  stream_head_->version(kHttp11);
  stream_head_->result(static_cast<unsigned>(head.status));
  CopyHeaders(head.headers, *stream_head_);
  stream_head_->keep_alive(false);
  stream_head_->chunked(true);
  stream_serializer_.emplace(*stream_head_);
  stream_busy_ = true;
  stream_.expires_never();
  http::async_write_header(stream_, *stream_serializer_,
                           [self = shared_from_this()](
                               const boost::system::error_code& code,
                               std::size_t) { self->OnStreamWritten(code); });
  DiscardInput();
  if (core_->Stopping()) FinishStream();
}

void server_session::WriteStream(const std::string& chunk) {
  if (phase_ != phase::kStreaming || stream_finished_ || chunk.empty()) return;
  stream_queue_ += chunk;
  if (stream_queue_.size() > kMaxUnreadStreamBytes) return Close();
  FlushStream();
}

void server_session::FinishStream() {
  if (phase_ != phase::kStreaming || stream_finished_) return;
  stream_finished_ = true;
  FlushStream();
}

void server_session::FlushStream() {
  if (stream_busy_) return;
  const auto written = [self = shared_from_this()](
                           const boost::system::error_code& code, std::size_t) {
    self->OnStreamWritten(code);
  };
  if (!stream_queue_.empty()) {
    stream_busy_ = true;
    stream_writing_ = std::exchange(stream_queue_, {});
    boost::asio::async_write(
        stream_, http::make_chunk(boost::asio::buffer(stream_writing_)),
        written);
  } else if (stream_finished_) {
    stream_busy_ = true;
    phase_ = phase::kAnswering;
    boost::asio::async_write(stream_, http::make_chunk_last(), written);
  }
}

void server_session::OnStreamWritten(const boost::system::error_code& code) {
  if (phase_ == phase::kClosed) return;
  if (code) return Close();
  stream_busy_ = false;
  if (phase_ == phase::kAnswering) return CloseAfterPeer();
  FlushStream();
}

void server_session::OnStreamClosed(std::function<void()> closed) {
  if (phase_ == phase::kStreaming) {
    stream_closed_ = std::move(closed);
  } else {
    closed();
  }
}

// DiscardInput() must be running: it closes when the peer has closed.
void server_session::CloseAfterPeer() {
  boost::system::error_code ignored;
  stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  close_timer_.expires_after(kCloseDelay);
  close_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& code) {
        if (!code) self->Close();
      });
}

void server_session::DiscardInput() {
  buffer_.clear();
  stream_.async_read_some(
      buffer_.prepare(kDiscardBytes),
      [self = shared_from_this()](const boost::system::error_code& code,
                                  std::size_t) {
        if (self->phase_ == phase::kClosed) return;
        if (code) return self->Close();
        self->DiscardInput();
      });
}

void server_session::Close() {
  if (phase_ == phase::kClosed) return;
  phase_ = phase::kClosed;
  const auto self = shared_from_this();
  stream_.close();
  close_timer_.cancel();
  core_->Remove(self);
  if (stream_closed_) std::exchange(stream_closed_, nullptr)();
}

}  // namespace pomelohall
