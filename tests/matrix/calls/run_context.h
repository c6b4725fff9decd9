#ifndef POMELOHALL_TESTS_MATRIX_CALLS_RUN_CONTEXT_H_
#define POMELOHALL_TESTS_MATRIX_CALLS_RUN_CONTEXT_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "call_history.h"
#include "ledger/key_ledger.h"
#include "quarantine/quarantine.h"
#include "scenario.h"
#include "simulation.h"

namespace pomelohall::matrix::calls {

inline constexpr std::string_view kService = "orders";
inline constexpr std::string_view kWorkClass = "work";
/// Time from the start of a poison request to the crash of its server.
inline constexpr duration kCrashTime{1'000};

/// Number of the request that the faults are injected into.
inline constexpr std::size_t kObservedRequest = 0;

/// One attempt of the caller to send a request.
struct caller_attempt {
  std::size_t request = 0;
  std::size_t number = 0;
  instant deadline;
};

/// A call forwarded by an entry daemon to an owner.
struct forwarded_call {
  std::string call_id;
  std::uint32_t attempt = 0;
  caller_attempt origin;
  process_id entry = 0;
  process_id owner = 0;
  instant sent_at = {};  ///< When the owner sent it to the backend server.

  std::string Connection() const {
    return call_id + "/" + std::to_string(attempt);
  }
};

/// Operations on idempotency keys.
enum class claim_op { kGrant, kComplete, kCompleteNotKept, kRelease };

/// State shared by the processes of a run: the simulation, the call history and
/// the functions by which the processes reach each other, which scenario_run
/// sets.
struct run_context {
  run_context(const scenario& settings, std::uint64_t seed)
      : options(settings), sim(seed) {}

  bool Defect(std::string_view name) const { return options.defect == name; }

  const scenario& options;
  simulation sim;
  call_history history;

  process_id caller = 0;
  process_id home = 0;
  process_id platform = 0;
  std::vector<process_id> entries;
  std::vector<process_id> owners;
  std::vector<process_id> backends;  ///< Parallel to `owners`.

  instant platform_down_until{};
  instant platform_slow_until{};
  /// Loses the answer to the next operation after it took effect.
  bool lose_platform_answer = false;
  std::set<fault> answer_faults;  ///< Of the observed request's next answer.

  /// Reports that the observed request reached a step.
  std::function<void(std::string_view step, const caller_attempt& origin,
                     process_id entry, std::optional<process_id> owner)>
      on_step_reached;
  std::function<void(process_id owner, const forwarded_call& call)> forward;
  std::function<void(process_id owner, const forwarded_call& call)> cancel;
  std::function<void(const forwarded_call& call, std::string_view echoed)>
      answer_head;
  std::function<void(const forwarded_call& call, const std::string& part)>
      answer_part;
  std::function<void(const forwarded_call& call)> answer_end;
  std::function<void(const forwarded_call& call)> answer_truncated;
  std::function<void(const forwarded_call& call, const error& reason)> refuse;
  std::function<void(const suspect_event& event, process_id from)>
      broadcast_suspect;
  std::function<void(duration delay)> publish;
};

}  // namespace pomelohall::matrix::calls

#endif  // POMELOHALL_TESTS_MATRIX_CALLS_RUN_CONTEXT_H_
