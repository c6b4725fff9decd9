#include "call_counts.h"

#include <nlohmann/json.hpp>

namespace pomelohall {

void call_counts::Add(const api_request& request) {
  ++counts_[std::string(ApiVerbName(request.verb))][request.plural];
  ++total_;
}

std::string call_counts::FormatJson() const {
  return nlohmann::json{{"total", total_}, {"verbs", counts_}}.dump();
}

}  // namespace pomelohall
