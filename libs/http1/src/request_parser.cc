#include "http1/request_parser.h"

#include <algorithm>

#include "message_grammar.h"

namespace pomelohall {

error RequestFaultError(message_fault fault, std::string_view text) {
  const auto kind = fault == message_fault::kTooLarge
                        ? error_kind::kHeadersTooLarge
                        : error_kind::kInvalidRequest;
  return {kind, std::string(text) + ": " +
                    std::string(kMessageFaultNames.Name(fault))};
}

request_parser::request_parser(request_parser_options options)
    : message_parser({.head_bytes = options.max_head_bytes,
                      .framing_bytes = options.max_framing_bytes}) {}

void request_parser::RaiseLimits(const request_parser_options& options) {
  limits_.head_bytes = std::max(limits_.head_bytes, options.max_head_bytes);
  limits_.framing_bytes =
      std::max(limits_.framing_bytes, options.max_framing_bytes);
}

// A server ignores one empty line before a request: some clients send it after
// a body (RFC 9112, section 2.2).
std::optional<message_fault> request_parser::CheckStartLine(
    std::string_view line, bool /*complete*/) const {
  if (line.empty() && !empty_line_skipped_) return std::nullopt;
  return CheckRequestLine(line);
}

void request_parser::ParseStartLine(std::string_view line) {
  if (line.empty()) {
    empty_line_skipped_ = true;
    framing_bytes_ = 0;
    return;
  }
  const auto parts = SplitRequestLine(line);
  method_ = parts.method;
  target_ = parts.target;
  minor_version_ = parts.minor_version;
  stored_bytes_ = method_.size() + target_.size();
  state_ = state::kFields;
}

// A request whose length is not certain could hide another one
// (RFC 9112, section 6.3).
void request_parser::FinishHead() {
  if (has_transfer_codings_ &&
      (!chunked_ || content_length_ || minor_version_ == 0)) {
    Fail(message_fault::kTransferCoding);
    return;
  }
  StartBody();
}

}  // namespace pomelohall
