#include "quota_codec.h"

#include <cmath>
#include <nlohmann/json.hpp>

#include "base/json_text.h"
#include "tenancy/tenant.h"

namespace pomelohall {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxTenants = 100'000;

// Throws json::exception for a value of another type.
double ParseAmount(const json& value, bool& valid) {
  const double amount = value;
  if (!(amount >= 0 && amount <= kMaxTenantRate)) valid = false;
  return amount;
}

}  // namespace

std::string EncodeQuotaReport(const quota_report& report) {
  json tenants = json::object();
  for (const auto& [name, use] : report.tenants)
    tenants[name] = {use.spent, use.returned, use.held, use.wanted};
  return json{{"member", report.member},
              {"sequence", report.sequence},
              {"incarnation", report.incarnation},
              {"tenants", std::move(tenants)}}
      .dump();
}

std::optional<quota_report> DecodeQuotaReport(const std::string& text) {
  try {
    const auto document = ParseJson(text);
    bool valid = true;
    quota_report report{.member = document.at("member"),
                        .sequence = document.at("sequence"),
                        .incarnation = document.at("incarnation"),
                        .tenants = {}};
    const auto& tenants = document.at("tenants");
    if (!tenants.is_object() || tenants.size() > kMaxTenants)
      return std::nullopt;
    for (const auto& [name, value] : tenants.items()) {
      report.tenants[name] = {.spent = ParseAmount(value.at(0), valid),
                              .returned = ParseAmount(value.at(1), valid),
                              .held = ParseAmount(value.at(2), valid),
                              .wanted = ParseAmount(value.at(3), valid)};
    }
    if (!valid || report.member.empty()) return std::nullopt;
    return report;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeQuotaAnswer(const quota_answer& answer) {
  return json{{"granted", answer.granted}, {"tight", answer.tight}}.dump();
}

std::optional<quota_answer> DecodeQuotaAnswer(const std::string& text) {
  try {
    const auto document = ParseJson(text);
    bool valid = true;
    quota_answer answer;
    for (const auto& [name, value] : document.at("granted").items())
      answer.granted[name] = ParseAmount(value, valid);
    for (const auto& name : document.at("tight")) answer.tight.insert(name);
    if (!valid) return std::nullopt;
    return answer;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace pomelohall
