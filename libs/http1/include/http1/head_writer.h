#ifndef POMELOHALL_HTTP1_HEAD_WRITER_H_
#define POMELOHALL_HTTP1_HEAD_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pomelohall {

/// Writes the head of a message of HTTP/1.1. No part of it has a size limit.
///
/// Example:
/// @code
/// head_writer head = head_writer::Request("PUT", "/items/1");
/// head.Add("Host", "127.0.0.1:8080");
/// head.AddLength(body.size());
/// const std::string bytes = head.Finish();
/// @endcode
class head_writer {
 public:
  static head_writer Request(std::string_view method, std::string_view target);
  /// @param minor_version 0 or 1, of HTTP/1.x.
  /// @param reason If empty, the usual text for the status is written.
  static head_writer Response(int minor_version, int status,
                              std::string_view reason);

  /// Adds a field. A control character in `value`, which could end the field,
  /// is written as a space.
  void Add(std::string_view name, std::string_view value);
  /// Adds Content-Length.
  void AddLength(std::uint64_t bytes);
  /// Adds the transfer coding "chunked".
  void AddChunked();

  /// Adds the empty line and returns the head.
  std::string Finish();

 private:
  head_writer() = default;

  std::string text_;
};

/// Appends to `text` what precedes a part of a chunked body, and returns what
/// follows it.
/// @param bytes Size of the part. An empty one has no chunk.
/// @param last Whether the body ends with the part; it has no trailer.
std::string_view AppendChunkStart(std::string& text, std::size_t bytes,
                                  bool last);

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP1_HEAD_WRITER_H_
