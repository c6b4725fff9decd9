#include <string>
#include <vector>

#include "matrix/control/fault_plan.h"
#include "matrix/control/scenario.h"
#include "matrix/matrix.h"

namespace pomelohall::matrix {
namespace {

std::vector<guarantee> CheckedGuarantees(const std::string& step) {
  std::vector<guarantee> guarantees{
      guarantee::kNoRegress, guarantee::kNoDangling, guarantee::kWholeVersion,
      guarantee::kInForce};
  if (step == "leave") guarantees.push_back(guarantee::kDrainQuick);
  return guarantees;
}

// Returns no fault, each fault once and twice, and all pairs of faults.
std::vector<fault_pair> FaultCombinations() {
  std::vector<fault_pair> pairs{{}};
  const auto& faults = ControlFaults();
  for (std::size_t i = 0; i < faults.size(); ++i) {
    pairs.push_back({.first = faults[i], .second = fault::kNone});
    for (std::size_t j = i; j < faults.size(); ++j) {
      pairs.push_back({.first = faults[i], .second = faults[j]});
    }
  }
  return pairs;
}

// Variants of a cell differ in timing and in the affected members. Cells with
// restarts have more variants, and most if the platform does not answer: only a
// restart can return a daemon to an older version, and reading a current head
// prevents it.
constexpr std::uint64_t kDefaultVariants = 1;
constexpr std::uint64_t kRestartVariants = 3;
constexpr std::uint64_t kUnansweredRestartVariants = 16;

std::uint64_t VariantCount(const std::string& step, fault_pair faults) {
  const auto has = [&](fault which) {
    return faults.first == which || faults.second == which;
  };
  if (step != "restart" && !has(fault::kRestart)) return kDefaultVariants;
  const bool unanswered = has(fault::kPlatformDown) || has(fault::kPartition) ||
                          has(fault::kAnswerLost);
  const bool version_changing = step == "stage" || step == "put_into_force";
  return unanswered && version_changing ? kUnansweredRestartVariants
                                        : kRestartVariants;
}

std::vector<violation> RunVariants(const std::string& step, fault_pair faults,
                                   std::uint64_t seed,
                                   std::string_view defect) {
  for (std::uint64_t i = 0; i < VariantCount(step, faults); ++i) {
    auto violations = RunScenario(step, faults, seed * 1000 + i, defect);
    if (!violations.empty()) return violations;
  }
  return {};
}

}  // namespace

suite ControlSuite() {
  suite control{
      .name = "control",
      .cells = {},
      .defects = {{"no_floor", guarantee::kNoRegress},
                  {"no_quorum", guarantee::kNoRegress},
                  {"silent_removal", guarantee::kNoDangling},
                  {"partial_stage", guarantee::kWholeVersion},
                  {"keep_ready_on_drain", guarantee::kDrainQuick},
                  {"no_repair", guarantee::kInForce}},
      .not_covered = {"drain_quick under kill, restart and freeze: the leaving "
                      "process may not leave as planned",
                      "the whole fault table in one run: at most two faults "
                      "at once in a cell"}};
  for (const auto& step : ControlSteps()) {
    for (const auto& faults : FaultCombinations()) {
      control.cells.push_back(
          {.step = step,
           .faults = faults,
           .checked = CheckedGuarantees(step),
           .run = [step, faults](std::uint64_t seed, std::string_view defect) {
             return RunVariants(step, faults, seed, defect);
           }});
    }
  }
  return control;
}

}  // namespace pomelohall::matrix
