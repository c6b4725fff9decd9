#include "call_session.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>
#include <cassert>
#include <limits>
#include <string_view>
#include <utility>
#include <vector>

#include "backend/beast_fields.h"
#include "base/http_limits.h"
#include "caller/error_response.h"
#include "server_request.h"

namespace pomelohall {

namespace http = boost::beast::http;
namespace asio = boost::asio;

namespace {

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::size_t kReadAheadBytes = 4096;
// Largest header limit of the parser.
constexpr std::size_t kMaxLimit = std::numeric_limits<std::uint32_t>::max();
// Maximum number of concurrent requests per connection. Limits the memory and
// backend server capacity that one caller can use.
constexpr std::size_t kMaxPipelined = 16;
// Reserved buffer space per read: Beast reads no more than the spare capacity,
// or 512 bytes if there is none.
constexpr std::size_t kReadBytes = 4096;
// Time for which input is read and discarded after the last response. Closing a
// socket with unread input resets the connection, and the caller may lose the
// response.
constexpr auto kLingerTime = std::chrono::seconds(2);

}  // namespace

call_session::call_session(asio::ip::tcp::socket socket,
                           const call_server_options& options,
                           call_handler& handler)
    : socket_(std::move(socket)),
      options_(options),
      handler_(handler),
      last_progress_(MonotonicNow()) {}

void call_session::Start() {
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  NextRequest();
}

void call_session::NextRequest() {
  last_progress_ = MonotonicNow();
  if (deferred_) {
    AcceptRequest();
  } else if (buffer_.size() > 0) {
    ReadHeader();
  } else {
    WaitReadable();
  }
}

// Waits for input without reading it: a pending read would have to complete
// before the next buffered request can be parsed.
void call_session::WaitReadable() {
  if (waiting_readable_ || closed_ ||
      buffer_.size() >= options_.max_header_bytes) {
    return;
  }
  waiting_readable_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](error_code failure) {
                       self->waiting_readable_ = false;
                       if (!self->closed_) self->OnReadable(failure);
                     });
}

void call_session::OnReadable(error_code failure) {
  if (failure) {
    Disconnected();
  } else if (linger_until_) {
    ReadLinger();
  } else if (reading_header_) {
    return;  // The pending read consumes the input.
  } else if (pending_.empty()) {
    ReadHeader();
  } else if (deferred_ || IsBodyRead()) {
    ReadAhead();
  }
}

// Reads pipelined requests, which also detects that the caller disconnected.
void call_session::ReadAhead() {
  BoundBuffer();
  error_code failure;
  socket_.non_blocking(true, failure);
  const auto bytes =
      socket_.read_some(buffer_.prepare(kReadAheadBytes), failure);
  if (failure && failure != asio::error::would_block) {
    Disconnected();
    return;
  }
  buffer_.commit(bytes);
  WaitReadable();
  ParsePipelined();
}

// Starts pipelined requests that are already in the buffer.
void call_session::ParsePipelined() {
  const auto keep_alive = shared_from_this();
  while (!closed_ && !deferred_ && !reading_header_ && !linger_until_ &&
         !(writing_response_ && close_after_write_) && buffer_.size() > 0 &&
         !pending_.empty() && pending_.size() < kMaxPipelined && IsBodyRead() &&
         pending_.back().keep_alive && !draining_) {
    ResetParser();
    error_code failure;
    const auto used = parser_->put(buffer_.data(), failure);
    if (failure == http::error::need_more) {
      // The header is parsed again when more bytes have arrived.
      parser_.reset();
      return;
    }
    buffer_.consume(used);
    if (failure) {
      RejectHeader(failure);
      return;
    }
    if (MayPipeline()) {
      AcceptRequest();
    } else {
      deferred_ = true;
    }
  }
}

bool call_session::MayPipeline() const {
  const auto method = parser_->get().method();
  return (method == http::verb::get || method == http::verb::head) &&
         parser_->is_done() && !CheckHeader();
}

void call_session::Disconnected() {
  const auto keep_alive = shared_from_this();
  std::vector<std::function<void()>> handlers;
  for (auto& entry : pending_) {
    if (entry.on_disconnect) {
      handlers.push_back(std::exchange(entry.on_disconnect, nullptr));
    }
  }
  Close();
  for (const auto& handler : handlers) handler();
}

void call_session::ResetParser() {
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(
      std::min(options_.max_header_bytes, kMaxLimit)));
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  BoundBuffer();
}

// Applies the limit in force to the buffer, which throws if a read exceeds its
// bound. What an earlier limit let in stays, whatever the limit is now.
void call_session::BoundBuffer() {
  const auto bound =
      std::min(options_.max_header_bytes, kMaxLimit) + kMaxUnparsedBytes;
  buffer_.max_size(std::max(bound, buffer_.size() + kReadAheadBytes));
}

