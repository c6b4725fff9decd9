#ifndef POMELOHALL_SIDECAR_SRC_LOAD_CODEC_H_
#define POMELOHALL_SIDECAR_SRC_LOAD_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "mesh/work_queue.h"

namespace pomelohall {

// Value of kMeshLoadField.
std::string EncodeLoad(const work_load& load);

// Returns nothing for a malformed value.
std::optional<work_load> DecodeLoad(std::string_view text);

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_LOAD_CODEC_H_
