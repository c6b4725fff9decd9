#include "http1/message_parser.h"

#include <algorithm>

#include "base/ascii_text.h"
#include "message_grammar.h"

namespace pomelohall {

std::size_t message_parser::ParseHead(std::string_view bytes) {
  auto rest = bytes;
  const auto check_start = [this](std::string_view line, bool complete) {
    return CheckStartLine(line, complete);
  };
  while (!rest.empty() && !fault_ && !IsHeadDone()) {
    started_ = true;
    if (state_ == state::kStartLine) {
      if (const auto line = TakeLine(rest, check_start)) ParseStartLine(*line);
    } else if (const auto line = TakeLine(rest, CheckFieldLine)) {
      ParseFieldLine(*line);
    }
  }
  return bytes.size() - rest.size();
}

template <typename Check>
std::optional<std::string_view> message_parser::TakeLine(
    std::string_view& bytes, const Check& check) {
  if (std::exchange(line_done_, false)) line_ = {};
  const auto newline = bytes.find('\n');
  const bool complete = newline != std::string_view::npos;
  const auto piece = bytes.substr(0, complete ? newline + 1 : newline);
  bytes.remove_prefix(piece.size());
  framing_bytes_ += piece.size();
  if (framing_bytes_ >
      (IsHeadDone() ? limits_.framing_bytes : limits_.head_bytes)) {
    Fail(message_fault::kTooLarge);
    return std::nullopt;
  }
  auto line = piece;
  if (!complete || !line_.empty()) {
    line = line_.append(piece);
    line_done_ = complete;
  }
  if (!complete && !ChecksIncompleteLines()) return std::nullopt;
  if (complete) line.remove_suffix(1);
  const bool has_cr = line.ends_with('\r');
  if (has_cr) line.remove_suffix(1);
  if (const auto fault = check(line, complete)) {
    Fail(*fault);
  } else if (complete && !has_cr) {
    Fail(message_fault::kLineEnding);
  } else if (complete) {
    return line;
  }
  return std::nullopt;
}

// Parses a line of the head or of the trailer.
void message_parser::ParseFieldLine(std::string_view line) {
  const bool in_trailer = state_ == state::kTrailer;
  if (line.empty()) {
    if (in_trailer) {
      state_ = state::kDone;
    } else {
      FinishHead();
    }
    return;
  }
  const auto colon = line.find(':');
  const auto name = line.substr(0, colon);
  const auto value = TrimBlanks(line.substr(colon + 1));
  if (EqualsIgnoringCase(name, "Content-Length")) {
    AddContentLength(value);
  } else if (EqualsIgnoringCase(name, "Transfer-Encoding")) {
    AddTransferCodings(value);
  } else {
    if (EqualsIgnoringCase(name, "Connection")) AddConnectionOptions(value);
    if (!in_trailer) AddField(name, value);
  }
}

void message_parser::AddField(std::string_view name, std::string_view value) {
  fields_.push_back({std::string(name), std::string(value)});
  stored_bytes_ += sizeof(http_field) + name.size() + value.size();
}

// The same length may be repeated in a response (RFC 9110, section 8.6).
void message_parser::AddContentLength(std::string_view value) {
  const bool repeated =
      content_length_.has_value() || value.find(',') != std::string_view::npos;
  if (state_ == state::kTrailer || value.empty() || value.ends_with(',') ||
      (repeated && !AllowsRepeatedLength())) {
    Fail(message_fault::kContentLength);
    return;
  }
  while (!value.empty()) {
    const auto length = ParseDigits(TakeListElement(value), 10);
    if (!length || content_length_.value_or(*length) != *length) {
      Fail(message_fault::kContentLength);
      return;
    }
    content_length_ = length;
  }
}

void message_parser::AddTransferCodings(std::string_view value) {
  has_transfer_codings_ = true;
  while (!value.empty()) {
    const auto coding = TakeListElement(value);
    if (coding.empty()) continue;
    if (!EqualsIgnoringCase(coding, "chunked") || chunked_) {
      Fail(message_fault::kTransferCoding);
      return;
    }
    chunked_ = true;
  }
}

void message_parser::AddConnectionOptions(std::string_view value) {
  while (!value.empty()) {
    const auto option = TakeListElement(value);
    if (!option.empty() && !IsToken(option)) {
      Fail(message_fault::kFieldValue);
      return;
    }
    close_ = close_ || EqualsIgnoringCase(option, "close");
    keep_alive_ = keep_alive_ || EqualsIgnoringCase(option, "keep-alive");
  }
}

void message_parser::StartBody() {
  framing_bytes_ = 0;
  if (chunked_) {
    state_ = state::kChunkSize;
  } else {
    remaining_ = content_length_.value_or(0);
    state_ = remaining_ == 0 ? state::kDone : state::kLengthBody;
  }
}

message_parser::body_step message_parser::ParseBody(std::string_view bytes,
                                                    std::size_t max_content) {
  body_step step;
  auto rest = bytes;
  std::size_t before = 0;
  do {
    before = rest.size();
    ParseBodyPart(rest, max_content, step.content);
  } while (step.content.empty() && !fault_ && rest.size() < before);
  step.consumed = bytes.size() - rest.size();
  return step;
}

void message_parser::ParseBodyPart(std::string_view& bytes,
                                   std::size_t max_content,
                                   std::string_view& content) {
  if (bytes.empty()) return;
  switch (state_) {
    case state::kLengthBody:
      content = TakeContent(bytes, max_content);
      if (remaining_ == 0) state_ = state::kDone;
      break;
    case state::kConnectionBody:
      content = bytes.substr(0, max_content);
      bytes.remove_prefix(content.size());
      break;
    case state::kChunkSize:
      if (const auto line = TakeLine(bytes, CheckChunkSizeLine)) {
        ParseChunkSizeLine(*line);
      }
      break;
    case state::kChunkContent:
      content = TakeContent(bytes, max_content);
      if (remaining_ == 0) state_ = state::kChunkEnd;
      break;
    case state::kChunkEnd:
      ParseChunkEnd(bytes);
      break;
    case state::kTrailer:
      if (const auto line = TakeLine(bytes, CheckFieldLine)) {
        ParseFieldLine(*line);
      }
      break;
    case state::kStartLine:
    case state::kFields:
    case state::kDone:
      break;
  }
}

void message_parser::ParseChunkSizeLine(std::string_view line) {
  const auto size_end = line.find_first_not_of("0123456789abcdefABCDEF");
  remaining_ = *ParseDigits(line.substr(0, size_end), 16);
  framing_bytes_ = 0;
  state_ = remaining_ == 0 ? state::kTrailer : state::kChunkContent;
}

void message_parser::ParseChunkEnd(std::string_view& bytes) {
  if (bytes.front() != (chunk_cr_seen_ ? '\n' : '\r')) {
    Fail(message_fault::kChunk);
    return;
  }
  bytes.remove_prefix(1);
  if (chunk_cr_seen_) state_ = state::kChunkSize;
  chunk_cr_seen_ = !chunk_cr_seen_;
}

std::string_view message_parser::TakeContent(std::string_view& bytes,
                                             std::size_t max_content) {
  const auto limit = std::min(bytes.size(), max_content);
  const auto content = bytes.substr(
      0, static_cast<std::size_t>(std::min<std::uint64_t>(remaining_, limit)));
  bytes.remove_prefix(content.size());
  remaining_ -= content.size();
  return content;
}

bool message_parser::KeepsConnection() const {
  return !close_ && (minor_version_ == 1 || keep_alive_);
}

}  // namespace pomelohall
