#include "client_exchange.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <cassert>
#include <string_view>
#include <utility>

#include "backend/tcp_socket.h"
#include "base/ascii_text.h"
#include "http1/broken_responses.h"
#include "http1/buffered_bytes.h"
#include "http1/head_writer.h"

namespace pomelohall {

// The handlers of network operations hold a reference to the connection,
// because the operations use its socket and buffer until they complete, even
// after the exchange has released it.

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Maximum size of a single read.
constexpr std::size_t kReadBytes = 16UL * 1024;
// A faulty server may occasionally send a response twice. If a connection
// yields more unexpected responses than this, the server no longer matches
// responses to requests, and the call fails.
constexpr std::size_t kMaxSkippedResponses = 4;
// Fraction of the peer's announced idle timeout after which a connection is no
// longer reused: the peer measures from its own last byte, and the announced
// value is rounded to seconds.
constexpr double kKeepAliveTimeoutFraction = 0.7;

// Returns the idle timeout in the value of a Keep-Alive field, or 0.
duration ParseKeepAliveTimeout(std::string_view keep_alive) {
  constexpr std::string_view kName = "timeout=";
  const auto start = keep_alive.find(kName);
  if (start == std::string_view::npos) return duration(0);
  auto text = keep_alive.substr(start + kName.size());
  text = text.substr(0, text.find_first_of(", ;"));
  return std::chrono::seconds(ParseNumber(text).value_or(0));
}

// Returns whether `text` contains a status line, such as "HTTP/1.1 200".
bool ContainsStatusLine(std::string_view text) {
  constexpr std::string_view kVersionStart = "HTTP/1.";
  // The digits of the minor version and of the status, and a space.
  constexpr std::size_t kRestLength = 5;
  const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
  auto start = text.find(kVersionStart);
  while (start != std::string_view::npos) {
    const auto rest = text.substr(start + kVersionStart.size());
    if (rest.size() >= kRestLength && is_digit(rest[0]) && rest[1] == ' ' &&
        std::all_of(rest.begin() + 2, rest.begin() + kRestLength, is_digit)) {
      return true;
    }
    start = text.find(kVersionStart, start + 1);
  }
  return false;
}

}  // namespace

client_exchange::client_exchange(outgoing_request request,
                                 exchange_events events,
                                 const pool_options& options,
                                 release_callback release)
    : request_(std::move(request)),
      events_(std::move(events)),
      options_(options),
      release_(std::move(release)),
      last_progress_(MonotonicNow()) {
  assert((request_.body != nullptr) ==
         (request_.head.framing != body_framing::kNone));
  if (const auto* id = FindField(request_.head.fields, options_.echo_field)) {
    echo_value_ = *id;
  }
}

void client_exchange::Run(client_connection_ptr connection) {
  connection_ = std::move(connection);
  last_progress_ = MonotonicNow();
  connection_is_fresh_ =
      !std::exchange(connection_->used, true) && !IsStale(connection_->socket);
  BuildHead();
  if (request_.body) {
    ReadRequestPart();
  } else {
    Write({}, false);
  }
}

// The fields are not needed any more, and may be large.
void client_exchange::BuildHead() {
  const auto& head = request_.head;
  auto writer = head_writer::Request(head.method, head.target);
  for (const auto& field : std::exchange(request_.head.fields, {})) {
    writer.Add(field.name, field.value);
  }
  if (head.framing == body_framing::kLength) {
    writer.AddLength(head.length);
  } else if (head.framing == body_framing::kChunked) {
    writer.AddChunked();
  }
  head_text_ = writer.Finish();
}

void client_exchange::ReadRequestPart() {
  request_.body->Read([self = shared_from_this()](result<body_part> part) {
    if (!self->done_) self->OnRequestPart(std::move(part));
  });
}

void client_exchange::OnRequestPart(result<body_part> part) {
  if (!part) {
    // The request body ended early. Closing the connection keeps the backend
    // server from treating the parts it received as the complete body.
    Fail({part.error().kind, part.error().message, CurrentRunState()});
    return;
  }
  Write(*part, !part->last);
}

