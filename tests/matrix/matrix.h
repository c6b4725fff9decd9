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

/// The guarantees listed in docs/design.md, section 1.1.
enum class guarantee {
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

/// Returns the name of a guarantee, for example "no_regress".
std::string_view GuaranteeName(guarantee which);

/// Injected faults, the rows of the printed table.
enum class fault {
  kNone,
  kKill,
  kRestart,
  kFreeze,  ///< Pause and resume.
  kMessageLost,
  kMessageDuplicated,
  kMessageDelayed,
  kMessageCrossed,
  kPlatformDown,
  kPlatformSlow,
  kAnswerLost,  ///< After the write took effect.
  kPartition,
  kOperatorRace,
  kAnswerLate,
  kAnswerCrossed,
  kAnswerCutShort,
};

/// Returns the name of a fault, for example "message_lost".
std::string_view FaultName(fault which);

/// Up to two faults at a step. `second` is kNone for a single fault.
struct fault_pair {
  fault first = fault::kNone;
  fault second = fault::kNone;
};

/// A violation of a guarantee detected in a cell.
struct violation {
  guarantee which;
  std::string detail;  ///< What was observed, with the seed and the step.
};

/// A cell of the matrix: a step under up to two faults. `run` executes the
/// production decision code and returns all violations. `defect` names a defect
/// to inject, "" for none; at least one cell must then report a violation of
/// the defect's guarantee.
struct cell {
  std::string step;  ///< For example "stage".
  fault_pair faults;
  std::vector<guarantee> checked;
  std::function<std::vector<violation>(std::uint64_t seed,
                                       std::string_view defect)>
      run;
};

/// A defect that can be injected, and the guarantee that it violates.
struct defect {
  std::string name;
  guarantee violates;
};

/// Cells and defects of one module. Each module has a function that returns its
/// suite and is called in matrix_main.cc.
struct suite {
  std::string name;
  std::vector<cell> cells;
  std::vector<defect> defects;
  /// Combinations of steps and faults that are not covered, with the reason.
  std::vector<std::string> not_covered;
};

/// Returns the cells of distribution, recovery, membership and acceptance
/// (tests/matrix/control/).
suite ControlSuite();

/// Returns the cells of the call steps received, queued, sent, running and
/// answering (tests/matrix/calls/).
suite CallSuite();

}  // namespace pomelohall::matrix

#endif  // POMELOHALL_TESTS_MATRIX_MATRIX_H_
