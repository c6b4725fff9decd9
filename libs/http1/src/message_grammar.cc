#include "message_grammar.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <system_error>

#include "base/ascii_text.h"

namespace pomelohall {
namespace {

constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
constexpr int kSwitchingProtocols = 101;

// Start of a status line, with "v" for the minor version and "ddd" for the
// status code.
constexpr std::string_view kStatusLineStart = "HTTP/1.v ddd ";
constexpr std::size_t kMinorVersionAt = 7;
constexpr std::size_t kStatusAt = 9;

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

bool IsHexDigit(char c) {
  return IsDigit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

bool IsBlank(char c) { return c == ' ' || c == '\t'; }

// Visible characters, blanks and bytes above 127.
bool IsText(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= 0x20 && byte != 0x7F);
}

// Any visible character or byte above 127: a target is passed on unchanged.
bool IsTargetText(char c) { return IsText(c) && !IsBlank(c); }

bool IsTokenCharacter(char c) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return IsDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         kMarks.find(c) != std::string_view::npos;
}

// Returns the fault of the first character that cannot be part of a reason or
// of a field's value.
std::optional<message_fault> CheckText(std::string_view text,
                                       message_fault fault) {
  const auto wrong = std::find_if_not(text.begin(), text.end(), IsText);
  if (wrong == text.end()) return std::nullopt;
  return *wrong == '\r' ? message_fault::kLineEnding : fault;
}

// Reads the extensions of a chunk:
//   *( BWS ";" BWS name [ BWS "=" BWS ( token / quoted-string ) ] )
class chunk_extension_reader {
 public:
  explicit chunk_extension_reader(std::string_view text) : text_(text) {}

  bool IsSound() {
    while (!text_.empty()) {
      SkipBlanks();
      if (!Skip(';')) return false;
      SkipBlanks();
      if (!SkipToken()) return false;
      const auto after_name = text_;
      SkipBlanks();
      if (!Skip('=')) {
        text_ = after_name;
        continue;
      }
      SkipBlanks();
      if (!SkipQuotedString() && !SkipToken()) return false;
    }
    return true;
  }

 private:
  void SkipBlanks() {
    while (!text_.empty() && IsBlank(text_.front())) text_.remove_prefix(1);
  }

  bool Skip(char expected) {
    if (text_.empty() || text_.front() != expected) return false;
    text_.remove_prefix(1);
    return true;
  }

  bool SkipToken() {
    const auto end =
        std::find_if_not(text_.begin(), text_.end(), IsTokenCharacter);
    const auto size = static_cast<std::size_t>(end - text_.begin());
    text_.remove_prefix(size);
    return size > 0;
  }

  bool SkipQuotedString() {
    if (!Skip('"')) return false;
    while (!text_.empty() && text_.front() != '"') {
      if (Skip('\\') && text_.empty()) return false;
      if (!IsText(text_.front())) return false;
      text_.remove_prefix(1);
    }
    return Skip('"');
  }

  std::string_view text_;
};

}  // namespace

std::optional<message_fault> CheckStatusLine(std::string_view line,
                                             bool complete) {
  constexpr auto kStart = kStatusLineStart;
  const auto size = std::min(line.size(), kStart.size());
  for (std::size_t i = 0; i < size; ++i) {
    const bool matches = kStart[i] == 'v'   ? line[i] == '0' || line[i] == '1'
                         : kStart[i] == 'd' ? IsDigit(line[i])
                                            : line[i] == kStart[i];
    if (!matches) return message_fault::kStatusLine;
  }
  if (size < kStart.size()) {
    if (complete) return message_fault::kStatusLine;
    return std::nullopt;
  }
  const auto status = StatusOf(line);
  if (status < kMinStatus || status > kMaxStatus) {
    return message_fault::kStatusCode;
  }
  if (status == kSwitchingProtocols) return message_fault::kProtocolSwitch;
  return CheckText(ReasonOf(line), message_fault::kStatusLine);
}

int MinorVersionOf(std::string_view status_line) {
  return status_line[kMinorVersionAt] - '0';
}

int StatusOf(std::string_view status_line) {
  const auto digit = [status_line](std::size_t i) {
    return status_line[kStatusAt + i] - '0';
  };
  return 100 * digit(0) + 10 * digit(1) + digit(2);
}

std::string_view ReasonOf(std::string_view status_line) {
  return status_line.substr(kStatusLineStart.size());
}

std::optional<message_fault> CheckRequestLine(std::string_view line) {
  const auto method_end = line.find(' ');
  const auto target_end = line.rfind(' ');
  if (method_end == std::string_view::npos || target_end == method_end) {
    return message_fault::kRequestLine;
  }
  const auto target = line.substr(method_end + 1, target_end - method_end - 1);
  const auto version = line.substr(target_end + 1);
  const bool sound = IsToken(line.substr(0, method_end)) && !target.empty() &&
                     std::all_of(target.begin(), target.end(), IsTargetText) &&
                     (version == "HTTP/1.0" || version == "HTTP/1.1");
  return sound ? std::nullopt : std::optional(message_fault::kRequestLine);
}

request_line_parts SplitRequestLine(std::string_view request_line) {
  const auto method_end = request_line.find(' ');
  const auto target_end = request_line.rfind(' ');
  return {.method = request_line.substr(0, method_end),
          .target =
              request_line.substr(method_end + 1, target_end - method_end - 1),
          .minor_version = request_line.back() - '0'};
}

std::optional<message_fault> CheckFieldLine(std::string_view line,
                                            bool complete) {
  if (line.empty()) return std::nullopt;
  if (IsBlank(line.front())) return message_fault::kFoldedLine;
  const auto name_end =
      std::find_if_not(line.begin(), line.end(), IsTokenCharacter);
  if (name_end == line.end()) {
    if (complete) return message_fault::kFieldName;
    return std::nullopt;
  }
  if (*name_end != ':' || name_end == line.begin()) {
    return message_fault::kFieldName;
  }
  const auto value_at = static_cast<std::size_t>(name_end - line.begin()) + 1;
  return CheckText(line.substr(value_at), message_fault::kFieldValue);
}

std::optional<message_fault> CheckChunkSizeLine(std::string_view line,
                                                bool complete) {
  const auto size_end = std::find_if_not(line.begin(), line.end(), IsHexDigit);
  const auto digits = static_cast<std::size_t>(size_end - line.begin());
  const auto rest = line.substr(digits);
  if (complete) {
    const bool sound = ParseDigits(line.substr(0, digits), 16) &&
                       chunk_extension_reader(rest).IsSound();
    return sound ? std::nullopt : std::optional(message_fault::kChunk);
  }
  if (rest.empty()) return std::nullopt;
  const bool may_be_extension =
      digits > 0 && (IsBlank(rest.front()) || rest.front() == ';') &&
      std::all_of(rest.begin(), rest.end(), IsText);
  if (!may_be_extension) return message_fault::kChunk;
  return std::nullopt;
}

bool IsToken(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

std::string_view TakeListElement(std::string_view& list) {
  const auto comma = list.find(',');
  const auto element = TrimBlanks(list.substr(0, comma));
  list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
  return element;
}

std::optional<std::uint64_t> ParseDigits(std::string_view text, int base) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value, base);
  if (parsed.ec != std::errc{} || parsed.ptr != end) return std::nullopt;
  return value;
}

}  // namespace pomelohall
