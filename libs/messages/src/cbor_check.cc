#include "cbor_check.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace pomelohall {
namespace {

constexpr std::size_t kMaxArrayDepth = 4;

// The supported major types of RFC 8949, section 3.1.
enum class major_type : std::uint8_t {
  kUnsigned = 0,
  kBytes = 2,
  kText = 3,
  kArray = 4,
  kSimple = 7,
};

// Validates a frame without building values.
class cbor_validator {
 public:
  explicit cbor_validator(std::string_view frame) : rest_(frame) {}

  bool Validate() {
    do {
      if (!ReadItem()) return false;
      PopFinishedArrays();
    } while (depth_ > 0);
    return rest_.empty();
  }

 private:
  std::optional<std::uint64_t> ReadArgument(std::uint8_t info) {
    constexpr std::uint8_t kMaxInlineValue = 23;
    constexpr std::uint8_t kEightBytes = 27;
    if (info <= kMaxInlineValue) return info;
    if (info > kEightBytes) return std::nullopt;
    const std::size_t width = std::size_t{1} << (info - 24U);
    if (rest_.size() < width) return std::nullopt;
    std::uint64_t value = 0;
    for (const char c : rest_.substr(0, width)) {
      value = (value << 8U) | static_cast<std::uint8_t>(c);
    }
    rest_.remove_prefix(width);
    return value;
  }

  bool ReadItem() {
    if (rest_.empty()) return false;
    const auto initial_byte = static_cast<std::uint8_t>(rest_.front());
    rest_.remove_prefix(1);
    if (depth_ > 0) --remaining_elements_[depth_ - 1];
    const auto type = static_cast<major_type>(initial_byte >> 5U);
    const std::uint8_t info = initial_byte & 0x1FU;
    // Of the simple values, only false (20) and true (21) are supported.
    if (type == major_type::kSimple) return info == 20 || info == 21;
    const auto argument = ReadArgument(info);
    return argument && ReadContent(type, *argument);
  }

  bool ReadContent(major_type type, std::uint64_t argument) {
    switch (type) {
      case major_type::kUnsigned:
        return true;
      case major_type::kBytes:
      case major_type::kText:
        if (argument > rest_.size()) return false;
        rest_.remove_prefix(static_cast<std::size_t>(argument));
        return true;
      case major_type::kArray:
        // Each element takes at least one byte.
        if (argument > rest_.size() || depth_ == kMaxArrayDepth) return false;
        remaining_elements_[depth_++] = argument;
        return true;
      default:
        return false;
    }
  }

  void PopFinishedArrays() {
    while (depth_ > 0 && remaining_elements_[depth_ - 1] == 0) --depth_;
  }

  std::string_view rest_;
  // Unread elements of each open array, outermost first.
  std::array<std::uint64_t, kMaxArrayDepth> remaining_elements_{};
  std::size_t depth_ = 0;
};

}  // namespace

bool IsAcceptableCbor(std::string_view frame) {
  return cbor_validator(frame).Validate();
}

}  // namespace pomelohall