void call_session::ReadHeader() {
  last_progress_ = MonotonicNow();
  reading_header_ = true;
  ResetParser();
  buffer_.reserve(kReadBytes);
  http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code failure, std::size_t) {
        self->reading_header_ = false;
        if (!self->closed_) self->OnHeader(failure);
      });
}

void call_session::OnHeader(error_code failure) {
  if (failure) {
    RejectHeader(failure);
  } else {
    AcceptRequest();
  }
}

void call_session::AcceptRequest() {
  deferred_ = false;
  if (auto fault = CheckHeader()) {
    RejectRequest(MakeErrorResponse(*fault));
  } else {
    StartRequest(CopyHead());
  }
}

// Responds to a request that cannot be handled, then closes the connection.
void call_session::RejectRequest(incoming_response response) {
  pending_.push_back({});
  pending_.back().responded = true;
  pending_.back().response = std::move(response);
  WriteNextResponse();
}

void call_session::RejectHeader(const error_code& failure) {
  if (failure == http::error::end_of_stream ||
      failure.category() !=
          make_error_code(http::error::bad_method).category()) {
    Close();
    return;
  }
  const bool too_large = failure == http::error::header_limit ||
                         failure == http::error::buffer_overflow;
  RejectRequest(MakeErrorResponse(
      {too_large ? error_kind::kHeadersTooLarge : error_kind::kInvalidRequest,
       "invalid request header: " + failure.message()}));
}

std::optional<error> call_session::CheckHeader() const {
  const auto& message = parser_->get();
  const auto fault = [](std::string text) {
    return error(error_kind::kInvalidRequest, std::move(text));
  };
  if (message.version() != 10 && message.version() != 11) {
    return fault("the HTTP version must be 1.0 or 1.1");
  }
  if (!message.target().starts_with('/')) {
    return fault("the request target must start with '/'");
  }
  if (message.version() == 11 && message.count(http::field::host) != 1) {
    return fault("the request must have exactly one Host field");
  }
  // With any other transfer coding the end of the body is ambiguous.
  if (message.count(http::field::transfer_encoding) > 0 &&
      !parser_->chunked()) {
    return fault("the transfer encoding must be chunked");
  }
  return std::nullopt;
}

request_head call_session::CopyHead() const {
  const auto& message = parser_->get();
  request_head head;
  head.method = std::string(ToView(message.method_string()));
  head.target = std::string(ToView(message.target()));
  head.fields = CopyFields(message);
  if (parser_->chunked()) {
    head.framing = body_framing::kChunked;
  } else if (parser_->content_length().value_or(0) > 0) {
    head.framing = body_framing::kLength;
    head.length = *parser_->content_length();
  }
  return head;
}

void call_session::StartRequest(request_head head) {
  const auto& message = parser_->get();
  continue_expected_ =
      message.version() == 11 &&
      boost::beast::iequals(message[http::field::expect], "100-continue");
  parser_->eager(true);
  pending_response entry;
  entry.version = message.version() == 10 ? 10U : 11U;
  entry.keep_alive = message.keep_alive();
  entry.head_only = head.method == "HEAD";
  entry.request =
      std::make_shared<server_request>(std::move(head), weak_from_this());
  const auto request = entry.request;
  pending_.push_back(std::move(entry));
  if (IsBodyRead()) WaitReadable();
  handler_.OnRequest(request);
  ParsePipelined();
}

bool call_session::IsBodyRead() const { return !parser_ || parser_->is_done(); }

void call_session::ReadBody(body_source::callback done) {
  assert(!pending_read_ && parser_ && !parser_->is_done());
  pending_read_ = std::move(done);
  last_progress_ = MonotonicNow();
  if (!part_) {
    part_capacity_ = static_cast<std::size_t>(std::min<std::uint64_t>(
        kBodyPartBytes, parser_->content_length().value_or(kBodyPartBytes)));
    part_.reset(new char[part_capacity_]);
  }
  parser_->get().body().data = part_.get();
  parser_->get().body().size = part_capacity_;
  if (continue_expected_ && buffer_.size() == 0) {
    WriteContinue();
  } else {
    OnPart(ParseBuffered());
  }
}

void call_session::WriteContinue() {
  continue_expected_ = false;
  writing_continue_ = true;
  asio::async_write(socket_, asio::buffer(kContinue),
                    [self = shared_from_this()](error_code, std::size_t) {
                      self->writing_continue_ = false;
                      if (self->closed_) return;
                      // Resumes a response that waited for this write.
                      if (self->writing_response_) self->ReadResponsePart();
                    });
  ReadPart();
}

