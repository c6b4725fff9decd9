#include "call_session.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cassert>
#include <string_view>
#include <utility>
#include <vector>

#include "backend/tcp_socket.h"
#include "base/ascii_text.h"
#include "caller/error_response.h"
#include "http1/head_writer.h"
#include "server_request.h"

namespace pomelohall {

namespace asio = boost::asio;

namespace {

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
// Maximum size of a single read.
constexpr std::size_t kReadBytes = 16UL * 1024;
// Input behind the requests in progress is left in the socket beyond this size.
constexpr std::size_t kMaxReadAheadBytes = 16UL * 1024;
// Memory for the heads of a connection's requests that is not taken from the
// budget of the server. Heads are rarely larger than a few kilobytes.
constexpr std::size_t kUncountedHeadBytes = 16UL * 1024;
// Requests behind others wait while the heads of those take more memory, so
// that one caller cannot use up the budget.
constexpr std::size_t kMaxPipelinedHeadBytes = 64UL * 1024;
// Time after which a caller may retry a request that exceeds that budget, in
// seconds: about as long as the requests that use it take.
constexpr const char* kHeadMemoryRetryAfter = "1";
// Maximum number of concurrent requests per connection. Limits the memory and
// backend server capacity that one caller can use.
constexpr std::size_t kMaxPipelined = 16;
// Time for which input is read and discarded after the last response. Closing a
// socket with unread input resets the connection, and the caller may lose the
// response.
constexpr auto kLingerTime = std::chrono::seconds(2);
// Smaller responses are written at once even while the server stops: they take
// little of a link.
constexpr std::uint64_t kMinTurnBytes = 64UL * 1024;
// Larger responses are forwarded while they arrive, and others would wait for
// their sender.
constexpr std::uint64_t kMaxTurnBytes = 4UL * 1024 * 1024;

}  // namespace

call_session::call_session(asio::ip::tcp::socket socket,
                           const call_server_options& options,
                           std::shared_ptr<memory_budget> head_memory,
                           call_handler& handler)
    : socket_(std::move(socket)),
      options_(options),
      handler_(handler),
      head_memory_(std::move(head_memory)),
      last_progress_(MonotonicNow()) {}

void call_session::Start() {
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  NextRequest();
}

void call_session::NextRequest() {
  last_progress_ = MonotonicNow();
  if (deferred_) AcceptRequest();
  ParseRequests();
}

// Returns whether input can be read now: not beyond what a handler takes of a
// body, nor far ahead of the requests in progress.
bool call_session::WantsInput() const {
  if (linger_until_) return true;
  if (IsReadingBody()) return pending_read_ != nullptr;
  return input_.size() < kMaxReadAheadBytes;
}

void call_session::WaitReadable() {
  if (waiting_readable_ || closed_ || !WantsInput()) return;
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
  } else if (WantsInput()) {
    ReadInput();
  }
}

// Also detects that the caller disconnected while its requests are in progress.
void call_session::ReadInput() {
  std::array<char, kReadBytes> bytes;
  error_code failure;
  const auto count = socket_.read_some(asio::buffer(bytes), failure);
  if (failure == asio::error::would_block) {
    WaitReadable();
  } else if (failure) {
    OnInputEnd(failure);
  } else {
    input_.append(bytes.data(), count);
    if (IsReadingBody()) {
      ParseBodyPart();
    } else {
      ParseRequests();
    }
  }
}

void call_session::OnInputEnd(error_code failure) {
  if (pending_.empty() && IsReadingHead() && failure == asio::error::eof) {
    RejectRequest({error_kind::kInvalidRequest,
                   "the connection ended within the request header"});
    return;
  }
  if (pending_read_) {
    pending_.back().keep_alive = false;
    DeliverPart(Fail(error_kind::kCancelled,
                     "the request body ended early: " + failure.message()));
  }
  Disconnected();
}

// Returns whether the head of a further request can be parsed. One behind other
// requests waits until it can be handled along with them.
bool call_session::MayParseHead() const {
  if (closed_ || deferred_ || linger_until_ || IsReadingBody()) return false;
  if (pending_.empty()) return true;
  const bool held = std::any_of(
      pending_.begin(), pending_.end(),
      [](const pending_response& entry) { return entry.holds_following; });
  return !held && pending_.size() < kMaxPipelined &&
         pending_head_bytes_ < kMaxPipelinedHeadBytes &&
         pending_.back().keep_alive && !draining_ &&
         !(writing_response_ && close_after_write_);
}