void client_exchange::Write(body_part part, bool more) {
  if (!sending_started_) {
    sending_started_ = true;
    if (events_.on_sent) events_.on_sent();
    if (done_) return;
  }
  write_prefix_ = std::exchange(head_text_, {});
  std::string_view suffix;
  if (request_.head.framing == body_framing::kChunked) {
    suffix = AppendChunkStart(write_prefix_, part.bytes.size(), !more);
  }
  const std::array buffers{
      asio::const_buffer(write_prefix_.data(), write_prefix_.size()),
      asio::const_buffer(part.bytes.data(), part.bytes.size()),
      asio::const_buffer(suffix.data(), suffix.size()),
  };
  writing_ = true;
  asio::async_write(connection_->socket, buffers,
                    [self = shared_from_this(), connection = connection_, more](
                        error_code failure, std::size_t bytes) {
                      if (!self->done_) self->OnWritten(failure, bytes, more);
                    });
}

void client_exchange::OnWritten(error_code failure, std::size_t bytes,
                                bool more) {
  const bool first = written_bytes_ == 0;
  written_bytes_ += bytes;
  last_progress_ = MonotonicNow();
  writing_ = false;
  write_failure_ = failure;
  if (step_at_end_ != nullptr) {
    OnEnd(step_at_end_);
    return;
  }
  if (failure) {
    // A backend server may respond and close before it has read the complete
    // request, so the result of reading the response decides.
    if (first) OnConnectionLost(failure);
    return;
  }
  request_written_ = !more;
  if (first) ReadHeader();
  if (more && !done_) ReadRequestPart();
}

void client_exchange::ReadHeader() {
  parser_.emplace(
      response_parser_options{.max_head_bytes = options_.max_head_bytes,
                              .to_head = request_.head.method == "HEAD"});
  ParseHeader();
}

void client_exchange::ParseHeader() {
  connection_->buffer.consume(
      parser_->ParseHead(BufferedBytes(connection_->buffer)));
  if (const auto fault = parser_->Fault()) {
    OnBrokenResponse(*fault);
  } else if (parser_->IsHeadDone()) {
    OnHeader();
  } else {
    ReadMore(&client_exchange::ParseHeader);
  }
}

void client_exchange::OnHeader() {
  last_progress_ = MonotonicNow();
  if (IsJoined()) {
    Fail({error_kind::kAnswerMismatch,
          "the response follows the start of another one",
          run_state::kUnknown});
    return;
  }
  const auto owner = FindOwner();
  if (owner == response_owner::kOtherCall) {
    SkipResponse();
    return;
  }
  if (owner == response_owner::kUnknown) {
    Fail({error_kind::kAnswerMismatch,
          "the response has no call ID, and the connection was used before",
          run_state::kUnknown});
    return;
  }
  auto head = CopyHead();
  if (!head) {
    Fail(head.error());
    return;
  }
  refused_ = options_.is_refusal && options_.is_refusal(*head);
  DeliverResponse(std::move(*head));
}

client_exchange::response_owner client_exchange::FindOwner() const {
  bool has_id = false;
  bool echoed = true;
  for (const auto& field : parser_->Fields()) {
    if (!EqualsIgnoringCase(field.name, options_.echo_field)) continue;
    has_id = true;
    echoed = echoed && !echo_value_.empty() && field.value == echo_value_;
  }
  if (has_id) {
    return echoed ? response_owner::kThisCall : response_owner::kOtherCall;
  }
  const bool certain = connection_is_fresh_ && skipped_responses_ == 0;
  if (certain || !options_.peer_echoes_always) return response_owner::kThisCall;
  // Nothing could be echoed, so only a promise needs proof.
  if (echo_value_.empty() && !IsRefusal()) return response_owner::kThisCall;
  return response_owner::kUnknown;
}

// Returns whether the header is the start of an earlier response's header, cut
// within a line, and the header of another response. It has the status of the
// first and the ID of the second one. On a fresh connection, nothing precedes
// the response.
bool client_exchange::IsJoined() const {
  if (connection_is_fresh_ && skipped_responses_ == 0) return false;
  const auto& fields = parser_->Fields();
  return ContainsStatusLine(parser_->Reason()) ||
         std::any_of(fields.begin(), fields.end(), [](const http_field& field) {
           return ContainsStatusLine(field.value);
         });
}

