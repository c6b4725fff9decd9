#ifndef POMELOHALL_TESTS_MATRIX_CALLS_NETWORK_H_
#define POMELOHALL_TESTS_MATRIX_CALLS_NETWORK_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "journal.h"
#include "ledger/key_ledger.h"
#include "quarantine/quarantine.h"
#include "scenario.h"
#include "world.h"

namespace pomelohall::matrix::calls {

inline constexpr std::string_view kService = "orders";
inline constexpr std::string_view kWorkClass = "work";
/// From the start of a poison request to the crash of its server.
inline constexpr duration kCrashTime{1'000};

inline constexpr std::size_t kObserved = 0;  ///< Number of that request.

/// One send of a request by the caller.
struct caller_try {
  std::size_t request = 0;
  std::size_t number = 0;
  instant deadline;
};

/// A call as an entry daemon forwards it to an owner.
struct forwarded_call {
  std::string call_id;
  std::uint32_t attempt = 0;
  caller_try origin;
  process_id entry = 0;
  process_id owner = 0;
  instant sent_at = {};  ///< To the backend server; set by the owner.

  std::string Connection() const {
    return call_id + "/" + std::to_string(attempt);
  }
};

/// Operation on an idempotency key.
enum class claim_op { kGrant, kComplete, kCompleteNotKept, kRelease };

/// What the processes share: the world, the journal, and how to reach each
/// other. The functions are set by run().
struct network {
  network(const scenario& settings, std::uint64_t seed)
      : options(settings), clock(seed) {}

  bool Defect(std::string_view name) const { return options.defect == name; }

  const scenario& options;
  world clock;
  journal records;

  process_id caller = 0;
  process_id home = 0;
  process_id platform = 0;
  std::vector<process_id> entries;
  std::vector<process_id> owners;
  std::vector<process_id> backends;  ///< Parallel to `owners`.

  instant platform_down_until{};
  instant platform_slow_until{};
  bool lose_platform_answer = false;  ///< The next one, after its effect.
  std::set<fault> answer_faults;  ///< For the next answer of the observed one.

  /// Reports that the observed request reached a step.
  std::function<void(std::string_view step, const caller_try& origin,
                     process_id entry, std::optional<process_id> owner)>
      reached;
  std::function<void(process_id owner, const forwarded_call& call)> forward;
  std::function<void(process_id owner, const forwarded_call& call)> cancel;
  std::function<void(const forwarded_call& call, std::string_view echoed)>
      answer_head;
  std::function<void(const forwarded_call& call, const std::string& part)>
      answer_part;
  std::function<void(const forwarded_call& call)> answer_end;
  std::function<void(const forwarded_call& call)> answer_cut;
  std::function<void(const forwarded_call& call, const error& reason)> refuse;
  std::function<void(const suspect_event& event, process_id from)> tell_suspect;
  std::function<void(duration delay)> publish;
};

}  // namespace pomelohall::matrix::calls

#endif  // POMELOHALL_TESTS_MATRIX_CALLS_NETWORK_H_
