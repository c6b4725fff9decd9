#ifndef POMELOHALL_SIDECAR_SRC_LOAD_CODEC_H_
#define POMELOHALL_SIDECAR_SRC_LOAD_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "mesh/work_queue.h"

namespace pomelohall {

// Returns the value of kMeshLoadField.
std::string EncodeLoad(const work_load& load);

// Returns std::nullopt if the value is malformed.
std::optional<work_load> DecodeLoad(std::string_view text);

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_LOAD_CODEC_H_