bool client_exchange::IsRefusal() const {
  if (!options_.is_refusal) return false;
  return options_.is_refusal({.status = parser_->Status(),
                              .reason = {},
                              .fields = parser_->Fields(),
                              .framing = body_framing::kNone,
                              .length = std::nullopt});
}

// Reads and discards a response to an earlier request. The response to this
// request follows it.
void client_exchange::SkipResponse() {
  if (parser_->EndsWithConnection() ||
      ++skipped_responses_ > kMaxSkippedResponses) {
    Fail({error_kind::kAnswerMismatch,
          "the response has the call ID of another call", run_state::kUnknown});
    return;
  }
  SkipBody();
}

void client_exchange::SkipBody() {
  auto bytes = BufferedBytes(connection_->buffer);
  while (!bytes.empty() && !parser_->IsDone() && !parser_->Fault()) {
    bytes.remove_prefix(parser_->ParseBody(bytes, bytes.size()).consumed);
  }
  auto& buffer = connection_->buffer;
  buffer.consume(buffer.size() - bytes.size());
  if (const auto fault = parser_->Fault()) {
    OnBrokenResponse(*fault);
  } else if (parser_->IsDone()) {
    ReadHeader();
  } else {
    ReadMore(&client_exchange::SkipBody);
  }
}

// Returns whether the connection can carry another request. Not if the request
// was not fully written: a server may respond before it has read all of it, and
// would then treat the next request as the rest of this one. Not after a
// refusal: a faulty server may write it once more, and if this request is sent
// again on the connection, the copy would be taken as its response. Servers
// refuse rarely, as the daemon knows how many requests they can run.
bool client_exchange::IsReusable() const {
  const auto* keep_alive = FindField(parser_->Fields(), "Keep-Alive");
  connection_->peer_idle_timeout = std::chrono::duration_cast<duration>(
      kKeepAliveTimeoutFraction *
      ParseKeepAliveTimeout(keep_alive == nullptr ? "" : *keep_alive));
  return request_written_ && !refused_ && parser_->KeepsConnection();
}

result<response_head> client_exchange::CopyHead() const {
  const bool has_body = !parser_->IsDone();
  if (parser_->EndsWithConnection() && !options_.allow_close_delimited) {
    // Without framing, a truncated body cannot be told from a complete one.
    return tl::unexpected(
        error(error_kind::kAnswerCutShort,
              "the response has neither Content-Length nor chunked encoding",
              run_state::kUnknown));
  }
  response_head head{.status = parser_->Status(),
                     .reason = parser_->Reason(),
                     .fields = parser_->Fields(),
                     .framing = body_framing::kNone,
                     .length = parser_->ContentLength()};
  if (!has_body) return head;
  // A body that ends with the connection is forwarded as chunked, so that the
  // receiver can detect truncation.
  head.framing = head.length ? body_framing::kLength : body_framing::kChunked;
  return head;
}

void client_exchange::DeliverResponse(response_head head) {
  response_started_ = true;
  const auto keep_alive = shared_from_this();
  const auto on_response = std::move(events_.on_response);
  if (head.framing == body_framing::kNone) {
    Finish(IsReusable());
    on_response(incoming_response{std::move(head), nullptr});
    return;
  }
  on_response(incoming_response{std::move(head), keep_alive});
}

void client_exchange::Read(callback done) {
  assert(!pending_read_);
  if (done_) {
    done(tl::unexpected(error(error_kind::kAnswerCutShort,
                              "the call was cancelled or has failed",
                              run_state::kUnknown)));
    return;
  }
  pending_read_ = std::move(done);
  last_progress_ = MonotonicNow();
  PreparePart();
  ParsePart();
}

void client_exchange::PreparePart() {
  part_size_ = 0;
  if (!part_) {
    const auto& length = parser_->ContentLength();
    part_capacity_ = length ? static_cast<std::size_t>(std::min<std::uint64_t>(
                                  *length, kBodyPartBytes))
                            : kBodyPartBytes;
    part_.reset(new char[part_capacity_]);
  }
}

void client_exchange::ReadMore(step next) {
  connection_->socket.async_read_some(
      connection_->buffer.prepare(kReadBytes),
      [self = shared_from_this(), connection = connection_, next](
          error_code failure, std::size_t bytes) {
        if (self->done_) return;
        connection->buffer.commit(bytes);
        if (failure == boost::asio::error::eof) {
          self->OnEnd(next);
        } else if (failure) {
          self->OnConnectionLost(failure);
        } else {
          (self.get()->*next)();
        }
      });
}

