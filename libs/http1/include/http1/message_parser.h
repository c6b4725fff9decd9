#ifndef POMELOHALL_HTTP1_MESSAGE_PARSER_H_
#define POMELOHALL_HTTP1_MESSAGE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "http1/http_field.h"
#include "http1/message_fault.h"

namespace pomelohall {

/// Parses one message of HTTP/1.0 or HTTP/1.1 as its bytes arrive: the fields,
/// the framing of the body (RFC 9112, sections 5 to 7) and the body. A derived
/// class knows the start line.
///
/// The limits below are the only ones: no field, name, target or line has a
/// bound of its own. Of a line that is not complete, and of the fields, it
/// keeps a copy; content and chunk extensions are not kept.
///
/// Folded lines, blanks around field names and repeated or unknown transfer
/// codings are faults, as a lenient reading could change what the sender said.
/// The fields of a trailer are checked and dropped.
class message_parser {
 public:
  virtual ~message_parser() = default;

  /// Parses the next bytes of the head. Returns how many: all unless the head
  /// ends within them or there is a fault.
  std::size_t ParseHead(std::string_view bytes);

  /// A step through the body.
  struct body_step {
    std::size_t consumed = 0;
    std::string_view content;  ///< Part of the parsed bytes; may be empty.
  };
  /// Parses the next bytes of the body, up to the end of the next run of
  /// content. Consumes nothing if `max_content` is 0 and content is next.
  body_step ParseBody(std::string_view bytes, std::size_t max_content);

  /// Returns the fault after which no more bytes can be parsed.
  const std::optional<message_fault>& Fault() const { return fault_; }
  /// Returns whether any byte has been parsed.
  bool HasStarted() const { return started_; }
  bool IsHeadDone() const { return state_ > state::kFields; }
  /// Returns whether the message is complete.
  bool IsDone() const { return state_ == state::kDone; }
  /// Returns the bytes of memory that the head and an incomplete line take.
  std::size_t StoredBytes() const {
    return stored_bytes_ + (line_done_ ? 0 : line_.size());
  }

  // The following are valid once the head is done.

  /// Fields in message order, without Content-Length and Transfer-Encoding.
  const http_fields& Fields() const { return fields_; }
  http_fields TakeFields() { return std::move(fields_); }
  /// Value of Content-Length, also of a message that has no body.
  const std::optional<std::uint64_t>& ContentLength() const {
    return content_length_;
  }
  /// Returns the bytes of content that are missing to Content-Length.
  std::uint64_t RemainingLength() const { return remaining_; }
  bool IsChunked() const { return chunked_; }
  /// 0 for HTTP/1.0, 1 for HTTP/1.1.
  int MinorVersion() const { return minor_version_; }
  /// Returns whether the connection can carry another message.
  bool KeepsConnection() const;

 protected:
  struct parser_limits {
    /// Bytes of the head.
    std::size_t head_bytes;
    /// Bytes of each chunk's size line, and of the trailer.
    std::size_t framing_bytes;
  };

  // In the order of a message.
  enum class state {
    kStartLine,
    kFields,
    kLengthBody,
    kConnectionBody,
    kChunkSize,
    kChunkContent,
    kChunkEnd,
    kTrailer,
    kDone,
  };

  explicit message_parser(parser_limits limits) : limits_(limits) {}
  message_parser(const message_parser&) = delete;
  message_parser& operator=(const message_parser&) = delete;

  // Checks a start line, or with `complete` false the start of one.
  virtual std::optional<message_fault> CheckStartLine(std::string_view line,
                                                      bool complete) const = 0;
  // Takes a sound start line and moves on to the fields.
  virtual void ParseStartLine(std::string_view line) = 0;
  // Checks the framing and moves on to the body or to the next start line.
  virtual void FinishHead() = 0;
  // Returns whether incomplete lines are checked as well. That finds a fault
  // with its first byte, but the time for a line that arrives byte by byte
  // grows with the square of its size.
  virtual bool ChecksIncompleteLines() const = 0;
  // Returns whether Content-Length may be repeated with the same value.
  virtual bool AllowsRepeatedLength() const = 0;

  // Moves on to a body with the framing that the fields tell.
  void StartBody();
  void Fail(message_fault fault) {
    if (!fault_) fault_ = fault;
  }

  parser_limits limits_;
  state state_ = state::kStartLine;
  std::size_t framing_bytes_ = 0;  // Counted against the limit.
  int minor_version_ = 1;
  http_fields fields_;
  std::optional<std::uint64_t> content_length_;
  bool has_transfer_codings_ = false;
  bool chunked_ = false;
  bool close_ = false;
  bool keep_alive_ = false;
  std::size_t stored_bytes_ = 0;  // Of the start line and the fields.

 private:
  // Takes a line, or the start of one, from `bytes`. Returns a sound line
  // without its line ending once it is complete; it is valid until the next
  // call.
  template <typename Check>
  std::optional<std::string_view> TakeLine(std::string_view& bytes,
                                           const Check& check);
  void ParseFieldLine(std::string_view line);
  void AddField(std::string_view name, std::string_view value);
  void AddContentLength(std::string_view value);
  void AddTransferCodings(std::string_view value);
  void AddConnectionOptions(std::string_view value);
  void ParseBodyPart(std::string_view& bytes, std::size_t max_content,
                     std::string_view& content);
  void ParseChunkSizeLine(std::string_view line);
  void ParseChunkEnd(std::string_view& bytes);
  std::string_view TakeContent(std::string_view& bytes,
                               std::size_t max_content);

  std::optional<message_fault> fault_;
  bool started_ = false;
  std::string line_;             // Start of a line whose end is missing.
  bool line_done_ = false;       // `line_` has been returned by TakeLine().
  std::uint64_t remaining_ = 0;  // Of the body or of the chunk.
  bool chunk_cr_seen_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP1_MESSAGE_PARSER_H_
