#ifndef POMELOHALL_SIDECAR_SRC_LOAD_CODEC_H_
#define POMELOHALL_SIDECAR_SRC_LOAD_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

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

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_LOAD_CODEC_H_
