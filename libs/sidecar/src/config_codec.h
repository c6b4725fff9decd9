#ifndef POMELOHALL_SIDECAR_SRC_CONFIG_CODEC_H_
#define POMELOHALL_SIDECAR_SRC_CONFIG_CODEC_H_

#include <optional>
#include <string>

#include "mesh/config_difference.h"

namespace pomelohall {

// JSON encoding of the configuration messages between daemons. Decoding returns
// std::nullopt if the text is malformed.

std::string EncodeDigest(const config_digest& digest);
std::optional<config_digest> DecodeDigest(const std::string& text);

// A configuration difference and the revision of the store object that results
// from applying it.
struct config_update {
  std::uint64_t revision = 0;
  config_difference difference;
};

std::string EncodeUpdate(const config_update& message);
std::optional<config_update> DecodeUpdate(const std::string& text);

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_CONFIG_CODEC_H_
