#ifndef POMELOHALL_HTTP1_REQUEST_PARSER_H_
#define POMELOHALL_HTTP1_REQUEST_PARSER_H_

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/http_limits.h"
#include "http1/message_parser.h"

namespace pomelohall {

struct request_parser_options {
  /// Limit of the head, from the request line to the empty line.
  std::size_t max_head_bytes = 16UL * 1024;
  /// Limit of each chunk's size line with its extension, and of the trailer.
  std::size_t max_framing_bytes = kMinTrailerLimit;

  /// Returns the limits of requests whose head is limited to `bytes`.
  static request_parser_options ForHeadLimit(std::size_t bytes) {
    return {.max_head_bytes = bytes,
            .max_framing_bytes = std::max(bytes, kMinTrailerLimit)};
  }
};

/// Returns the error for the sender of a request with a fault: too large or
/// invalid. `text` says what was refused.
error RequestFaultError(message_fault fault, std::string_view text);

/// Parses one request as its bytes arrive. Every reader of requests uses it. A
/// line is checked once it is complete, so the time to parse a request grows
/// with its size, no matter in which pieces it arrives.
///
/// Example:
/// @code
/// request_parser parser({});
/// bytes.remove_prefix(parser.ParseHead(bytes));
/// if (parser.Fault()) return Reject(...);
/// @endcode
class request_parser : public message_parser {
 public:
  explicit request_parser(request_parser_options options);

  /// Raises the limits. Lower ones have no effect: a request is held to the
  /// largest limits that were in force while it arrived.
  void RaiseLimits(const request_parser_options& options);

  // The following are valid once the head is done.

  const std::string& Method() const { return method_; }
  /// The request target as it was received.
  const std::string& Target() const { return target_; }

 protected:
  std::optional<message_fault> CheckStartLine(std::string_view line,
                                              bool complete) const override;
  void ParseStartLine(std::string_view line) override;
  void FinishHead() override;
  bool ChecksIncompleteLines() const override { return false; }
  bool AllowsRepeatedLength() const override { return false; }

 private:
  bool empty_line_skipped_ = false;
  std::string method_;
  std::string target_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP1_REQUEST_PARSER_H_
