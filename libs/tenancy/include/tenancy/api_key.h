#ifndef POMELOHALL_TENANCY_API_KEY_H_
#define POMELOHALL_TENANCY_API_KEY_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pomelohall {

/// SHA-256 of an API key. Daemons keep digests only: a key is in no log line,
/// memory dump of a configuration or message between daemons, and the time of
/// a comparison tells nothing about a key.
using api_key_digest = std::array<std::uint8_t, 32>;

api_key_digest DigestApiKey(std::string_view key);

/// Returns the digest as 64 hexadecimal digits.
std::string EncodeApiKeyDigest(const api_key_digest& digest);

/// Returns nothing if `text` is not 64 hexadecimal digits.
std::optional<api_key_digest> DecodeApiKeyDigest(std::string_view text);

/// Returns the key of an Authorization field "Bearer KEY", or nothing if the
/// field has another form. The scheme may be in any case; one or more blanks
/// precede the key, which is made of visible ASCII characters.
std::optional<std::string_view> ParseBearerToken(std::string_view field);

}  // namespace pomelohall

#endif  // POMELOHALL_TENANCY_API_KEY_H_
