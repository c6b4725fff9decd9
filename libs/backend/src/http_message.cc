#include "backend/http_message.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <utility>

#include "base/ascii_text.h"

namespace pomelohall {
namespace {

bool StartsWithIgnoringCase(std::string_view text, std::string_view prefix) {
  return text.size() >= prefix.size() &&
         EqualsIgnoringCase(text.substr(0, prefix.size()), prefix);
}

// Returns the options listed in the `Connection` fields, in lower case and
// sorted: a caller may list as many as its header can hold.
std::vector<std::string> ConnectionOptions(const http_fields& fields) {
  std::vector<std::string> options;
  for (const auto& field : fields) {
    if (!EqualsIgnoringCase(field.name, "Connection")) continue;
    std::string_view rest = field.value;
    while (!rest.empty()) {
      const auto comma = rest.find(',');
      options.push_back(ToLowerCase(TrimBlanks(rest.substr(0, comma))));
      if (comma == std::string_view::npos) break;
      rest.remove_prefix(comma + 1);
    }
  }
  std::sort(options.begin(), options.end());
  return options;
}

}  // namespace

const std::string* FindField(const http_fields& fields, std::string_view name) {
  for (const auto& field : fields) {
    if (EqualsIgnoringCase(field.name, name)) return &field.value;
  }
  return nullptr;
}

void SetField(http_fields& fields, std::string_view name, std::string value) {
  RemoveField(fields, name);
  fields.push_back({std::string(name), std::move(value)});
}

void RemoveField(http_fields& fields, std::string_view name) {
  std::erase_if(fields, [name](const http_field& field) {
    return EqualsIgnoringCase(field.name, name);
  });
}

void RemoveHopByHopFields(http_fields& fields) {
  constexpr std::array<std::string_view, 8> kHopByHopNames{
      "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
      "Trailer",    "Transfer-Encoding", "Upgrade",          "Expect"};
  const auto options = ConnectionOptions(fields);
  std::erase_if(fields, [&](const http_field& field) {
    const auto matches = [&](std::string_view name) {
      return EqualsIgnoringCase(field.name, name);
    };
    return std::any_of(kHopByHopNames.begin(), kHopByHopNames.end(), matches) ||
           (!options.empty() &&
            std::binary_search(options.begin(), options.end(),
                               ToLowerCase(field.name)));
  });
}

void RemovePomelohallFields(http_fields& fields) {
  std::erase_if(fields, [](const http_field& field) {
    return StartsWithIgnoringCase(field.name, "Pomelohall-");
  });
}

bool IsVisibleText(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c < '\x7F';
  });
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc{} || parsed.ptr != end) return std::nullopt;
  return value;
}

}  // namespace pomelohall
