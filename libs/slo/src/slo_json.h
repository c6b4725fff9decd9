#ifndef POMELOHALL_SLO_SLO_JSON_H_
#define POMELOHALL_SLO_SLO_JSON_H_

#include <nlohmann/json.hpp>
#include <optional>

#include "slo/slo_histogram.h"

namespace pomelohall {

/// Returns the non-empty buckets as [[bucket, count], ...].
nlohmann::json LatencyToJson(const slo_histogram& latency);

/// Parses the output of LatencyToJson(). Returns nullopt if it is malformed.
std::optional<slo_histogram> LatencyFromJson(const nlohmann::json& value);

}  // namespace pomelohall

#endif  // POMELOHALL_SLO_SLO_JSON_H_
