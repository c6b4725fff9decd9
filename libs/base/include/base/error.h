#ifndef POMELOHALL_BASE_ERROR_H_
#define POMELOHALL_BASE_ERROR_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

namespace pomelohall {

/// Whether a request was executed on a backend server, as known to the sender.
enum class run_state {
  kNotRun,   ///< No byte of the request reached a backend server.
  kRan,      ///< A backend server responded.
  kUnknown,  ///< The request was sent, but no response arrived.
};

/// What a caller may do after an error.
enum class retry_advice {
  kNever,         ///< The same request fails again.
  kRetry,         ///< Safe to send again at once, also elsewhere.
  kRetryLater,    ///< Safe to send again after a pause.
  kCheckOutcome,  ///< Ask for the outcome with the same idempotency key.
};

/// The complete list of error kinds of all programs. A new kind needs a row in
/// the table in error.cc and one in docs/OPERATORS.md.
enum class error_kind {
  kInvalidRequest,
  kInvalidSettings,
  kInvalidConfiguration,
  kNoRoute,
  kUnauthenticated,
  kNotFound,
  kHeadersTooLarge,
  kBodyTooLarge,
  kConfigUnknown,
  kNoBackendServer,
  kDraining,
  kOverloaded,
  kQuotaExceeded,
  kDeadlineExceeded,
  kCancelled,
  kBackendFailed,
  kAnswerCutShort,
  kAnswerMismatch,
  kOutcomeUnknown,
  kPoisonSuspected,
  kLedgerUnavailable,
  kKeyInProgress,
  kConflict,
  kPlatformUnavailable,
  kPeerUnreachable,
  kProtocolError,
  kInternal,
};

/// How errors of one kind are reported: a row of the error table.
struct error_info {
  error_kind kind;
  std::string_view name;  ///< Stable name in JSON bodies, logs and metrics.
  int http_status;        ///< 400 to 599.
  run_state ran;          ///< Default; an error may override it.
  retry_advice advice;
  int exit_code;  ///< Exit code of the operators' command, 1 to 9.
};

/// Returns the row of `kind`.
const error_info& GetErrorInfo(error_kind kind);

/// Returns whether an error is the fault of the request, which no other daemon
/// or backend server would take either.
inline bool IsRequestFault(error_kind kind) {
  return kind == error_kind::kInvalidRequest ||
         kind == error_kind::kHeadersTooLarge ||
         kind == error_kind::kBodyTooLarge;
}

/// Returns all rows, in the order of the enumeration.
std::span<const error_info> ErrorTable();

/// Returns the kind named `name`, or nullopt.
std::optional<error_kind> FindErrorKind(std::string_view name);

/// Returns "not_run", "ran" or "unknown".
std::string_view RunStateName(run_state state);

/// Returns the state named `name`, or nullopt.
std::optional<run_state> FindRunState(std::string_view name);

/// Returns "never", "retry", "retry_later" or "check_outcome".
std::string_view RetryAdviceName(retry_advice advice);

/// An error: its kind, a human-readable message and whether the request ran.
struct error {
  error_kind kind;
  std::string message;
  run_state ran;

  error(error_kind error_kind, std::string text)
      : kind(error_kind),
        message(std::move(text)),
        ran(GetErrorInfo(error_kind).ran) {}
  error(error_kind error_kind, std::string text, run_state state)
      : kind(error_kind), message(std::move(text)), ran(state) {}

  bool operator==(const error&) const = default;
};

/// A value or an error. Fallible functions return it instead of throwing.
template <typename T>
using result = tl::expected<T, error>;

/// Creates the error value to return from a function with a `result`.
inline tl::unexpected<error> Fail(error_kind kind, std::string message) {
  return tl::unexpected<error>(error(kind, std::move(message)));
}

}  // namespace pomelohall

#endif  // POMELOHALL_BASE_ERROR_H_
