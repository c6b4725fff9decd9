#ifndef POMELOHALL_TESTS_MATRIX_CALLS_SCENARIO_H_
#define POMELOHALL_TESTS_MATRIX_CALLS_SCENARIO_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "../matrix.h"
#include "model/configuration.h"

namespace pomelohall::matrix::calls {

/// Source of a request's idempotency key.
enum class key_source { kNone, kIssued, kChosen };

/// Process that is shut down gracefully during the observed request.
enum class planned_stop { kNone, kOwner, kEntry };

/// Parameters of one simulated run.
struct scenario {
  /// Step at which the faults are injected, "received" to "answering".
  std::string step = {};
  fault_pair faults = {};
  class_kind kind = class_kind::kLookup;
  key_source key = key_source::kNone;
  planned_stop stop = planned_stop::kNone;
  /// 0 to 3: selects the process that fails (entry, owner, backend server,
  /// home) and the number of messages before the one that a message fault hits.
  std::size_t variant = 0;
  /// Whether the observed request crashes every server that runs it.
  bool poison = false;
  std::size_t owners = 2;
  std::uint64_t seed = 0;
  std::string defect = {};
};

/// Simulates a caller, two entry daemons, a home daemon for keys, the platform,
/// and owners with their backend servers. Returns all violations of guarantees.
std::vector<violation> RunScenario(const scenario& options);

}  // namespace pomelohall::matrix::calls

#endif  // POMELOHALL_TESTS_MATRIX_CALLS_SCENARIO_H_
