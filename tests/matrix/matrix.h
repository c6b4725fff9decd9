#ifndef POMELOHALL_TESTS_MATRIX_MATRIX_H_
#define POMELOHALL_TESTS_MATRIX_MATRIX_H_

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohall::matrix {

/// The promises of docs/design.md, section 1.1.
enum class promise {
  kNoRegress,
  kNoDangling,
  kWholeVersion,
  kWholeAnswer,
  kNotRunTrue,
  kAtMostOnce,
  kDrainQuick,
  kGracefulStop,
  kInForce,
};

/// Returns the name of a promise, for example "no_regress".
std::string_view PromiseName(promise which);

/// Faults, the columns of the matrix.
enum class fault {
  kNone,
  kKill,
  kRestart,
  kFreeze,  ///< Freeze and wake.
  kMessageLost,
  kMessageDuplicated,
  kMessageDelayed,
  kMessageCrossed,
  kPlatformDown,
  kPlatformSlow,
  kAnswerLost,  ///< Lost after the write took effect.
  kPartition,
  kOperatorRace,
  kAnswerLate,
  kAnswerCrossed,
  kAnswerCutShort,
};

/// Returns the name of a fault, for example "message_lost".
std::string_view FaultName(fault which);

/// One fault (`second` is kNone) or two faults at a step.
struct fault_pair {
  fault first = fault::kNone;
  fault second = fault::kNone;
};

/// A broken promise found in a cell.
struct violation {
  promise which;
  std::string detail;  ///< What was seen, with the seed and the step.
};

/// One cell: a step under a fault (or a pair). `run` executes the real decision
/// code and returns all violations. `defect` names a planted defect to enable
/// ("" for none); the cells must then report the promise that it breaks.
struct cell {
  std::string step;  ///< For example "stage".
  fault_pair faults;
  std::vector<promise> checked;
  std::function<std::vector<violation>(std::uint64_t seed,
                                       std::string_view defect)>
      run;
};

/// A planted defect and the promise whose row it must turn red.
struct defect {
  std::string name;
  promise breaks;
};

/// Cells and defects of one module. Every module has a function that returns
/// its suite; matrix_main.cc lists the functions.
struct suite {
  std::string name;
  std::vector<cell> cells;
  std::vector<defect> defects;
  /// Step and fault combinations that are not covered, with the reason.
  std::vector<std::string> not_covered;
};

/// Distribution, recovery, membership and acceptance (tests/matrix/control/).
suite ControlSuite();

/// Calls: received, queued, sent, running, answering (tests/matrix/calls/).
suite CallSuite();

}  // namespace pomelohall::matrix

#endif  // POMELOHALL_TESTS_MATRIX_MATRIX_H_
