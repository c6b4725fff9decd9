#include "tenancy/api_key.h"

#include <openssl/sha.h>

#include <algorithm>
#include <charconv>
#include <cstddef>

#include "base/ascii_text.h"

namespace pomelohall {
namespace {

constexpr std::string_view kScheme = "Bearer";

bool IsVisible(char character) { return character > ' ' && character < '\x7f'; }

}  // namespace

api_key_digest DigestApiKey(std::string_view key) {
  api_key_digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         digest.data());
  return digest;
}

std::string EncodeApiKeyDigest(const api_key_digest& digest) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const auto byte : digest) {
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 15U]);
  }
  return text;
}

std::optional<api_key_digest> DecodeApiKeyDigest(std::string_view text) {
  api_key_digest digest{};
  if (text.size() != 2 * digest.size()) return std::nullopt;
  for (std::size_t i = 0; i < digest.size(); ++i) {
    const auto* const first = text.data() + 2 * i;
    const auto parsed = std::from_chars(first, first + 2, digest[i], 16);
    if (parsed.ec != std::errc() || parsed.ptr != first + 2)
      return std::nullopt;
  }
  return digest;
}

std::optional<std::string_view> ParseBearerToken(std::string_view field) {
  if (!EqualsIgnoringCase(field.substr(0, kScheme.size()), kScheme))
    return std::nullopt;
  field.remove_prefix(kScheme.size());
  const auto start = field.find_first_not_of(' ');
  if (start == 0 || start == std::string_view::npos) return std::nullopt;
  const auto key = field.substr(start);
  if (!std::all_of(key.begin(), key.end(), IsVisible)) return std::nullopt;
  return key;
}

}  // namespace pomelohall
