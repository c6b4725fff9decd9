#ifndef POMELOHALL_SIDECAR_SRC_LOAD_CODEC_H_
#define POMELOHALL_SIDECAR_SRC_LOAD_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mesh/work_queue.h"

namespace pomelohall {

// Returns the value of kMeshHeldField. A negative time counts as none.
std::string EncodeHeldTime(duration time);
// Returns nothing if `text` is no such value.
std::optional<duration> DecodeHeldTime(std::string_view text);

// Returns the value of kMeshLoadField.
std::string EncodeLoad(const work_load& load);

// Returns std::nullopt if the value is malformed.
std::optional<work_load> DecodeLoad(std::string_view text);

// Returns the fourth figure of the load that a backend server reports, if it
// has one: "running,waiting,slots[,percent]".
std::optional<double> DecodeWorkPercent(std::string_view text);

// Value of kMeshSpeedField.
std::string EncodePercent(double percent);
std::optional<double> DecodePercent(std::string_view text);

// Value of kMeshLoadsField.
std::string EncodeLoads(const std::vector<load_summary>& loads);
// Malformed entries end the list.
std::vector<load_summary> DecodeLoads(std::string_view text);

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_LOAD_CODEC_H_
