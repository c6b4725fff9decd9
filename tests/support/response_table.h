#ifndef POMELOHALL_TESTS_SUPPORT_RESPONSE_TABLE_H_
#define POMELOHALL_TESTS_SUPPORT_RESPONSE_TABLE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "http1/http_field.h"
#include "http1/message_fault.h"

namespace pomelohall {

/// Bytes that a server sends, and what a reader makes of them.
struct response_row {
  std::string name;
  /// Bytes up to the fields that the test adds: status line and own fields.
  std::string start;
  /// Bytes after those fields, from the empty line on.
  std::string rest;
  /// Whether only `start` is sent, and the connection stays open.
  bool stops_after_start = false;
  /// Nothing for a sound response.
  std::optional<message_fault> fault{};

  // What a caller gets of a sound response. Instead of a broken one it gets
  // 502, or no end of the body if a part of it has been passed on before.
  int status = 200;
  std::string body{};
  http_fields fields{};  ///< Own fields that are passed on.
  /// Whether the fault may arrive after a part of the body was passed on.
  bool starts_sound = false;
  const char* method = "GET";

  /// Returns the bytes of the response.
  /// @param added Field lines, for example with the ID of the request.
  std::string Bytes(const std::string& added) const {
    return stops_after_start ? start : start + added + rest;
  }
  /// Returns whether only the end of the connection ends the response.
  bool ends_with_connection = false;
};

/// All responses that a reader has to tell apart: status line, field lines,
/// framing, chunks, trailer and interim responses (RFC 9110, RFC 9112).
const std::vector<response_row>& ResponseTable();

/// Returns the last part of the path of a request for the row at `index`.
std::string RowPath(std::size_t index);
/// Returns the row that a request header asks for with RowPath(), or null.
const response_row* RequestedRow(const std::string& header);
/// Returns the index of the first row with this fault.
std::size_t FirstRowWith(message_fault fault);

}  // namespace pomelohall

#endif  // POMELOHALL_TESTS_SUPPORT_RESPONSE_TABLE_H_
