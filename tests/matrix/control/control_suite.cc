#include <string>
#include <vector>

#include "matrix/control/fault_plan.h"
#include "matrix/control/scenario.h"
#include "matrix/matrix.h"

namespace pomelohall::matrix {
namespace {

std::vector<promise> Checked(const std::string& step) {
  std::vector<promise> promises{promise::kNoRegress, promise::kNoDangling,
                                promise::kWholeVersion, promise::kInForce};
  if (step == "leave") promises.push_back(promise::kDrainQuick);
  return promises;
}

// No fault, each fault alone, each twice and all pairs.
std::vector<fault_pair> Combinations() {
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

// Variants of a cell differ in timing and in the members that are hit. Cells
// with restarts get more, above all while the platform does not answer: only a
// restart can bring an older version back, and a fresh head prevents it.
constexpr std::uint64_t kVariants = 1;
constexpr std::uint64_t kRestartVariants = 3;
constexpr std::uint64_t kUnansweredRestartVariants = 16;

std::uint64_t Variants(const std::string& step, fault_pair faults) {
  const auto has = [&](fault which) {
    return faults.first == which || faults.second == which;
  };
  if (step != "restart" && !has(fault::kRestart)) return kVariants;
  const bool unanswered = has(fault::kPlatformDown) || has(fault::kPartition) ||
                          has(fault::kAnswerLost);
  const bool moving = step == "stage" || step == "put_into_force";
  return unanswered && moving ? kUnansweredRestartVariants : kRestartVariants;
}

std::vector<violation> RunVariants(const std::string& step, fault_pair faults,
                                   std::uint64_t seed,
                                   std::string_view defect) {
  for (std::uint64_t i = 0; i < Variants(step, faults); ++i) {
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
      .defects = {{"no_floor", promise::kNoRegress},
                  {"no_quorum", promise::kNoRegress},
                  {"silent_removal", promise::kNoDangling},
                  {"partial_stage", promise::kWholeVersion},
                  {"keep_ready_on_drain", promise::kDrainQuick},
                  {"no_repair", promise::kInForce}},
      .not_covered = {"drain_quick under kill, restart and freeze: the leaving "
                      "process may not leave as planned",
                      "the whole fault table in one run: at most two faults "
                      "at once in a cell"}};
  for (const auto& step : ControlSteps()) {
    for (const auto& faults : Combinations()) {
      control.cells.push_back(
          {.step = step,
           .faults = faults,
           .checked = Checked(step),
           .run = [step, faults](std::uint64_t seed, std::string_view defect) {
             return RunVariants(step, faults, seed, defect);
           }});
    }
  }
  return control;
}

}  // namespace pomelohall::matrix
