#ifndef POMELOHALL_SIDECAR_SRC_CONFIG_CODEC_H_
#define POMELOHALL_SIDECAR_SRC_CONFIG_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "config_confirmation.h"
#include "mesh/config_difference.h"

namespace pomelohall {

// Encoding of the configuration messages between daemons, in JSON but for the
// confirmation. Decoding returns std::nullopt if the text is malformed.

std::string EncodeDigest(const config_digest& digest);
std::optional<config_digest> DecodeDigest(const std::string& text);

// A configuration difference and the revision of the store object that results
// from applying it.
struct config_update {
  store_revision revision = {};
  config_difference difference;
};

std::string EncodeUpdate(const config_update& message);
std::optional<config_update> DecodeUpdate(const std::string& text);

// A header field with the revision of a confirmation and its age at `now`, as
// daemons share no clock.
std::string EncodeConfirmation(const config_confirmation& confirmation,
                               instant now);
// @param sent_at When the text was encoded, or earlier.
std::optional<config_confirmation> DecodeConfirmation(std::string_view text,
                                                      instant sent_at);

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_CONFIG_CODEC_H_
