#include "slo_object_reader.h"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <utility>

#include "slo_json.h"

namespace pomelohall {
namespace {

using nlohmann::json;

// The JSON accessors below throw on a type mismatch; ReadSloObject() catches.
slo_object_row ReadRow(const json& value,
                       const std::vector<std::string>& names) {
  slo_object_row row{.member = value.at(0),
                     .incarnation = value.at(1),
                     .window = value.at(2),
                     .assumed = value.at(3),
                     .classes = {}};
  for (const auto& item : value.at(4)) {
    row.classes.push_back({.name = names.at(item.at(0).get<std::size_t>()),
                           .requests = item.at(1),
                           .met = item.at(2)});
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
  content.minute = value.at("minute");
  const std::vector<std::string> names = value.at("classes");
  for (const auto& item : value.at("windows")) {
    content.rows.push_back(ReadRow(item, names));
    if (!IsConsistent(content.rows.back())) return std::nullopt;
  }
  for (const auto& item : value.at("expected")) {
    content.expected[item.at(0)] = item.at(1);
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
  const json value = json::parse(spec, nullptr, false);
  if (value.is_discarded()) return std::nullopt;
  try {
    return Read(value);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace pomelohall
