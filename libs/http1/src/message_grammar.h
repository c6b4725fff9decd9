#ifndef POMELOHALL_HTTP1_SRC_MESSAGE_GRAMMAR_H_
#define POMELOHALL_HTTP1_SRC_MESSAGE_GRAMMAR_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "http1/message_fault.h"

namespace pomelohall {

// Each check takes a line without its line ending, or with `complete` false the
// start of one: it then fails only if no line with this start is sound.

// RFC 9112, section 4.
std::optional<message_fault> CheckStatusLine(std::string_view line,
                                             bool complete);
// Parts of a sound status line.
int MinorVersionOf(std::string_view status_line);
int StatusOf(std::string_view status_line);
std::string_view ReasonOf(std::string_view status_line);

// RFC 9112, section 3, of a complete line. The target is not interpreted.
std::optional<message_fault> CheckRequestLine(std::string_view line);
// Parts of a sound request line.
struct request_line_parts {
  std::string_view method;
  std::string_view target;
  int minor_version = 1;
};
request_line_parts SplitRequestLine(std::string_view request_line);

// RFC 9112, section 5. An empty line ends the fields.
std::optional<message_fault> CheckFieldLine(std::string_view line,
                                            bool complete);
// RFC 9112, section 7.1: the size of a chunk and its extensions.
std::optional<message_fault> CheckChunkSizeLine(std::string_view line,
                                                bool complete);

// Returns whether `text` is a token (RFC 9110, section 5.6.2).
bool IsToken(std::string_view text);

// Removes and returns the first element of a comma-separated list, without
// blanks around it. It is empty if the element is.
std::string_view TakeListElement(std::string_view& list);

// Parses decimal or hexadecimal digits. Returns nothing if `text` has another
// character, is empty or does not fit.
std::optional<std::uint64_t> ParseDigits(std::string_view text, int base);

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP1_SRC_MESSAGE_GRAMMAR_H_
