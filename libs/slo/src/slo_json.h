#ifndef POMELOHALL_SLO_SLO_JSON_H_
#define POMELOHALL_SLO_SLO_JSON_H_

#include <nlohmann/json.hpp>
#include <optional>

#include "slo/latency_histogram.h"

namespace pomelohall {

/// Returns the filled buckets as [[bucket, count], ...].
nlohmann::json LatencyToJson(const latency_histogram& latency);

/// Returns the histogram, or nothing if the value has another form.
std::optional<latency_histogram> LatencyFromJson(const nlohmann::json& value);

}  // namespace pomelohall

#endif  // POMELOHALL_SLO_SLO_JSON_H_
