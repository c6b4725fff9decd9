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

#include "base/http_limits.h"
#include "server_core.h"
#include "session_responder.h"

namespace pomelohall {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr unsigned kHttp11 = 11;
constexpr std::size_t kMaxPendingStreamBytes = 8'388'608;
constexpr std::size_t kDiscardBufferBytes = 16'384;
// Closing a socket with unread input resets the connection, and the peer may
// lose the last response. Input is therefore read and discarded for this long
// before the connection is closed.
constexpr std::chrono::seconds kLingerTimeout{1};

error_kind ToErrorKind(const boost::system::error_code& code) {
  if (code == http::error::header_limit ||
      code == http::error::buffer_overflow) {
    return error_kind::kHeadersTooLarge;
  }
  if (code == http::error::body_limit) return error_kind::kBodyTooLarge;
  return error_kind::kInvalidRequest;
}

}  // namespace

server_session::server_session(tcp::socket socket,
                               std::shared_ptr<server_core> core)
    : tcp_stream_(std::move(socket)),
      linger_timer_(tcp_stream_.get_executor()),
      core_(std::move(core)) {
  buffer_.max_size(core_->Options().max_header_bytes + kMaxUnparsedBytes);
  boost::system::error_code ignored;
  tcp_stream_.socket().set_option(tcp::no_delay(true), ignored);
}

void server_session::ReadRequest() {
  state_ = session_state::kReadingRequest;
  parser_.emplace();
  parser_->header_limit(
      static_cast<std::uint32_t>(core_->Options().max_header_bytes));
  parser_->body_limit(core_->Options().max_body_bytes);
  tcp_stream_.expires_after(core_->Options().idle_timeout);
  http::async_read(
      tcp_stream_, buffer_, *parser_,
      [self = shared_from_this()](const boost::system::error_code& code,
                                  std::size_t) { self->OnRead(code); });
}

void server_session::OnRead(const boost::system::error_code& code) {
  if (state_ == session_state::kClosed) return;
  if (!code) return HandleRequest();
  if (code == http::error::end_of_stream || !IsHttpError(code)) return Close();
  RejectRequest(code);
}

void server_session::HandleRequest() {
  state_ = session_state::kHandlingRequest;
  tcp_stream_.expires_never();
  beast_request message = parser_->release();
  keep_alive_ = message.keep_alive();
  is_head_request_ = message.method() == http::verb::head;
  core_->Handler()(FromBeast(std::move(message)),
                   std::make_shared<session_responder>(shared_from_this()));
}

void server_session::RejectRequest(const boost::system::error_code& code) {
  keep_alive_ = false;
  is_head_request_ = false;
  WriteResponse(ErrorResponse(
      {ToErrorKind(code), "the request was rejected: " + code.message()}));
}

// A connection with received but unparsed bytes has a request in flight.
bool server_session::IsIdle() const {
  boost::system::error_code code;
  return state_ == session_state::kReadingRequest && !parser_->got_some() &&
         buffer_.size() == 0 && tcp_stream_.socket().available(code) == 0;
}

void server_session::Stop() {
  if (state_ == session_state::kStreamingResponse) return FinishStream();
  if (IsIdle()) Close();
}

void server_session::SendResponse(http_response response) {
  if (state_ != session_state::kHandlingRequest) return;
  WriteResponse(std::move(response));
}

void server_session::WriteResponse(http_response response) {
  state_ = session_state::kWritingResponse;
  keep_alive_ = keep_alive_ && !core_->IsStopping();
  response_ = beast_response();
  response_.version(kHttp11);
  response_.result(static_cast<unsigned>(response.status));
  CopyHeaders(response.headers, response_);
  response_.keep_alive(keep_alive_);
  response_.content_length(response.body.size());
  if (!is_head_request_) response_.body() = std::move(response.body);
  tcp_stream_.expires_after(core_->Options().idle_timeout);
  http::async_write(tcp_stream_, response_,
                    [self = shared_from_this()](
                        const boost::system::error_code& code, std::size_t) {
                      self->OnResponseWritten(code);
                    });
}

