#include "matrix/matrix.h"

#include "base/name_table.h"

namespace pomelohall::matrix {
namespace {

constexpr name_table<promise, 9> kPromiseNames{{{
    {promise::kNoRegress, "no_regress"},
    {promise::kNoDangling, "no_dangling"},
    {promise::kWholeVersion, "whole_version"},
    {promise::kWholeAnswer, "whole_answer"},
    {promise::kNotRunTrue, "not_run_true"},
    {promise::kAtMostOnce, "at_most_once"},
    {promise::kDrainQuick, "drain_quick"},
    {promise::kGracefulStop, "graceful_stop"},
    {promise::kInForce, "in_force"},
}}};

constexpr name_table<fault, 16> kFaultNames{{{
    {fault::kNone, "none"},
    {fault::kKill, "kill"},
    {fault::kRestart, "restart"},
    {fault::kFreeze, "freeze"},
    {fault::kMessageLost, "message_lost"},
    {fault::kMessageDuplicated, "message_duplicated"},
    {fault::kMessageDelayed, "message_delayed"},
    {fault::kMessageCrossed, "message_crossed"},
    {fault::kPlatformDown, "platform_down"},
    {fault::kPlatformSlow, "platform_slow"},
    {fault::kAnswerLost, "answer_lost"},
    {fault::kPartition, "partition"},
    {fault::kOperatorRace, "operator_race"},
    {fault::kAnswerLate, "answer_late"},
    {fault::kAnswerCrossed, "answer_crossed"},
    {fault::kAnswerCutShort, "answer_cut_short"},
}}};

}  // namespace

std::string_view PromiseName(promise which) {
  return kPromiseNames.Name(which);
}

std::string_view FaultName(fault which) { return kFaultNames.Name(which); }

}  // namespace pomelohall::matrix
