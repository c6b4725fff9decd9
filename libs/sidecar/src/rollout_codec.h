#ifndef POMELOHALL_SIDECAR_SRC_ROLLOUT_CODEC_H_
#define POMELOHALL_SIDECAR_SRC_ROLLOUT_CODEC_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "rollout/rollout_record.h"
#include "rollout/version_report.h"

namespace pomelohall {

// A roll-out in messages between daemons and in records of members.
nlohmann::json ToJson(const rollout_record& record);
// Returns nothing if `value` is no such record.
std::optional<rollout_record> ParseRollout(const nlohmann::json& value);

// Values of kMeshRolloutField and kMeshRolloutNoticeField.
std::string EncodeRollouts(const std::vector<rollout_record>& records);
// Malformed records are left out.
std::vector<rollout_record> DecodeRollouts(const std::string& text);

// Value of kMeshVersionReportField.
std::string EncodeVersionReport(const version_report& report);
std::optional<version_report> DecodeVersionReport(const std::string& text);

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_ROLLOUT_CODEC_H_