// The connection has ended, which may be the end of the response. If it was
// lost, a write that has not completed yet may have taken the error, and
// completes at once. If the server has only ended its side, the write may wait
// for as long as the server does not read.
void client_exchange::OnEnd(step next) {
  if (writing_ && !IsEndedByPeer(connection_->socket)) {
    step_at_end_ = next;
  } else if (parser_->ParseEnd(write_failure_)) {
    (this->*next)();
  } else if (write_failure_) {
    OnConnectionLost(write_failure_);
  } else {
    OnConnectionLost(boost::asio::error::eof);
  }
}

void client_exchange::ParsePart() {
  auto bytes = BufferedBytes(connection_->buffer);
  auto step = parser_->ParseBody(bytes, part_capacity_ - part_size_);
  while (step.consumed > 0) {
    std::copy(step.content.begin(), step.content.end(),
              part_.get() + part_size_);
    part_size_ += step.content.size();
    bytes.remove_prefix(step.consumed);
    step = parser_->ParseBody(bytes, part_capacity_ - part_size_);
  }
  auto& buffer = connection_->buffer;
  buffer.consume(buffer.size() - bytes.size());
  if (const auto fault = parser_->Fault()) {
    OnBrokenResponse(*fault);
    return;
  }
  const body_part part{{part_.get(), part_size_}, parser_->IsDone()};
  if (part.bytes.empty() && !part.last) {
    ReadMore(&client_exchange::ParsePart);
    return;
  }
  last_progress_ = MonotonicNow();
  if (part.last) Finish(IsReusable());
  DeliverPart(part);
}

void client_exchange::DeliverPart(result<body_part> part) {
  if (!pending_read_) return;
  std::exchange(pending_read_, nullptr)(std::move(part));
}

void client_exchange::OnConnectionLost(const error_code& failure) {
  if (response_started_) {
    Fail({error_kind::kAnswerCutShort,
          "the response ended early: " + failure.message(),
          run_state::kUnknown});
    return;
  }
  if (skipped_responses_ > 0) {
    Fail({error_kind::kAnswerMismatch,
          "received only responses with call IDs of other calls",
          run_state::kUnknown});
    return;
  }
  Fail({options_.disconnect_error,
        "the connection was lost: " + failure.message(), CurrentRunState()});
}

// The server may have run the request, and bytes that follow on the connection
// cannot be told from its next response.
void client_exchange::OnBrokenResponse(message_fault fault) {
  ReportBrokenResponse(fault, connection_->address);
  const auto text =
      "the response is broken: " + std::string(kMessageFaultNames.Name(fault));
  Fail({response_started_ ? error_kind::kAnswerCutShort
                          : options_.disconnect_error,
        text, run_state::kUnknown});
}

run_state client_exchange::CurrentRunState() const {
  return written_bytes_ > 0 ? run_state::kUnknown : run_state::kNotRun;
}

void client_exchange::FailUnsent(error failure) {
  if (!done_) Fail(std::move(failure));
}

void client_exchange::Fail(error failure) {
  const auto keep_alive = shared_from_this();
  const auto on_response = std::move(events_.on_response);
  Finish(false);
  if (on_response) {
    on_response(tl::unexpected(std::move(failure)));
  } else {
    DeliverPart(tl::unexpected(std::move(failure)));
  }
}

void client_exchange::Finish(bool reusable) {
  done_ = true;
  events_ = {};
  if (request_.body && !request_written_) request_.body->Cancel();
  request_.body = nullptr;
  if (const auto release = std::move(release_)) {
    release(std::move(connection_), reusable);
  }
}

void client_exchange::Cancel() {
  if (done_) return;
  const auto keep_alive = shared_from_this();
  pending_read_ = nullptr;
  Finish(false);
}

void client_exchange::CheckProgress(instant now) {
  if (!pending_read_ || now - last_progress_ < options_.progress_timeout) {
    return;
  }
  Fail({error_kind::kAnswerCutShort, "the response made no progress",
        run_state::kUnknown});
}

}  // namespace pomelohall