// Parses body bytes that were read along with the header.
boost::system::error_code call_session::ParseBuffered() {
  error_code failure;
  while (buffer_.size() > 0 && !parser_->is_done() && !failure) {
    buffer_.consume(parser_->put(buffer_.data(), failure));
  }
  if (failure == http::error::need_more) failure = {};
  return failure;
}

void call_session::ReadPart() {
  buffer_.reserve(kReadBytes);
  reading_body_ = true;
  http::async_read_some(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code failure, std::size_t) {
        self->reading_body_ = false;
        if (!self->closed_) self->OnPart(failure);
      });
}

void call_session::OnPart(error_code failure) {
  if (linger_until_) {
    // The response was written before the body had arrived.
    if (failure && failure != http::error::need_buffer) {
      Close();
    } else {
      ReadLinger();
    }
    return;
  }
  last_progress_ = MonotonicNow();
  if (failure && failure != http::error::need_buffer) {
    pending_.back().keep_alive = false;
    const bool malformed =
        failure.category() ==
            make_error_code(http::error::bad_chunk).category() &&
        failure != http::error::partial_message;
    DeliverPart(
        Fail(malformed ? error_kind::kInvalidRequest : error_kind::kCancelled,
             "the request body ended early: " + failure.message()));
    if (!malformed) Disconnected();
    return;
  }
  const auto size = part_capacity_ - parser_->get().body().size;
  const body_part part{{part_.get(), size}, parser_->is_done()};
  if (part.bytes.empty() && !part.last) {
    ReadPart();
    return;
  }
  if (part.last) WaitReadable();
  DeliverPart(part);
}

void call_session::DeliverPart(result<body_part> part) {
  if (!pending_read_) return;
  std::exchange(pending_read_, nullptr)(std::move(part));
}

void call_session::SetDisconnectHandler(const server_request* request,
                                        std::function<void()> handler) {
  for (auto& entry : pending_) {
    if (entry.request.get() != request) continue;
    entry.on_disconnect = std::move(handler);
    return;
  }
}

void call_session::WriteResponse(
    const server_request* request, incoming_response response,
    std::function<void(response_write_result)> done) {
  for (auto& entry : pending_) {
    if (entry.request.get() != request) continue;
    assert(!entry.responded);
    entry.responded = true;
    entry.response = std::move(response);
    entry.on_written = std::move(done);
    WriteNextResponse();
    return;
  }
  if (response.body) response.body->Cancel();
  if (done) done({});
}

// Writes the response to the oldest request, if it is available.
void call_session::WriteNextResponse() {
  if (closed_ || writing_response_ || pending_.empty() ||
      !pending_.front().responded) {
    return;
  }
  writing_response_ = true;
  auto& entry = pending_.front();
  if (entry.head_only) {
    if (entry.response.body) entry.response.body->Cancel();
    entry.response.body = nullptr;
    entry.response.head.framing = body_framing::kNone;
  }
  response_bytes_ = 0;
  response_started_ = false;
  response_replaced_ = false;
  last_progress_ = MonotonicNow();
  const bool last = pending_.size() == 1;
  // Later requests in progress still get their responses.
  const bool unread = !deferred_ && !IsBodyRead();
  close_after_write_ = !entry.keep_alive || (last && (draining_ || unread));
  BuildMessage(entry.response.head);
  if (!writing_continue_) ReadResponsePart();
}

void call_session::BuildMessage(const response_head& head) {
  const auto version = pending_.front().version;
  message_ = {};
  ends_with_connection_ = false;
  message_.version(version);
  message_.result(static_cast<unsigned>(head.status));
  message_.reason(ToBeast(head.reason));
  AddFields(head.fields, message_);
  if (head.framing == body_framing::kChunked) {
    if (version == 11) {
      message_.chunked(true);
    } else {
      // HTTP/1.0 has no chunked encoding: closing the connection ends the body.
      close_after_write_ = true;
      ends_with_connection_ = true;
    }
  } else if (head.length) {
    message_.content_length(*head.length);
  }
  message_.keep_alive(!close_after_write_);
  serializer_.emplace(message_);
}

void call_session::ReadResponsePart() {
  const auto body = pending_.front().response.body;
  if (!body) {
    Write({}, false);
    return;
  }
  if (reading_part_) return;
  if (next_part_) {
    OnResponsePart(*std::exchange(next_part_, std::nullopt));
    return;
  }
  reading_part_ = true;
  body->Read([self = shared_from_this()](result<body_part> part) {
    self->reading_part_ = false;
    if (self->closed_ || !self->writing_response_) return;
    if (self->writing_) {
      self->next_part_ = std::move(part);
    } else {
      self->OnResponsePart(std::move(part));
    }
  });
  // Do not delay the header until the first part of a slow body arrives.
  if (reading_part_ && !closed_ && !serializer_->is_header_done() &&
      !writing_) {
    Write({}, true);
  }
}

