#ifndef POMELOHALL_HTTP1_RESPONSE_PARSER_H_
#define POMELOHALL_HTTP1_RESPONSE_PARSER_H_

#include <boost/system/error_code.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "http1/message_parser.h"

namespace pomelohall {

struct response_parser_options {
  /// Limit of the head, and of the bytes of a chunked body that are not
  /// content: each chunk's size line, and the trailer.
  std::size_t max_head_bytes = 16UL * 1024;
  /// Limit of all interim responses together.
  std::size_t max_interim_bytes = 64UL * 1024;
  /// The response is to a HEAD request, so it has no body.
  bool to_head = false;
};

/// Parses one response as its bytes arrive. Defines for all programs which
/// responses are sound: every reader of responses uses it.
///
/// Interim responses are skipped. A fault is found with the first byte that no
/// sound response can have, even if the line goes on.
///
/// Example:
/// @code
/// response_parser parser({});
/// bytes.remove_prefix(parser.ParseHead(bytes));
/// if (parser.Fault()) return Fail(...);
/// @endcode
class response_parser : public message_parser {
 public:
  explicit response_parser(response_parser_options options);

  /// Records that a read has found the end of the connection. Returns whether
  /// the response is complete. A body that ends with the connection is complete
  /// only if the peer ended the connection properly.
  /// @param write_failure Failure of a write on the connection, if one has
  ///     failed. The socket reports an error once: if a write got it, reads
  ///     see the end of the connection instead.
  bool ParseEnd(const boost::system::error_code& write_failure);

  // The following are valid once the head is done.

  int Status() const { return status_; }
  const std::string& Reason() const { return reason_; }
  /// Returns whether the body ends only with the connection.
  bool EndsWithConnection() const { return ends_with_connection_; }
  /// Returns whether the connection can carry another response.
  bool KeepsConnection() const;

 protected:
  std::optional<message_fault> CheckStartLine(std::string_view line,
                                              bool complete) const override;
  void ParseStartLine(std::string_view line) override;
  void FinishHead() override;
  bool ChecksIncompleteLines() const override { return true; }
  bool AllowsRepeatedLength() const override { return true; }

 private:
  void CheckFraming();
  void StartOver();

  response_parser_options options_;
  std::size_t interim_bytes_ = 0;  // Of all interim responses so far.
  int status_ = 0;
  std::string reason_;
  bool ends_with_connection_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP1_RESPONSE_PARSER_H_
