#include "base/json_text.h"

#include <algorithm>
#include <string>
#include <utility>

namespace pomelohall {
namespace {

using nlohmann::json;

// Finds the ends of values and strings in JSON text. Counts brackets without
// recursion and does not check anything within a value.
class json_scanner {
 public:
  explicit json_scanner(std::string_view text) : text_(text) {}

  bool AtEnd() {
    SkipSpace();
    return position_ == text_.size();
  }

  // Skips `character` if it is the next one.
  bool Consume(char character) {
    SkipSpace();
    if (position_ == text_.size() || text_[position_] != character) {
      return false;
    }
    ++position_;
    return true;
  }

  // Returns the next value, or an empty text if there is no complete one.
  std::string_view Value() {
    SkipSpace();
    const auto start = position_;
    std::size_t depth = 0;
    while (position_ < text_.size()) {
      const char next = text_[position_];
      if (next == '"') {
        if (!SkipString()) return {};
        if (depth == 0) break;
        continue;
      }
      if (next == '[' || next == '{') {
        max_depth_ = std::max(max_depth_, ++depth);
      } else if (next == ']' || next == '}') {
        if (depth == 0) break;
        --depth;
        if (depth == 0) {
          ++position_;
          break;
        }
      } else if (depth == 0 && (next == ',' || next == ':' || IsSpace(next))) {
        break;
      }
      ++position_;
    }
    if (depth > 0) return {};
    return text_.substr(start, position_ - start);
  }

  // Returns the largest nesting depth within the values so far.
  std::size_t MaxDepth() const { return max_depth_; }

 private:
  static bool IsSpace(char character) {
    return character == ' ' || character == '\n' || character == '\t' ||
           character == '\r';
  }

  void SkipSpace() {
    while (position_ < text_.size() && IsSpace(text_[position_])) ++position_;
  }

  bool SkipString() {
    for (++position_; position_ < text_.size(); ++position_) {
      if (text_[position_] == '\\') {
        ++position_;
      } else if (text_[position_] == '"') {
        ++position_;
        return true;
      }
    }
    return false;
  }

  std::string_view text_;
  std::size_t position_ = 0;
  std::size_t max_depth_ = 0;
};

// Compares the quoted text of a name, which may contain escapes, with a name.
bool IsName(std::string_view quoted, std::string_view name) {
  if (quoted.size() < 2 || quoted.front() != '"') return false;
  if (quoted.find('\\') == std::string_view::npos) {
    return quoted.substr(1, quoted.size() - 2) == name;
  }
  const auto value = ParseJson(quoted);
  return value.is_string() && value.get_ref<const std::string&>() == name;
}

}  // namespace

json ParseJson(std::string_view text) {
  json_scanner scanner(text);
  scanner.Value();
  if (scanner.MaxDepth() > kMaxJsonDepth) {
    return json(json::value_t::discarded);
  }
  return json::parse(text, nullptr, false);
}

std::optional<std::vector<std::string_view>> JsonElements(
    std::string_view text) {
  json_scanner scanner(text);
  std::vector<std::string_view> elements;
  if (!scanner.Consume('[')) return std::nullopt;
  if (!scanner.Consume(']')) {
    do {
      elements.push_back(scanner.Value());
      if (elements.back().empty()) return std::nullopt;
    } while (scanner.Consume(','));
    if (!scanner.Consume(']')) return std::nullopt;
  }
  if (!scanner.AtEnd()) return std::nullopt;
  return elements;
}

json_members::json_members(std::string_view text) {
  json_scanner scanner(text);
  std::vector<std::pair<std::string_view, std::string_view>> members;
  if (!scanner.Consume('{')) return;
  if (!scanner.Consume('}')) {
    do {
      const auto name = scanner.Value();
      if (name.empty() || !scanner.Consume(':')) return;
      const auto value = scanner.Value();
      if (value.empty()) return;
      members.emplace_back(name, value);
    } while (scanner.Consume(','));
    if (!scanner.Consume('}')) return;
  }
  if (!scanner.AtEnd()) return;
  is_object_ = true;
  members_ = std::move(members);
}

std::string_view json_members::Find(std::string_view name) const {
  const auto found = std::find_if(
      members_.rbegin(), members_.rend(),
      [&](const auto& member) { return IsName(member.first, name); });
  return found == members_.rend() ? std::string_view() : found->second;
}

}  // namespace pomelohall