void server_session::OnResponseWritten(const boost::system::error_code& code) {
  if (state_ == session_state::kClosed) return;
  if (code) return Close();
  if (keep_alive_ && !core_->IsStopping()) return ReadRequest();
  CloseGracefully();
  DiscardInput();
}

void server_session::BeginStream(const http_response& head) {
  if (state_ != session_state::kHandlingRequest) return;
  state_ = session_state::kStreamingResponse;
  keep_alive_ = false;
  stream_head_.emplace();
  stream_head_->version(kHttp11);
  stream_head_->result(static_cast<unsigned>(head.status));
  CopyHeaders(head.headers, *stream_head_);
  stream_head_->keep_alive(false);
  stream_head_->chunked(true);
  stream_serializer_.emplace(*stream_head_);
  stream_write_pending_ = true;
  tcp_stream_.expires_never();
  http::async_write_header(tcp_stream_, *stream_serializer_,
                           [self = shared_from_this()](
                               const boost::system::error_code& code,
                               std::size_t) { self->OnStreamWritten(code); });
  DiscardInput();
  if (core_->IsStopping()) FinishStream();
}

void server_session::WriteStream(const std::string& chunk) {
  if (state_ != session_state::kStreamingResponse || stream_finished_ ||
      chunk.empty())
    return;
  pending_chunks_ += chunk;
  if (pending_chunks_.size() > kMaxPendingStreamBytes) return Close();
  FlushStream();
}

void server_session::FinishStream() {
  if (state_ != session_state::kStreamingResponse || stream_finished_) return;
  stream_finished_ = true;
  FlushStream();
}

void server_session::FlushStream() {
  if (stream_write_pending_) return;
  const auto written = [self = shared_from_this()](
                           const boost::system::error_code& code, std::size_t) {
    self->OnStreamWritten(code);
  };
  if (!pending_chunks_.empty()) {
    stream_write_pending_ = true;
    chunks_in_flight_ = std::exchange(pending_chunks_, {});
    boost::asio::async_write(
        tcp_stream_, http::make_chunk(boost::asio::buffer(chunks_in_flight_)),
        written);
  } else if (stream_finished_) {
    stream_write_pending_ = true;
    state_ = session_state::kWritingResponse;
    boost::asio::async_write(tcp_stream_, http::make_chunk_last(), written);
  }
}

void server_session::OnStreamWritten(const boost::system::error_code& code) {
  if (state_ == session_state::kClosed) return;
  if (code) return Close();
  stream_write_pending_ = false;
  if (state_ == session_state::kWritingResponse) return CloseGracefully();
  FlushStream();
}

void server_session::OnStreamClosed(std::function<void()> closed) {
  if (state_ == session_state::kStreamingResponse) {
    on_stream_closed_ = std::move(closed);
  } else {
    closed();
  }
}

// Shuts down the sending side and closes the session after kLingerTimeout.
// DiscardInput() must run at the same time: it closes the session earlier, as
// soon as the peer has closed its side.
void server_session::CloseGracefully() {
  boost::system::error_code ignored;
  tcp_stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  linger_timer_.expires_after(kLingerTimeout);
  linger_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& code) {
        if (!code) self->Close();
      });
}

void server_session::DiscardInput() {
  buffer_.clear();
  tcp_stream_.async_read_some(
      buffer_.prepare(kDiscardBufferBytes),
      [self = shared_from_this()](const boost::system::error_code& code,
                                  std::size_t) {
        if (self->state_ == session_state::kClosed) return;
        if (code) return self->Close();
        self->DiscardInput();
      });
}

void server_session::Close() {
  if (state_ == session_state::kClosed) return;
  state_ = session_state::kClosed;
  const auto self = shared_from_this();
  tcp_stream_.close();
  linger_timer_.cancel();
  core_->Remove(self);
  if (on_stream_closed_) std::exchange(on_stream_closed_, nullptr)();
}

}  // namespace pomelohall
