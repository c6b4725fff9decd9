#include "load_report.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace pomelohall {

void load_report::AddOk(duration latency, std::uint64_t bytes) {
  ++ok_;
  bytes_ += bytes;
  latencies_.push_back(latency);
  sorted_ = false;
}

void load_report::AddError(const std::string& kind) {
  ++errors_;
  ++errors_by_kind_[kind];
}

std::uint64_t load_report::WrongResponses() const {
  std::uint64_t wrong = 0;
  for (const char* kind : {kWrongBody, kWrongCallId}) {
    const auto found = errors_by_kind_.find(kind);
    if (found != errors_by_kind_.end()) wrong += found->second;
  }
  return wrong;
}

duration load_report::Percentile(double fraction) const {
  if (latencies_.empty()) return duration{0};
  if (!sorted_) std::sort(latencies_.begin(), latencies_.end());
  sorted_ = true;
  const auto rank = static_cast<std::size_t>(
      std::ceil(fraction * static_cast<double>(latencies_.size())));
  return latencies_[std::max<std::size_t>(rank, 1) - 1];
}

std::string load_report::Table(const std::string& title) const {
  std::ostringstream text;
  text << std::fixed << std::setprecision(3);
  text << title << "\n  calls   " << Calls() << "\n  ok      " << ok_
       << "\n  bytes   " << bytes_ << "\n  p50 ms  "
       << ToMillis(Percentile(0.5)) << "\n  p90 ms  "
       << ToMillis(Percentile(0.9)) << "\n  p99 ms  "
       << ToMillis(Percentile(0.99)) << "\n  max ms  "
       << ToMillis(Percentile(1.0)) << "\n";
  for (const auto& [kind, count] : errors_by_kind_) {
    text << "  error " << kind << "  " << count << "\n";
  }
  return text.str();
}

std::string load_report::Json() const {
  const nlohmann::json value{{"calls", Calls()},
                             {"ok", ok_},
                             {"bytes", bytes_},
                             {"errors", errors_by_kind_},
                             {"p50_ms", ToMillis(Percentile(0.5))},
                             {"p90_ms", ToMillis(Percentile(0.9))},
                             {"p99_ms", ToMillis(Percentile(0.99))},
                             {"max_ms", ToMillis(Percentile(1.0))}};
  return value.dump();
}

}  // namespace pomelohall
