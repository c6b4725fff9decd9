#ifndef POMELOHALL_MESSAGES_FIELD_READER_H_
#define POMELOHALL_MESSAGES_FIELD_READER_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>

#include "hex.h"
#include "messages/message.h"

namespace pomelohall {

/// Reads the fields of a JSON array by position. After a missing or invalid
/// field, Ok() and Done() return false and further reads change nothing.
class field_reader {
 public:
  using json = nlohmann::json;

  explicit field_reader(const json& array, std::size_t start = 0)
      : array_(array), next_(start), ok_(array.is_array()) {}

  void Number(std::uint64_t& value) {
    if (const json* item = NextOfType(json::value_t::number_unsigned)) {
      value = item->get<std::uint64_t>();
    }
  }

  void Number(std::uint32_t& value) {
    std::uint64_t wide = 0;
    Number(wide);
    if (wide > std::numeric_limits<std::uint32_t>::max()) ok_ = false;
    if (ok_) value = static_cast<std::uint32_t>(wide);
  }

  void Flag(bool& value) {
    if (const json* item = NextOfType(json::value_t::boolean)) {
      value = item->get<bool>();
    }
  }

  void Text(std::string& value) {
    const json* item = NextOfType(json::value_t::string);
    if (item == nullptr) return;
    const auto& text = item->get_ref<const std::string&>();
    if (text.size() > kMaxTextBytes) {
      ok_ = false;
    } else {
      value = text;
    }
  }

  void Digest(std::string& value) {
    std::string bytes;
    Bytes(bytes);
    if (!bytes.empty() && bytes.size() != kSha256Bytes) ok_ = false;
    if (ok_) value = BytesToHex(bytes);
  }

  void Bytes(std::string& value) {
    if (const json* item = NextOfType(json::value_t::binary)) {
      const auto& bytes = item->get_binary();
      value.assign(bytes.begin(), bytes.end());
    }
  }

  template <typename Enum>
  void EnumValue(Enum& value, Enum last) {
    std::uint64_t number = 0;
    Number(number);
    if (number > static_cast<std::uint64_t>(last)) ok_ = false;
    if (ok_) value = static_cast<Enum>(number);
  }

  template <typename Container, typename Visitor>
  void List(Container& items, std::size_t limit, Visitor visit) {
    const json* list = NextOfType(json::value_t::array);
    if (list == nullptr) return;
    if (list->size() > limit) {
      ok_ = false;
      return;
    }
    items.resize(list->size());
    for (std::size_t i = 0; ok_ && i < list->size(); ++i) {
      field_reader nested((*list)[i]);
      visit(nested, items[i]);
      ok_ = nested.Done();
    }
  }

  void SetInvalid() { ok_ = false; }
  bool Ok() const { return ok_; }

  /// Returns whether all fields were valid and the array has no more of them.
  bool Done() const { return ok_ && next_ == array_.size(); }

 private:
  const json* NextOfType(json::value_t type) {
    if (!ok_ || next_ >= array_.size() || array_[next_].type() != type) {
      ok_ = false;
      return nullptr;
    }
    return &array_[next_++];
  }

  const json& array_;
  std::size_t next_;
  bool ok_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESSAGES_FIELD_READER_H_
