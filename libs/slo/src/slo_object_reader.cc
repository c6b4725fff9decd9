#include "slo_object_reader.h"

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "base/json_text.h"
#include "slo_json.h"

namespace pomelohall {
namespace {

using nlohmann::json;

// The JSON accessors below throw on a type mismatch; ReadSloObject() catches.

// Numbers of other JSON types would be converted without a check of the range.
template <typename Number>
Number ReadNumber(const json& value) {
  if (!value.is_number_unsigned() ||
      !std::in_range<Number>(value.get<std::uint64_t>())) {
    throw std::out_of_range("not a number of this field");
  }
  return value.get<Number>();
}

slo_object_row ReadRow(const json& value,
                       const std::vector<std::string>& names) {
  slo_object_row row{.member = value.at(0),
                     .incarnation = ReadNumber<std::uint64_t>(value.at(1)),
                     .window = ReadNumber<std::int64_t>(value.at(2)),
                     .assumed = value.at(3),
                     .classes = {}};
  for (const auto& item : value.at(4)) {
    row.classes.push_back(
        {.name = names.at(ReadNumber<std::size_t>(item.at(0))),
         .requests = ReadNumber<std::uint64_t>(item.at(1)),
         .met = ReadNumber<std::uint64_t>(item.at(2))});
  }
  return row;
}

bool IsConsistent(const slo_object_row& row) {
  for (const auto& item : row.classes) {
    if (item.met > item.requests) return false;
  }
  return true;
}

std::optional<slo_object_content> Read(const json& value) {
  slo_object_content content;
  content.data_centre = value.at("data_centre");
  content.minute = ReadNumber<std::int64_t>(value.at("minute"));
  const std::vector<std::string> names = value.at("classes");
  for (const auto& item : value.at("windows")) {
    content.rows.push_back(ReadRow(item, names));
    if (!IsConsistent(content.rows.back())) return std::nullopt;
  }
  for (const auto& item : value.at("expected")) {
    content.expected[ReadNumber<std::int64_t>(item.at(0))] =
        ReadNumber<std::uint64_t>(item.at(1));
  }
  for (std::size_t i = 0; i < names.size(); ++i) {
    auto latency = LatencyFromJson(value.at("latencies").at(i));
    if (!latency) return std::nullopt;
    content.latencies[names[i]].Add(*latency);
  }
  return content;
}

}  // namespace

std::optional<slo_object_content> ReadSloObject(std::string_view spec) {
  const json value = ParseJson(spec);
  if (value.is_discarded()) return std::nullopt;
  try {
    return Read(value);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace pomelohall
