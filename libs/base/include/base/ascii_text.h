#ifndef POMELOHALL_BASE_ASCII_TEXT_H_
#define POMELOHALL_BASE_ASCII_TEXT_H_

#include <algorithm>
#include <string>
#include <string_view>

namespace pomelohall {

/// Converts an ASCII letter to lower case, and no other character.
inline char ToLowerCase(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

inline std::string ToLowerCase(std::string_view text) {
  std::string lower(text);
  for (auto& c : lower) c = ToLowerCase(c);
  return lower;
}

/// Compares two texts, and ignores the case of ASCII letters only.
inline bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(
      left.begin(), left.end(), right.begin(), right.end(),
      [](char a, char b) { return ToLowerCase(a) == ToLowerCase(b); });
}

/// Removes the spaces and tabs at both ends.
inline std::string_view TrimBlanks(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const auto first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

}  // namespace pomelohall

#endif  // POMELOHALL_BASE_ASCII_TEXT_H_
