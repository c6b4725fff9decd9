#include "server_session.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

#include "base/ascii_text.h"
#include "http1/buffered_bytes.h"
#include "http1/head_writer.h"
#include "server_core.h"
#include "session_responder.h"

namespace pomelohall {
namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;

constexpr std::size_t kReadBytes = 16UL * 1024;
constexpr std::string_view kRejected = "the request was rejected";
constexpr std::size_t kMaxPendingStreamBytes = 8'388'608;
constexpr std::size_t kDiscardBufferBytes = 16'384;
// Closing a socket with unread input resets the connection, and the peer may
// lose the last response. Input is therefore read and discarded for this long
// before the connection is closed.
constexpr std::chrono::seconds kLingerTimeout{1};

// Returns the head of a response, without the fields that frame its body.
head_writer StartHead(const http_response& response, bool keep_alive) {
  auto head = head_writer::Response(1, response.status, "");
  for (const auto& [name, value] : response.headers) {
    if (!EqualsIgnoringCase(name, "Connection")) head.Add(name, value);
  }
  if (!keep_alive) head.Add("Connection", "close");
  return head;
}

}  // namespace

server_session::server_session(tcp::socket socket,
                               std::shared_ptr<server_core> core)
    : tcp_stream_(std::move(socket)),
      linger_timer_(tcp_stream_.get_executor()),
      core_(std::move(core)) {
  boost::system::error_code ignored;
  tcp_stream_.socket().set_option(tcp::no_delay(true), ignored);
}

void server_session::ReadRequest() {
  const auto& options = core_->Options();
  state_ = session_state::kReadingRequest;
  parser_.emplace(
      request_parser_options::ForHeadLimit(options.max_header_bytes));
  request_body_ = {};
  tcp_stream_.expires_after(options.idle_timeout);
  // Pipelined requests may be in the buffer.
  ParseInput();
}

void server_session::ReadInput() {
  tcp_stream_.async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](const boost::system::error_code& code,
                                  std::size_t bytes) {
        self->OnRead(code, bytes);
      });
}

void server_session::OnRead(const boost::system::error_code& code,
                            std::size_t bytes) {
  if (state_ == session_state::kClosed) return;
  if (code == asio::error::eof && parser_->HasStarted()) {
    RejectRequest({error_kind::kInvalidRequest,
                   "the request was rejected: the connection ended within it"});
  } else if (code) {
    Close();
  } else {
    buffer_.commit(bytes);
    ParseInput();
  }
}

void server_session::ParseInput() {
  if (!parser_->IsHeadDone()) {
    buffer_.consume(parser_->ParseHead(BufferedBytes(buffer_)));
  }
  const auto failure = parser_->Fault()
                           ? RequestFaultError(*parser_->Fault(), kRejected)
                       : parser_->IsHeadDone() ? ParseBody()
                                               : std::optional<error>();
  if (failure) {
    RejectRequest(*failure);
  } else if (parser_->IsDone()) {
    HandleRequest();
  } else {
    ReadInput();
  }
}

std::optional<error> server_session::ParseBody() {
  const auto limit = core_->Options().max_body_bytes;
  const auto too_large = [limit] {
    return error(error_kind::kBodyTooLarge,
                 "the request was rejected: its body is above " +
                     std::to_string(limit) + " bytes");
  };
  if (parser_->ContentLength().value_or(0) > limit) return too_large();
  auto bytes = BufferedBytes(buffer_);
  while (!bytes.empty() && !parser_->IsDone() && !parser_->Fault()) {
    const auto step = parser_->ParseBody(bytes, bytes.size());
    bytes.remove_prefix(step.consumed);
    if (step.content.size() > limit - request_body_.size()) return too_large();
    request_body_.append(step.content);
  }
  buffer_.consume(buffer_.size() - bytes.size());
  if (const auto fault = parser_->Fault())
    return RequestFaultError(*fault, kRejected);
  return std::nullopt;
}

void server_session::HandleRequest() {
  state_ = session_state::kHandlingRequest;
  tcp_stream_.expires_never();
  keep_alive_ = parser_->KeepsConnection();
  is_head_request_ = parser_->Method() == "HEAD";
  http_request request{.method = parser_->Method(),
                       .target = parser_->Target(),
                       .body = std::exchange(request_body_, {})};
  for (auto& field : parser_->TakeFields()) {
    request.headers.emplace_back(std::move(field.name), std::move(field.value));
  }
  core_->Handler()(std::move(request),
                   std::make_shared<session_responder>(shared_from_this()));
}

void server_session::RejectRequest(const error& failure) {
  keep_alive_ = false;
  is_head_request_ = false;
  WriteResponse(ErrorResponse(failure));
}

// A connection with received but unparsed bytes has a request in flight.
bool server_session::IsIdle() const {
  boost::system::error_code code;
  return state_ == session_state::kReadingRequest && !parser_->HasStarted() &&
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
  auto head = StartHead(response, keep_alive_);
  head.AddLength(response.body.size());
  response_head_ = head.Finish();
  response_body_ = is_head_request_ ? std::string() : std::move(response.body);
  tcp_stream_.expires_after(core_->Options().idle_timeout);
  const std::array buffers{
      asio::const_buffer(response_head_.data(), response_head_.size()),
      asio::const_buffer(response_body_.data(), response_body_.size()),
  };
  asio::async_write(tcp_stream_, buffers,
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
  auto writer = StartHead(head, keep_alive_);
  writer.AddChunked();
  response_head_ = writer.Finish();
  stream_write_pending_ = true;
  tcp_stream_.expires_never();
  asio::async_write(tcp_stream_, asio::buffer(response_head_),
                    [self = shared_from_this()](
                        const boost::system::error_code& code, std::size_t) {
                      self->OnStreamWritten(code);
                    });
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
    chunk_size_line_.clear();
    const auto end =
        AppendChunkStart(chunk_size_line_, chunks_in_flight_.size(), false);
    const std::array buffers{
        asio::const_buffer(chunk_size_line_.data(), chunk_size_line_.size()),
        asio::const_buffer(chunks_in_flight_.data(), chunks_in_flight_.size()),
        asio::const_buffer(end.data(), end.size()),
    };
    asio::async_write(tcp_stream_, buffers, written);
  } else if (stream_finished_) {
    stream_write_pending_ = true;
    state_ = session_state::kWritingResponse;
    chunk_size_line_.clear();
    const auto end = AppendChunkStart(chunk_size_line_, 0, true);
    asio::async_write(tcp_stream_, asio::const_buffer(end.data(), end.size()),
                      written);
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
