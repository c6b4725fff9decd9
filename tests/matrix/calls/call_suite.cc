#include <array>
#include <string>
#include <utility>
#include <vector>

#include "../matrix.h"
#include "scenario.h"

namespace pomelohall::matrix {
namespace {

using calls::key_source;
using calls::planned_stop;
using calls::scenario;

constexpr std::array kSteps{"received", "queued", "sent", "running",
                            "answering"};

constexpr std::array kFaults{
    fault::kKill,           fault::kRestart,           fault::kFreeze,
    fault::kMessageLost,    fault::kMessageDuplicated, fault::kMessageDelayed,
    fault::kMessageCrossed, fault::kPlatformDown,      fault::kPlatformSlow,
    fault::kAnswerLost,     fault::kPartition,         fault::kAnswerLate,
    fault::kAnswerCrossed,  fault::kAnswerCutShort};

constexpr std::size_t kVariants = 4;
constexpr std::size_t kPoisonOwners = 8;

struct work_variant {
  class_kind kind;
  key_source key;
};

constexpr std::array kWorkVariants{
    work_variant{class_kind::kLookup, key_source::kNone},
    work_variant{class_kind::kDownload, key_source::kNone},
    work_variant{class_kind::kTransaction, key_source::kNone},
    work_variant{class_kind::kTransaction, key_source::kIssued},
    work_variant{class_kind::kTransaction, key_source::kChosen}};

void RunAndAppend(std::vector<violation>& all, const scenario& run) {
  for (auto& found : calls::RunScenario(run)) {
    found.detail += " [step " + run.step + ", kind " +
                    std::string(ClassKindName(run.kind)) + ", key source " +
                    std::to_string(static_cast<int>(run.key)) + ", stop " +
                    std::to_string(static_cast<int>(run.stop)) + ", variant " +
                    std::to_string(run.variant) + ", seed " +
                    std::to_string(run.seed) + "]";
    all.push_back(std::move(found));
  }
}

/// Runs one step under one pair of faults for every class kind and key source,
/// every failing process and every process that is shut down gracefully.
std::vector<violation> RunCell(scenario base, std::uint64_t seed,
                               std::string_view defect) {
  std::vector<violation> all;
  base.defect = defect;
  for (base.variant = 0; base.variant < kVariants; ++base.variant) {
    base.seed = seed + base.variant / 2;
    for (const auto& work : kWorkVariants) {
      base.kind = work.kind;
      base.key = work.key;
      base.stop = planned_stop::kNone;
      RunAndAppend(all, base);
    }
    for (const auto stop : {planned_stop::kOwner, planned_stop::kEntry}) {
      base.kind = class_kind::kTransaction;
      base.key = key_source::kIssued;
      base.stop = stop;
      RunAndAppend(all, base);
    }
  }
  return all;
}

/// Runs the scenarios of a request that crashes every server that runs it.
std::vector<violation> RunPoisonCell(scenario base, std::uint64_t seed,
                                     std::string_view defect) {
  std::vector<violation> all;
  base.defect = defect;
  base.poison = true;
  base.owners = kPoisonOwners;
  for (base.variant = 0; base.variant < kVariants; ++base.variant) {
    base.seed = seed + base.variant / 2;
    for (const auto& work : kWorkVariants) {
      base.kind = work.kind;
      base.key = work.key;
      RunAndAppend(all, base);
    }
  }
  return all;
}

cell MakeCallCell(const std::string& step, fault_pair faults) {
  return {.step = step,
          .faults = faults,
          .checked = {guarantee::kWholeAnswer, guarantee::kNotRunTrue,
                      guarantee::kAtMostOnce, guarantee::kDrainQuick,
                      guarantee::kGracefulStop},
          .run = [step, faults](std::uint64_t seed, std::string_view defect) {
            return RunCell({.step = step, .faults = faults}, seed, defect);
          }};
}

cell MakePoisonCell(const std::string& step, fault_pair faults) {
  return {.step = step + " (poison)",
          .faults = faults,
          .checked = {guarantee::kWholeAnswer, guarantee::kNotRunTrue,
                      guarantee::kAtMostOnce},
          .run = [step, faults](std::uint64_t seed, std::string_view defect) {
            return RunPoisonCell({.step = step, .faults = faults}, seed,
                                 defect);
          }};
}

/// Calls `add` without a fault, with each fault once and twice, and with each
/// pair of faults.
template <typename Add>
void ForAllFaults(Add add) {
  add(fault_pair{});
  for (std::size_t i = 0; i < kFaults.size(); ++i) {
    add(fault_pair{kFaults[i], fault::kNone});
    for (std::size_t j = i; j < kFaults.size(); ++j) {
      add(fault_pair{kFaults[i], kFaults[j]});
    }
  }
}

}  // namespace

suite CallSuite() {
  suite all{.name = "calls", .cells = {}, .defects = {}, .not_covered = {}};
  for (const auto* step : kSteps) {
    ForAllFaults([&](fault_pair faults) {
      all.cells.push_back(MakeCallCell(step, faults));
    });
  }
  all.cells.push_back(MakePoisonCell("sent", {}));
  for (const auto which : kFaults) {
    all.cells.push_back(MakePoisonCell("sent", {which, fault::kNone}));
    all.cells.push_back(MakePoisonCell("sent", {which, which}));
  }
  all.defects = {{"accept_crossed_answer", guarantee::kWholeAnswer},
                 {"short_answer_is_whole", guarantee::kWholeAnswer},
                 {"no_quarantine", guarantee::kWholeAnswer},
                 {"not_run_after_sent", guarantee::kNotRunTrue},
                 {"unavailable_is_not_run", guarantee::kNotRunTrue},
                 {"retry_after_sent", guarantee::kAtMostOnce},
                 {"forget_granted_key", guarantee::kAtMostOnce},
                 {"release_without_holder", guarantee::kAtMostOnce},
                 {"ignore_drain", guarantee::kDrainQuick},
                 {"exit_without_waiting", guarantee::kGracefulStop}};
  all.not_covered = {
      "message_duplicated between entry, owner and backend server: TCP carries "
      "the bytes of a connection once; duplicated requests of callers with a "
      "key, claims and suspect events are covered",
      "operator_race: no step of a call changes the configuration"};
  return all;
}

}  // namespace pomelohall::matrix