void call_session::ParseRequests() {
  const auto keep_alive = shared_from_this();
  while (!input_.empty() && MayParseHead()) {
    ParseHead();
    if (const auto fault = HeadFault()) {
      RejectRequest(*fault);
    } else if (!parser_->IsHeadDone()) {
      break;
    } else if (pending_.empty() || MayPipeline()) {
      AcceptRequest();
    } else {
      deferred_ = true;
    }
  }
  WaitReadable();
}

void call_session::ParseHead() {
  if (!parser_ || parser_->IsHeadDone()) {
    parser_.emplace(
        request_parser_options::ForHeadLimit(options_.max_header_bytes));
    if (pending_.empty()) last_progress_ = MonotonicNow();
  }
  RaiseLimits();
  input_.erase(0, parser_->ParseHead(input_));
  if (input_.empty()) input_ = {};
}

// The limits may have changed since the first bytes of the request arrived.
void call_session::RaiseLimits() {
  parser_->RaiseLimits(
      request_parser_options::ForHeadLimit(options_.max_header_bytes));
}

std::optional<error> call_session::HeadFault() {
  if (const auto fault = parser_->Fault()) {
    return RequestFaultError(*fault, "invalid request header");
  }
  if (HoldHeadMemory()) return std::nullopt;
  if (!head_memory_.CanHold(parser_->StoredBytes())) {
    return error(error_kind::kHeadersTooLarge,
                 "the request header takes more memory than the daemon has "
                 "for headers");
  }
  return error(error_kind::kOverloaded,
               "the headers of other requests take the memory for headers",
               run_state::kNotRun);
}

bool call_session::HoldHeadMemory() {
  auto held = pending_head_bytes_;
  if (parser_) held += parser_->StoredBytes();
  // While a body is being read, the head of its request is pending, and the
  // parser has lines of chunk sizes or of the trailer.
  if (IsReadingBody() && !pending_.empty()) held -= pending_.back().head_bytes;
  return head_memory_.Resize(
      held > kUncountedHeadBytes ? held - kUncountedHeadBytes : 0);
}

bool call_session::MayPipeline() const {
  const auto& method = parser_->Method();
  return (method == "GET" || method == "HEAD") && parser_->IsDone() &&
         !CheckHead();
}

