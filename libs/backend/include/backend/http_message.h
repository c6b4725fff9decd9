#ifndef POMELOHALL_BACKEND_HTTP_MESSAGE_H_
#define POMELOHALL_BACKEND_HTTP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohall {

/// Names of the header fields of design section 8.
inline constexpr std::string_view kCallIdField = "Pomelohall-Call-Id";
inline constexpr std::string_view kDeadlineField = "Pomelohall-Deadline-Ms";
inline constexpr std::string_view kClassField = "Pomelohall-Class";
inline constexpr std::string_view kAttemptField = "Pomelohall-Attempt";
inline constexpr std::string_view kOutcomeField = "Pomelohall-Outcome";
inline constexpr std::string_view kIdempotencyKeyField = "Idempotency-Key";
/// Kind of an error that a daemon answered, so that the next daemon does not
/// take it for an answer of a backend server.
inline constexpr std::string_view kErrorField = "Pomelohall-Error";
/// Fingerprint of the request (16 hexadecimal digits), computed once at entry.
inline constexpr std::string_view kFingerprintField = "Pomelohall-Fingerprint";
/// Quarantine state of the request, sent along with a crash report and retry.
inline constexpr std::string_view kSuspectField = "Pomelohall-Suspect";

/// One header field. Names compare without regard to case.
struct http_field {
  std::string name;
  std::string value;
};

using http_fields = std::vector<http_field>;

/// Returns the value of the first field called `name`, or null. The pointer is
/// valid until `fields` changes.
const std::string* FindField(const http_fields& fields, std::string_view name);

/// Replaces all fields called `name` by one.
void SetField(http_fields& fields, std::string_view name, std::string value);

/// Removes all fields called `name`.
void RemoveField(http_fields& fields, std::string_view name);

/// Removes the fields that concern one connection only: `Connection`, those it
/// names, `Keep-Alive`, `Proxy-*`, `TE`, `Trailer`, `Transfer-Encoding`,
/// `Upgrade` and `Expect`.
void RemoveHopFields(http_fields& fields);

/// Removes every field whose name starts with "Pomelohall-".
void RemoveMeshFields(http_fields& fields);

/// Parses a decimal number without sign that takes up the whole text.
std::optional<std::uint64_t> ParseNumber(std::string_view text);

/// How the body of a message is delimited.
enum class body_framing {
  kNone,     ///< No body follows.
  kLength,   ///< `Content-Length` bytes.
  kChunked,  ///< Chunks up to a terminating chunk.
};

/// Request line and header of a request. `Content-Length` and
/// `Transfer-Encoding` are expressed by `framing` and `length` only.
struct request_head {
  std::string method;
  std::string target;  ///< Path with query.
  http_fields fields;
  body_framing framing = body_framing::kNone;
  std::uint64_t length = 0;  ///< Bytes; for kLength.
};

/// Status line and header of an answer.
struct answer_head {
  int status = 200;
  std::string reason;
  http_fields fields;
  body_framing framing = body_framing::kNone;
  /// Value of `Content-Length`. With kNone it is the length that the body of a
  /// HEAD request would have had.
  std::optional<std::uint64_t> length;
};

}  // namespace pomelohall

#endif  // POMELOHALL_BACKEND_HTTP_MESSAGE_H_
