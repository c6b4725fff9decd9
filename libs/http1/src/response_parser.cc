#include "http1/response_parser.h"

#include <utility>

#include "message_grammar.h"

namespace pomelohall {
namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool IsInterim(int status) { return status < 200; }

}  // namespace

response_parser::response_parser(response_parser_options options)
    : message_parser({.head_bytes = options.max_head_bytes,
                      .framing_bytes = options.max_head_bytes}),
      options_(options) {}

std::optional<message_fault> response_parser::CheckStartLine(
    std::string_view line, bool complete) const {
  return CheckStatusLine(line, complete);
}

void response_parser::ParseStartLine(std::string_view line) {
  minor_version_ = MinorVersionOf(line);
  status_ = StatusOf(line);
  reason_ = ReasonOf(line);
  state_ = state::kFields;
}

void response_parser::FinishHead() {
  CheckFraming();
  if (Fault()) return;
  if (IsInterim(status_)) {
    StartOver();
    return;
  }
  // A server must not send the field with this status.
  if (status_ == kNoContent) content_length_.reset();
  if (options_.to_head || status_ == kNoContent || status_ == kNotModified) {
    framing_bytes_ = 0;
    state_ = state::kDone;
  } else if (chunked_ || content_length_) {
    StartBody();
  } else {
    ends_with_connection_ = true;
    state_ = state::kConnectionBody;
  }
}

void response_parser::CheckFraming() {
  const bool has_no_content = IsInterim(status_) || status_ == kNoContent;
  if (has_transfer_codings_ &&
      (!chunked_ || content_length_ || minor_version_ == 0 || has_no_content)) {
    Fail(message_fault::kTransferCoding);
  }
  if (has_no_content && content_length_.value_or(0) > 0) {
    Fail(message_fault::kContentLength);
  }
}

// Another response follows an interim one.
void response_parser::StartOver() {
  interim_bytes_ += std::exchange(framing_bytes_, 0);
  if (interim_bytes_ > options_.max_interim_bytes) {
    Fail(message_fault::kTooLarge);
  }
  state_ = state::kStartLine;
  fields_.clear();
  stored_bytes_ = 0;
  content_length_.reset();
  close_ = false;
  keep_alive_ = false;
}

// A reset that follows the proper end of the peer's side fails a write with
// "broken pipe". Any other failure, such as a reset without that end or a lost
// link, may be what ended the connection.
bool response_parser::ParseEnd(const boost::system::error_code& write_failure) {
  const bool ended_properly =
      !write_failure || write_failure == boost::system::errc::broken_pipe;
  if (state_ == state::kConnectionBody && ended_properly) {
    state_ = state::kDone;
  }
  return IsDone();
}

bool response_parser::KeepsConnection() const {
  return !ends_with_connection_ && message_parser::KeepsConnection();
}

}  // namespace pomelohall