void call_session::OnResponsePart(result<body_part> part) {
  if (!part) {
    OnResponseCutShort(part.error());
    return;
  }
  Write(*part, !part->last);
}

void call_session::OnResponseCutShort(const error& failure) {
  auto& response = pending_.front().response;
  response.body = nullptr;
  if (!response_started_) {
    response = MakeErrorResponse(
        {error_kind::kAnswerCutShort, failure.message, run_state::kUnknown});
    response_replaced_ = true;
    BuildMessage(response.head);
    ReadResponsePart();
    return;
  }
  Close();
}

void call_session::Write(body_part part, bool more) {
  auto& body = message_.body();
  // Beast's buffer_body takes a mutable pointer even for writing.
  body.data =
      part.bytes.empty() ? nullptr : const_cast<char*>(part.bytes.data());
  body.size = part.bytes.size();
  body.more = more;
  response_bytes_ += part.bytes.size();
  WriteSome();
}

void call_session::WriteSome() {
  writing_ = true;
  http::async_write_some(
      socket_, *serializer_,
      [self = shared_from_this()](error_code failure, std::size_t bytes) {
        self->writing_ = false;
        if (bytes > 0) self->response_started_ = true;
        if (!self->closed_) self->OnWritten(failure);
      });
}

void call_session::OnWritten(error_code failure) {
  last_progress_ = MonotonicNow();
  if (failure == http::error::need_buffer) {
    ReadResponsePart();
  } else if (failure) {
    Disconnected();
  } else if (!serializer_->is_done()) {
    WriteSome();
  } else {
    FinishResponse();
  }
}

void call_session::FinishResponse() {
  const auto keep_alive = shared_from_this();
  auto entry = std::move(pending_.front());
  pending_.pop_front();
  writing_response_ = false;
  if (entry.request) entry.request->Detach();
  // Sized for one request.
  if (pending_.empty() && !reading_body_) part_.reset();
  if (close_after_write_) Linger();
  if (entry.on_written)
    entry.on_written({!response_replaced_, response_bytes_});
  if (linger_until_ || closed_) return;
  if (pending_.empty()) {
    NextRequest();
    return;
  }
  WriteNextResponse();
  ParsePipelined();
}

void call_session::Linger() {
  error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  linger_until_ = MonotonicNow() + kLingerTime;
  // A pending wait or read resumes in ReadLinger().
  if (!waiting_readable_ && !reading_body_) ReadLinger();
}

void call_session::ReadLinger() {
  buffer_.clear();
  socket_.async_read_some(
      buffer_.prepare(kReadAheadBytes),
      [self = shared_from_this()](error_code failure, std::size_t) {
        if (self->closed_) return;
        if (failure) {
          self->Close();
        } else {
          self->ReadLinger();
        }
      });
}

void call_session::Drain() {
  draining_ = true;
  const bool idle = pending_.empty() && !deferred_ && !reading_header_ &&
                    !linger_until_ && buffer_.size() == 0;
  // A request that has arrived but was not read yet still gets a response.
  if (idle && !IsStale(socket_)) Close();
}

void call_session::Close() {
  if (closed_) return;
  const auto keep_alive = shared_from_this();
  closed_ = true;
  error_code ignored;
  if (writing_response_ && ends_with_connection_) {
    // Resets the connection: its end would mark the truncated body as complete.
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  socket_.close(ignored);
  auto pending = std::exchange(pending_, {});
  for (auto& entry : pending) {
    if (entry.response.body) entry.response.body->Cancel();
    if (entry.request) entry.request->Detach();
  }
  DeliverPart(Fail(error_kind::kCancelled, "the caller disconnected"));
  for (auto& entry : pending) {
    if (entry.on_written) entry.on_written({false, response_bytes_});
  }
}

// Returns whether the fill level of the socket's send buffer has changed. A
// slow reader drains that buffer long before the pending write completes, so
// write completions alone do not show the progress.
bool call_session::HasWriteProgress() {
  int unsent = 0;
  if (::ioctl(socket_.native_handle(), SIOCOUTQ, &unsent) != 0) return false;
  return std::exchange(unsent_bytes_, unsent) != unsent;
}

void call_session::Sweep(instant now) {
  if (closed_) return;
  if (linger_until_) {
    if (now >= *linger_until_) Close();
    return;
  }
  const auto waited = now - last_progress_;
  if (writing_) {
    if (HasWriteProgress()) {
      last_progress_ = now;
    } else if (waited >= options_.progress_timeout) {
      Disconnected();
    }
  } else if (pending_read_) {
    if (waited >= options_.progress_timeout) Disconnected();
  } else if (reading_header_) {
    if (waited >= options_.header_timeout) Close();
  } else if (pending_.empty() && waited >= options_.idle_timeout) {
    Close();
  }
}

}  // namespace pomelohall
