#ifndef POMELOHALL_BACKEND_HTTP_MESSAGE_H_
#define POMELOHALL_BACKEND_HTTP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http1/http_field.h"

namespace pomelohall {

/// Names of the header fields (docs/design.md, section 8).
inline constexpr std::string_view kCallIdField = "Pomelohall-Call-Id";
inline constexpr std::string_view kDeadlineField = "Pomelohall-Deadline-Ms";
inline constexpr std::string_view kClassField = "Pomelohall-Class";
inline constexpr std::string_view kAttemptField = "Pomelohall-Attempt";
inline constexpr std::string_view kOutcomeField = "Pomelohall-Outcome";
inline constexpr std::string_view kIdempotencyKeyField = "Idempotency-Key";
/// Error kind of a daemon's error response. It distinguishes such a response
/// from one of a backend server.
inline constexpr std::string_view kErrorField = "Pomelohall-Error";
/// Fingerprint of the request (up to 16 hexadecimal digits), computed once by
/// the entry daemon.
inline constexpr std::string_view kFingerprintField = "Pomelohall-Fingerprint";
/// Quarantine state of the request, sent with error responses and retries after
/// a backend server crash.
inline constexpr std::string_view kSuspectField = "Pomelohall-Suspect";

/// Returns the value of the first field named `name`, or null. The pointer is
/// valid until `fields` changes.
const std::string* FindField(const http_fields& fields, std::string_view name);

/// Replaces all fields named `name` with one.
void SetField(http_fields& fields, std::string_view name, std::string value);

/// Removes all fields named `name`.
void RemoveField(http_fields& fields, std::string_view name);

/// Removes the hop-by-hop fields: `Connection`, the fields it lists,
/// `Keep-Alive`, `Proxy-Connection`, `TE`, `Trailer`, `Transfer-Encoding`,
/// `Upgrade` and `Expect`.
void RemoveHopByHopFields(http_fields& fields);

/// Removes every field whose name starts with "Pomelohall-".
void RemovePomelohallFields(http_fields& fields);

/// Parses an unsigned decimal number. Returns nothing if other characters are
/// present.
std::optional<std::uint64_t> ParseNumber(std::string_view text);

/// Returns whether `text` is not empty and consists of visible ASCII
/// characters, so that it can be written to a header field and to JSON.
bool IsVisibleText(std::string_view text);

/// Returns whether `address` is "ip:port" with a port of 1 to 65535.
bool IsServerAddress(std::string_view address);

/// How the body of a message is delimited.
enum class body_framing {
  kNone,     ///< No body follows.
  kLength,   ///< `Content-Length` bytes.
  kChunked,  ///< Chunks up to a terminating chunk.
};

/// Request line and header fields of a request. `framing` and `length` replace
/// the fields `Content-Length` and `Transfer-Encoding`.
struct request_head {
  std::string method;
  std::string target;  ///< Path and query.
  http_fields fields;
  body_framing framing = body_framing::kNone;
  std::uint64_t length = 0;  ///< Bytes, with kLength only.
};

/// Status line and header fields of a response.
struct response_head {
  int status = 200;
  std::string reason;
  http_fields fields;
  body_framing framing = body_framing::kNone;
  /// Value of `Content-Length`. With kNone it is the length of the body that a
  /// response to HEAD omits.
  std::optional<std::uint64_t> length;
};

}  // namespace pomelohall

#endif  // POMELOHALL_BACKEND_HTTP_MESSAGE_H_
