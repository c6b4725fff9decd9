#ifndef POMELOHALL_SIDECAR_SRC_CONFIG_CODEC_H_
#define POMELOHALL_SIDECAR_SRC_CONFIG_CODEC_H_

#include <optional>
#include <string>

#include "mesh/config_difference.h"

namespace pomelohall {

// JSON that daemons exchange about configurations. Decoding returns nothing if
// the text has another form.

std::string EncodeDigest(const config_digest& digest);
std::optional<config_digest> DecodeDigest(const std::string& text);

// A difference, and the revision of the store's object that it leads to.
struct revised_difference {
  std::uint64_t revision = 0;
  config_difference difference;
};

std::string EncodeDifference(const revised_difference& message);
std::optional<revised_difference> DecodeDifference(const std::string& text);

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_CONFIG_CODEC_H_
