#include "slo_json.h"

#include <cstddef>
#include <cstdint>

namespace pomelohall {

using nlohmann::json;

json LatencyToJson(const slo_histogram& latency) {
  json buckets = json::array();
  for (const auto& [bucket, count] : latency.Buckets()) {
    buckets.push_back({bucket, count});
  }
  return buckets;
}

std::optional<slo_histogram> LatencyFromJson(const json& value) {
  if (!value.is_array()) return std::nullopt;
  slo_histogram latency;
  for (const auto& item : value) {
    if (!item.is_array() || item.size() != 2 || !item[0].is_number_unsigned() ||
        !item[1].is_number_unsigned() ||
        !latency.AddToBucket(item[0].get<std::size_t>(),
                             item[1].get<std::uint64_t>())) {
      return std::nullopt;
    }
  }
  return latency;
}

}  // namespace pomelohall
