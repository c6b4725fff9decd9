#ifndef POMELOHALL_MESSAGES_HEX_H_
#define POMELOHALL_MESSAGES_HEX_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pomelohall {

inline constexpr std::size_t kSha256Bytes = 32;

/// Returns the bytes as lower-case hexadecimal digits.
inline std::string BytesToHex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const char c : bytes) {
    const auto byte = static_cast<std::uint8_t>(c);
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 0xFU];
  }
  return text;
}

/// The inverse of BytesToHex(). Any character other than a lower-case
/// hexadecimal digit counts as 0.
inline std::string HexToBytes(std::string_view text) {
  const auto digit = [](char c) -> unsigned {
    if (c >= '0' && c <= '9') return static_cast<unsigned>(c - '0');
    if (c >= 'a' && c <= 'f') return static_cast<unsigned>(c - 'a') + 10U;
    return 0;
  };
  std::string bytes;
  bytes.reserve(text.size() / 2);
  for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
    bytes += static_cast<char>((digit(text[i]) << 4U) | digit(text[i + 1]));
  }
  return bytes;
}

}  // namespace pomelohall

#endif  // POMELOHALL_MESSAGES_HEX_H_
