#ifndef POMELOHALL_HTTP1_MESSAGE_FAULT_H_
#define POMELOHALL_HTTP1_MESSAGE_FAULT_H_

#include "base/name_table.h"

namespace pomelohall {

/// Why bytes are not a message of HTTP/1.1 (RFC 9110 and RFC 9112).
enum class message_fault {
  /// Not "HTTP/1.0" or "HTTP/1.1", a code of three digits and a reason.
  kStatusLine,
  /// The status code is outside 100 to 599.
  kStatusCode,
  /// 101 (Switching Protocols): no request of ours asks for another protocol.
  kProtocolSwitch,
  /// The name of a field is empty or has a character that is not allowed, such
  /// as a blank.
  kFieldName,
  /// The value of a field has a control character, or is malformed in a field
  /// that concerns the connection.
  kFieldValue,
  /// A field line starts with a blank: obsolete line folding.
  kFoldedLine,
  /// CR without LF, or LF without CR.
  kLineEnding,
  /// Not a number, contradictory, or in a message that cannot have it.
  kContentLength,
  /// A transfer coding other than chunked, or one where none is allowed.
  kTransferCoding,
  /// The size, the extension or the end of a chunk.
  kChunk,
  /// A part that is limited in size is too large.
  kTooLarge,
  /// Not a method, a target and "HTTP/1.0" or "HTTP/1.1".
  kRequestLine,
};

/// Stable names for logs and metrics.
inline constexpr name_table<message_fault, 12> kMessageFaultNames{{{
    {message_fault::kStatusLine, "status_line"},
    {message_fault::kStatusCode, "status_code"},
    {message_fault::kProtocolSwitch, "protocol_switch"},
    {message_fault::kFieldName, "field_name"},
    {message_fault::kFieldValue, "field_value"},
    {message_fault::kFoldedLine, "folded_line"},
    {message_fault::kLineEnding, "line_ending"},
    {message_fault::kContentLength, "content_length"},
    {message_fault::kTransferCoding, "transfer_coding"},
    {message_fault::kChunk, "chunk"},
    {message_fault::kTooLarge, "too_large"},
    {message_fault::kRequestLine, "request_line"},
}}};

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP1_MESSAGE_FAULT_H_
