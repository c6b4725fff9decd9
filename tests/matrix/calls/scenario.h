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

/// Where the idempotency key of the observed request comes from.
enum class key_source { kNone, kIssued, kChosen };

/// Which process is stopped as planned while the request is under way.
enum class planned_stop { kNone, kOwner, kEntry };

/// One run of the harness.
struct scenario {
  std::string step = {};  ///< "received" to "answering".
  fault_pair faults = {};
  class_kind kind = class_kind::kLookup;
  key_source key = key_source::kNone;
  planned_stop stop = planned_stop::kNone;
  /// 0 to 3: the process that fails (entry, owner, backend server, home), and
  /// how many messages pass before the faulty one.
  std::size_t variant = 0;
  /// Whether the observed request crashes every server that runs it.
  bool poison = false;
  std::size_t owners = 2;
  std::uint64_t seed = 0;
  std::string defect = {};
};

/// Runs a caller, two entry daemons, a home of keys, a platform, and owners
/// with their backend servers in logical time, and returns the promises that
/// were broken.
std::vector<violation> RunScenario(const scenario& options);

}  // namespace pomelohall::matrix::calls

#endif  // POMELOHALL_TESTS_MATRIX_CALLS_SCENARIO_H_
