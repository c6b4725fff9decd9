#include "matrix/matrix.h"

#include "base/name_table.h"

namespace pomelohall::matrix {
namespace {

constexpr name_table<guarantee, 9> kGuaranteeNames{{{
    {guarantee::kNoRegress, "no_regress"},
    {guarantee::kNoDangling, "no_dangling"},
    {guarantee::kWholeVersion, "whole_version"},
    {guarantee::kWholeAnswer, "whole_answer"},
    {guarantee::kNotRunTrue, "not_run_true"},
    {guarantee::kAtMostOnce, "at_most_once"},
    {guarantee::kDrainQuick, "drain_quick"},
    {guarantee::kGracefulStop, "graceful_stop"},
    {guarantee::kInForce, "in_force"},
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

std::string_view GuaranteeName(guarantee which) {
  return kGuaranteeNames.Name(which);
}

std::string_view FaultName(fault which) { return kFaultNames.Name(which); }

}  // namespace pomelohall::matrix
