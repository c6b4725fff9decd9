#ifndef POMELOHALL_HTTP1_REQUEST_PARSER_H_
#define POMELOHALL_HTTP1_REQUEST_PARSER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "http1/message_parser.h"

namespace pomelohall {

struct request_parser_options {
  /// Limit of the head, from the request line to the empty line.
  std::size_t max_head_bytes = 16UL * 1024;
  /// Limit of each chunk's size line with its extension, and of the trailer.
  std::size_t max_framing_bytes = 64UL * 1024;
};

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

  /// Raises the limit of the head. A lower one has no effect: a request is held
  /// to the largest limit that was in force while its head arrived.
  void RaiseMaxHeadBytes(std::size_t bytes);

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
