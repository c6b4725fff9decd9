#ifndef POMELOHALL_SLO_SLO_JSON_H_
#define POMELOHALL_SLO_SLO_JSON_H_

#include <nlohmann/json.hpp>
#include <optional>

#include "slo/slo_histogram.h"

namespace pomelohall {

/// Returns the filled buckets as [[bucket, count], ...].
nlohmann::json LatencyToJson(const slo_histogram& latency);

/// Returns the histogram, or nothing if the value has another form.
std::optional<slo_histogram> LatencyFromJson(const nlohmann::json& value);

}  // namespace pomelohall

#endif  // POMELOHALL_SLO_SLO_JSON_H_
