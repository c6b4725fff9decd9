#include "base/error.h"

#include <array>
#include <cassert>
#include <cstddef>

#include "base/name_table.h"

namespace pomelohall {
namespace {

// Exit codes: 2 usage error, 3 invalid input, 4 conflict, 5 platform
// unavailable, 6 outcome unknown, 7 not found, 8 deadline, 1 anything else.
constexpr std::array kErrorTable{
    error_info{error_kind::kInvalidRequest, "invalid_request", 400,
               run_state::kNotRun, retry_advice::kNever, 2},
    error_info{error_kind::kInvalidSettings, "invalid_settings", 500,
               run_state::kNotRun, retry_advice::kNever, 3},
    error_info{error_kind::kInvalidConfiguration, "invalid_configuration", 422,
               run_state::kNotRun, retry_advice::kNever, 3},
    error_info{error_kind::kNoRoute, "no_route", 404, run_state::kNotRun,
               retry_advice::kNever, 7},
    error_info{error_kind::kUnauthenticated, "unauthenticated", 401,
               run_state::kNotRun, retry_advice::kNever, 3},
    error_info{error_kind::kNotFound, "not_found", 404, run_state::kNotRun,
               retry_advice::kNever, 7},
    error_info{error_kind::kHeadersTooLarge, "headers_too_large", 431,
               run_state::kNotRun, retry_advice::kNever, 3},
    error_info{error_kind::kBodyTooLarge, "body_too_large", 413,
               run_state::kNotRun, retry_advice::kNever, 3},
    error_info{error_kind::kConfigUnknown, "config_unknown", 503,
               run_state::kNotRun, retry_advice::kRetryLater, 5},
    error_info{error_kind::kNoBackendServer, "no_backend_server", 503,
               run_state::kNotRun, retry_advice::kRetryLater, 1},
    error_info{error_kind::kDraining, "draining", 503, run_state::kNotRun,
               retry_advice::kRetry, 1},
    error_info{error_kind::kOverloaded, "overloaded", 503, run_state::kNotRun,
               retry_advice::kRetryLater, 1},
    error_info{error_kind::kQuotaExceeded, "quota_exceeded", 429,
               run_state::kNotRun, retry_advice::kRetryLater, 1},
    error_info{error_kind::kDeadlineExceeded, "deadline_exceeded", 504,
               run_state::kUnknown, retry_advice::kRetryLater, 8},
    error_info{error_kind::kCancelled, "cancelled", 499, run_state::kUnknown,
               retry_advice::kRetry, 1},
    error_info{error_kind::kBackendFailed, "backend_failed", 502,
               run_state::kUnknown, retry_advice::kRetryLater, 1},
    error_info{error_kind::kAnswerCutShort, "answer_cut_short", 502,
               run_state::kUnknown, retry_advice::kRetryLater, 1},
    error_info{error_kind::kAnswerMismatch, "answer_mismatch", 502,
               run_state::kUnknown, retry_advice::kRetryLater, 1},
    error_info{error_kind::kOutcomeUnknown, "outcome_unknown", 504,
               run_state::kUnknown, retry_advice::kCheckOutcome, 6},
    error_info{error_kind::kPoisonSuspected, "poison_suspected", 503,
               run_state::kNotRun, retry_advice::kNever, 1},
    error_info{error_kind::kLedgerUnavailable, "ledger_unavailable", 503,
               run_state::kUnknown, retry_advice::kRetryLater, 5},
    error_info{error_kind::kKeyInProgress, "key_in_progress", 409,
               run_state::kUnknown, retry_advice::kCheckOutcome, 4},
    error_info{error_kind::kConflict, "conflict", 409, run_state::kNotRun,
               retry_advice::kNever, 4},
    error_info{error_kind::kPlatformUnavailable, "platform_unavailable", 503,
               run_state::kUnknown, retry_advice::kRetryLater, 5},
    error_info{error_kind::kPeerUnreachable, "peer_unreachable", 503,
               run_state::kNotRun, retry_advice::kRetry, 1},
    error_info{error_kind::kProtocolError, "protocol_error", 502,
               run_state::kUnknown, retry_advice::kNever, 1},
    error_info{error_kind::kInternal, "internal", 500, run_state::kUnknown,
               retry_advice::kRetryLater, 1},
};

constexpr name_table<run_state, 3> kRunStateNames{{{
    {run_state::kNotRun, "not_run"},
    {run_state::kRan, "ran"},
    {run_state::kUnknown, "unknown"},
}}};

constexpr name_table<retry_advice, 4> kRetryAdviceNames{{{
    {retry_advice::kNever, "never"},
    {retry_advice::kRetry, "retry"},
    {retry_advice::kRetryLater, "retry_later"},
    {retry_advice::kCheckOutcome, "check_outcome"},
}}};

}  // namespace

const error_info& GetErrorInfo(error_kind kind) {
  const auto index = static_cast<std::size_t>(kind);
  assert(index < kErrorTable.size() && kErrorTable[index].kind == kind);
  return kErrorTable[index];
}

std::span<const error_info> ErrorTable() { return kErrorTable; }

std::optional<error_kind> FindErrorKind(std::string_view name) {
  for (const auto& info : kErrorTable) {
    if (info.name == name) return info.kind;
  }
  return std::nullopt;
}

std::string_view RunStateName(run_state state) {
  return kRunStateNames.Name(state);
}

std::optional<run_state> FindRunState(std::string_view name) {
  return kRunStateNames.Find(name);
}

std::string_view RetryAdviceName(retry_advice advice) {
  return kRetryAdviceNames.Name(advice);
}

}  // namespace pomelohall