bool call_session::IsReadingHead() const {
  return parser_ && parser_->HasStarted() && !parser_->IsHeadDone() &&
         !parser_->Fault();
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

void call_session::AcceptRequest() {
  deferred_ = false;
  if (const auto fault = CheckHead()) {
    RejectRequest(*fault);
  } else {
    StartRequest();
  }
}

// Responds to a request that cannot be handled, then closes the connection.
void call_session::RejectRequest(const error& failure) {
  pending_.push_back({});
  auto& entry = pending_.back();
  entry.responded = true;
  entry.response = MakeErrorResponse(failure);
  if (failure.kind == error_kind::kOverloaded) {
    SetField(entry.response.head.fields, "Retry-After", kHeadMemoryRetryAfter);
  }
  parser_.reset();
  HoldHeadMemory();
  WriteNextResponse();
}

std::optional<error> call_session::CheckHead() const {
  const auto fault = [](std::string text) {
    return error(error_kind::kInvalidRequest, std::move(text));
  };
  if (!parser_->Target().starts_with('/')) {
    return fault("the request target must start with '/'");
  }
  const auto& fields = parser_->Fields();
  const auto hosts =
      std::count_if(fields.begin(), fields.end(), [](const http_field& field) {
        return EqualsIgnoringCase(field.name, "Host");
      });
  if (parser_->MinorVersion() == 1 && hosts != 1) {
    return fault("the request must have exactly one Host field");
  }
  return std::nullopt;
}

request_head call_session::TakeHead() {
  request_head head;
  head.method = parser_->Method();
  head.target = parser_->Target();
  if (parser_->IsChunked()) {
    head.framing = body_framing::kChunked;
  } else if (parser_->ContentLength().value_or(0) > 0) {
    head.framing = body_framing::kLength;
    head.length = *parser_->ContentLength();
  }
  head.fields = parser_->TakeFields();
  return head;
}

void call_session::StartRequest() {
  pending_response entry;
  entry.minor_version = parser_->MinorVersion();
  entry.head_bytes = parser_->StoredBytes();
  entry.keep_alive = parser_->KeepsConnection();
  auto head = TakeHead();
  const auto* expected = FindField(head.fields, "Expect");
  continue_expected_ = entry.minor_version == 1 && expected != nullptr &&
                       EqualsIgnoringCase(*expected, "100-continue");
  entry.head_only = head.method == "HEAD";
  entry.request =
      std::make_shared<server_request>(std::move(head), weak_from_this());
  const auto request = entry.request;
  pending_head_bytes_ += entry.head_bytes;
  pending_.push_back(std::move(entry));
  if (parser_->IsDone()) parser_.reset();
  handler_.OnRequest(request);
}

bool call_session::IsReadingBody() const {
  return parser_ && parser_->IsHeadDone() && !parser_->IsDone() && !deferred_;
}

void call_session::ReadBody(body_source::callback done) {
  assert(!pending_read_ && IsReadingBody());
  pending_read_ = std::move(done);
  last_progress_ = MonotonicNow();
  if (!part_) {
    part_capacity_ = static_cast<std::size_t>(std::min<std::uint64_t>(
        kBodyPartBytes, parser_->ContentLength().value_or(kBodyPartBytes)));
    part_.reset(new char[part_capacity_]);
  }
  if (continue_expected_ && input_.empty()) WriteContinue();
  ParseBodyPart();
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
}

// Parses received bytes of the body into the part until it is full.
void call_session::ParseBodyPart() {
  RaiseLimits();
  std::size_t size = 0;
  std::string_view bytes = input_;
  auto step = parser_->ParseBody(bytes, part_capacity_);
  while (step.consumed > 0) {
    std::copy(step.content.begin(), step.content.end(), part_.get() + size);
    size += step.content.size();
    bytes.remove_prefix(step.consumed);
    step = parser_->ParseBody(bytes, part_capacity_ - size);
  }
  input_.erase(0, input_.size() - bytes.size());
  if (input_.empty()) input_ = {};
  if (const auto fault = parser_->Fault()) {
    OnBodyFault(*fault);
    return;
  }
  if (!HoldHeadMemory()) {
    OnBodyFault(message_fault::kTooLarge);
    return;
  }
  const body_part part{{part_.get(), size}, parser_->IsDone()};
  if (size > 0) last_progress_ = MonotonicNow();
  if (part.last) parser_.reset();
  // With the last part, waits for further requests or a disconnect.
  if (size == 0 || part.last) WaitReadable();
  if (size > 0 || part.last) DeliverPart(part);
}

void call_session::OnBodyFault(message_fault fault) {
  pending_.back().keep_alive = false;
  DeliverPart(tl::unexpected(RequestFaultError(fault, "invalid request body")));
}

void call_session::DeliverPart(result<body_part> part) {
  if (!pending_read_) return;
  std::exchange(pending_read_, nullptr)(std::move(part));
}

std::optional<response_progress> call_session::Progress(
    const server_request* request) const {
  const auto entry = std::find_if(
      pending_.begin(), pending_.end(),
      [&](const auto& pending) { return pending.request.get() == request; });
  if (entry == pending_.end() || !entry->responded) return std::nullopt;
  if (entry != pending_.begin()) return response_progress{true};
  return response_progress{
      .body_bytes = response_bytes_,
      .unsent_bytes = static_cast<std::uint64_t>(UnsentBytes().value_or(0))};
}

void call_session::SetHoldsFollowing(const server_request* request,
                                     bool holds) {
  for (auto& entry : pending_) {
    if (entry.request.get() != request) continue;
    const bool held = std::exchange(entry.holds_following, holds);
    if (held && !holds) ParseRequests();
    return;
  }
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

bool call_session::TakeBackResponse(const server_request* request) {
  for (auto& entry : pending_) {
    if (entry.request.get() != request) continue;
    const bool started = &entry == &pending_.front() && writing_response_;
    if (!entry.responded || started) return false;
    entry.responded = false;
    entry.waits_for_turn = false;
    entry.on_written = nullptr;
    const auto response = std::exchange(entry.response, {});
    if (response.body) response.body->Cancel();
    return true;
  }
  return false;
}

bool call_session::DelaysLargeResponse(const server_request* request) const {
  const auto entry = std::find_if(
      pending_.begin(), pending_.end(),
      [&](const auto& pending) { return pending.request.get() == request; });
  return entry != pending_.end() && !entry->responded &&
         std::any_of(entry + 1, pending_.end(), [](const auto& later) {
           return later.responded && IsLarge(later);
         });
}

bool call_session::IsLarge(const pending_response& entry) {
  const auto length = entry.response.head.length.value_or(0);
  return entry.response.body && !entry.head_only && length > kMinTurnBytes &&
         length <= kMaxTurnBytes;
}

bool call_session::AcquireTurn(pending_response& entry) {
  if (!turns_ || entry.has_turn || !IsLarge(entry)) return true;
  if (entry.waits_for_turn) return false;
  entry.has_turn = turns_->Request(shared_from_this(),
                                   *entry.response.head.length, MonotonicNow());
  entry.waits_for_turn = !entry.has_turn;
  return entry.has_turn;
}

bool call_session::BeginTurn() {
  if (closed_ || pending_.empty() || !pending_.front().waits_for_turn)
    return false;
  pending_.front().waits_for_turn = false;
  pending_.front().has_turn = true;
  WriteNextResponse();
  return true;
}

std::optional<std::uint64_t> call_session::UnacknowledgedBytes() const {
  if (closed_)
    return linger_until_ ? std::optional<std::uint64_t>(0) : std::nullopt;
  auto bytes = static_cast<std::uint64_t>(UnsentBytes().value_or(0));
  if (!writing_response_) return bytes;
  const auto length = pending_.front().response.head.length.value_or(0);
  bytes += asio::buffer_size(unwritten_);
  // The part that is being written counts in `response_bytes_` already.
  if (length > response_bytes_) bytes += length - response_bytes_;
  // The response has not ended before FinishResponse().
  return std::max<std::uint64_t>(bytes, 1);
}

bool call_session::IsSending() const {
  if (closed_) return false;
  return writing_response_ ||
         (!pending_.empty() && pending_.front().responded) ||
         UnsentBytes().value_or(0) > 0;
}

// Writes the response to the oldest request, if it is available.
void call_session::WriteNextResponse() {
  if (closed_ || writing_response_ || pending_.empty() ||
      !pending_.front().responded || !AcquireTurn(pending_.front())) {
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
  close_after_write_ =
      !entry.keep_alive || (last && (draining_ || IsReadingBody()));
  BuildHead(entry.response.head);
  if (!writing_continue_) ReadResponsePart();
}

void call_session::BuildHead(const response_head& head) {
  const auto minor_version = pending_.front().minor_version;
  auto writer = head_writer::Response(minor_version, head.status, head.reason);
  for (const auto& field : head.fields) {
    if (!EqualsIgnoringCase(field.name, "Connection"))
      writer.Add(field.name, field.value);
  }
  ends_with_connection_ = false;
  chunked_ = head.framing == body_framing::kChunked && minor_version == 1;
  if (chunked_) {
    writer.AddChunked();
  } else if (head.framing == body_framing::kChunked) {
    // HTTP/1.0 has no chunked encoding: closing the connection ends the body.
    close_after_write_ = true;
    ends_with_connection_ = true;
  } else if (head.length) {
    writer.AddLength(*head.length);
  }
  if (close_after_write_) {
    writer.Add("Connection", "close");
  } else if (minor_version == 0) {
    writer.Add("Connection", "keep-alive");
  }
  head_text_ = writer.Finish();
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
  // The head is written with the first part: if that breaks, the caller gets an
  // error response instead of a truncated one.
  body->Read([self = shared_from_this()](result<body_part> part) {
    self->reading_part_ = false;
    if (self->closed_ || !self->writing_response_) return;
    if (self->writing_) {
      self->next_part_ = std::move(part);
    } else {
      self->OnResponsePart(std::move(part));
    }
  });
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
    BuildHead(response.head);
    ReadResponsePart();
    return;
  }
  Close();
}

void call_session::Write(body_part part, bool more) {
  write_prefix_ = std::exchange(head_text_, {});
  std::string_view suffix;
  if (chunked_) {
    suffix = AppendChunkStart(write_prefix_, part.bytes.size(), !more);
  }
  more_parts_ = more;
  response_bytes_ += part.bytes.size();
  unwritten_ = {
      asio::buffer(write_prefix_),
      asio::const_buffer(part.bytes.data(), part.bytes.size()),
      asio::const_buffer(suffix.data(), suffix.size()),
  };
  WriteSome();
}

void call_session::WriteSome() {
  writing_ = true;
  socket_.async_write_some(
      unwritten_,
      [self = shared_from_this()](error_code failure, std::size_t bytes) {
        self->writing_ = false;
        if (bytes > 0) self->response_started_ = true;
        if (!self->closed_) self->OnWritten(failure, bytes);
      });
}

void call_session::OnWritten(error_code failure, std::size_t bytes) {
  last_progress_ = MonotonicNow();
  if (failure) {
    Disconnected();
    return;
  }
  for (auto& buffer : unwritten_) {
    const auto written = std::min(bytes, buffer.size());
    buffer += written;
    bytes -= written;
  }
  if (asio::buffer_size(unwritten_) > 0) {
    WriteSome();
  } else if (more_parts_) {
    ReadResponsePart();
  } else {
    FinishResponse();
  }
}

void call_session::FinishResponse() {
  const auto keep_alive = shared_from_this();
  auto entry = std::move(pending_.front());
  pending_.pop_front();
  writing_response_ = false;
  pending_head_bytes_ -= entry.head_bytes;
  HoldHeadMemory();
  if (entry.request) entry.request->Detach();
  // Sized for one request.
  if (pending_.empty()) part_.reset();
  if (close_after_write_) Linger();
  if (turns_) turns_->Poll(MonotonicNow());
  if (entry.on_written)
    entry.on_written({!response_replaced_, response_bytes_});
  if (linger_until_ || closed_) return;
  if (pending_.empty()) {
    NextRequest();
    return;
  }
  WriteNextResponse();
  ParseRequests();
}

void call_session::Linger() {
  error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  linger_until_ = MonotonicNow() + kLingerTime;
  input_ = {};
  WaitReadable();
}

void call_session::ReadLinger() {
  std::array<char, kReadBytes> bytes;
  error_code failure;
  socket_.read_some(asio::buffer(bytes), failure);
  if (failure && failure != asio::error::would_block) {
    Close();
  } else {
    WaitReadable();
  }
}

void call_session::Drain() {
  draining_ = true;
  const bool idle = pending_.empty() && !deferred_ && !IsReadingHead() &&
                    !linger_until_ && input_.empty();
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
  pending_head_bytes_ = 0;
  parser_.reset();
  HoldHeadMemory();
  for (auto& entry : pending) {
    if (entry.response.body) entry.response.body->Cancel();
    if (entry.request) entry.request->Detach();
  }
  DeliverPart(Fail(error_kind::kCancelled, "the caller disconnected"));
  for (auto& entry : pending) {
    if (entry.on_written) entry.on_written({false, response_bytes_});
  }
}

std::optional<int> call_session::UnsentBytes() const {
  // Asio offers the descriptor of sockets that are not const only.
  auto& socket = const_cast<asio::ip::tcp::socket&>(socket_);
  int unsent = 0;
  if (::ioctl(socket.native_handle(), SIOCOUTQ, &unsent) != 0) {
    return std::nullopt;
  }
  return unsent;
}

// Returns whether the fill level of the socket's send buffer has changed. A
// slow reader drains that buffer long before the pending write completes, so
// write completions alone do not show the progress.
bool call_session::HasWriteProgress() {
  const auto unsent = UnsentBytes();
  return unsent && std::exchange(unsent_bytes_, *unsent) != *unsent;
}

void call_session::Sweep(instant now) {
  if (closed_) return;
  if (linger_until_) {
    // Bytes that the kernel holds may be lost when the process ends.
    if (HasWriteProgress() && unsent_bytes_ > 0)
      linger_until_ = now + kLingerTime;
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
  } else if (pending_.empty() && IsReadingHead()) {
    if (waited >= options_.header_timeout) Close();
  } else if (pending_.empty() && waited >= options_.idle_timeout) {
    Close();
  }
}

}  // namespace pomelohall
