#include "base/digest.h"

#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace pomelohall {

std::string Sha256Hex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest.data());
  std::string text;
  text.reserve(digest.size() * 2);
  for (const unsigned char byte : digest) {
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 0x0FU]);
  }
  return text;
}

std::uint64_t FastHash(std::string_view bytes, std::uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

}  // namespace pomelohall
