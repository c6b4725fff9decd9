#ifndef POMELOHALL_BASE_NAME_TABLE_H_
#define POMELOHALL_BASE_NAME_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace pomelohall {

/// An enumerator and its name in messages, settings and logs.
template <typename Enum>
struct named_value {
  Enum value;
  std::string_view name;
};

/// A constant bidirectional mapping between enumerators and names.
///
/// Example:
/// @code
/// constexpr name_table<color, 2> kColorNames{{{
///     {color::kRed, "red"}, {color::kBlue, "blue"}}}};
/// kColorNames.Name(color::kRed);   // "red"
/// kColorNames.Find("blue");        // color::kBlue
/// @endcode
template <typename Enum, std::size_t Size>
struct name_table {
  std::array<named_value<Enum>, Size> entries;

  /// Returns the name of `value`, or "?" for a value outside the table.
  constexpr std::string_view Name(Enum value) const {
    for (const auto& entry : entries) {
      if (entry.value == value) return entry.name;
    }
    return "?";
  }

  /// Returns the enumerator named `name`, or nullopt.
  constexpr std::optional<Enum> Find(std::string_view name) const {
    for (const auto& entry : entries) {
      if (entry.name == name) return entry.value;
    }
    return std::nullopt;
  }
};

}  // namespace pomelohall

#endif  // POMELOHALL_BASE_NAME_TABLE_H_
