#ifndef POMELOHALL_MESSAGES_FIELD_WRITER_H_
#define POMELOHALL_MESSAGES_FIELD_WRITER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "hex.h"

namespace pomelohall {

/// Appends fields to a JSON array by position. Has the same interface as
/// field_reader, so that one list of fields serves both directions.
class field_writer {
 public:
  using json = nlohmann::json;

  void Number(const std::uint64_t& value) { out_.push_back(value); }
  void Number(const std::uint32_t& value) { out_.push_back(value); }
  void Flag(const bool& value) { out_.push_back(value); }
  void Text(const std::string& value) { out_.push_back(value); }

  /// Appends a SHA-256 digest as 32 bytes. `value` has 64 hexadecimal digits or
  /// is empty.
  void Digest(const std::string& value) { Bytes(HexToBytes(value)); }

  void Bytes(const std::string& value) {
    out_.push_back(json::binary({value.begin(), value.end()}));
  }

  template <typename Enum>
  void EnumValue(const Enum& value, Enum /*last*/) {
    out_.push_back(static_cast<std::uint64_t>(value));
  }

  /// Appends an array. `visit(writer, element)` writes one element.
  template <typename Container, typename Visitor>
  void List(const Container& items, std::size_t /*limit*/, Visitor visit) {
    json list = json::array();
    for (const auto& item : items) {
      field_writer nested;
      visit(nested, item);
      list.push_back(std::move(nested).Take());
    }
    out_.push_back(std::move(list));
  }

  json Take() && { return std::move(out_); }

 private:
  json out_ = json::array();
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESSAGES_FIELD_WRITER_H_
