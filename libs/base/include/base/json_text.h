#ifndef POMELOHALL_BASE_JSON_TEXT_H_
#define POMELOHALL_BASE_JSON_TEXT_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace pomelohall {

/// Nesting depth up to which JSON text of other programs is parsed. Copies and
/// serialization recurse once per level, so deeper text could exhaust the
/// stack. Valid objects have fewer than ten levels.
constexpr std::size_t kMaxJsonDepth = 64;

/// Parses JSON text of another program. Returns a discarded value, without
/// throwing, if the text is invalid, contains a number out of range, or is
/// nested more than kMaxJsonDepth levels deep.
nlohmann::json ParseJson(std::string_view text);

/// Returns the text of each element of a JSON array, or nullopt if `text` is
/// not one complete array. Elements are delimited but not parsed, so an element
/// that ParseJson() refuses does not affect the others.
std::optional<std::vector<std::string_view>> JsonElements(
    std::string_view text);

/// The members of a JSON object. They are delimited in one pass, but not
/// parsed, so a value that ParseJson() refuses does not affect the others.
/// Refers to the text.
class json_members {
 public:
  /// There are no members if `text` is not one complete object.
  explicit json_members(std::string_view text);

  /// Whether the text is one complete object.
  bool IsObject() const { return is_object_; }
  /// Returns the text of a member, empty if there is none. The last one of
  /// several members with the same name counts, as in ParseJson().
  std::string_view Find(std::string_view name) const;

 private:
  bool is_object_ = false;
  /// Quoted name and value.
  std::vector<std::pair<std::string_view, std::string_view>> members_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_BASE_JSON_TEXT_H_
