#include "config_codec.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "backend/http_message.h"
#include "base/json_text.h"
#include "tenancy/tenant_directory.h"

namespace pomelohall {
namespace {

using nlohmann::json;

json ToJson(const tenant& entry) {
  json digests = json::array();
  for (const auto& digest : entry.key_digests)
    digests.push_back(EncodeApiKeyDigest(digest));
  json object{{"name", entry.name},
              {"key_digests", std::move(digests)},
              {"rate", entry.rate_per_s},
              {"burst", entry.burst}};
  if (entry.priority) object["priority"] = *entry.priority;
  return object;
}

json ToJson(const route_rule& route) {
  json destinations = json::array();
  for (const auto& entry : route.destinations) {
    destinations.push_back({entry.service, entry.weight});
  }
  json object{{"name", route.name},
              {"host", route.host},
              {"prefix", route.path_prefix},
              {"kind", kRequestKindNames.Name(route.kind)},
              {"timeout_us", route.timeout.count()},
              {"target_us", route.latency_target.count()},
              {"priority", route.priority},
              {"servers", route.max_servers},
              {"to", std::move(destinations)}};
  if (route.is_public) object["public"] = true;
  return object;
}

// The following functions throw json::exception for a value of another type.

// Sets `valid` to false if the number is outside its range.
template <typename T>
T ParseInteger(const json& value, T min, T max, bool& valid) {
  // A conversion of a floating point number could overflow.
  if (!value.is_number_integer()) {
    valid = false;
    return min;
  }
  const bool fits = value.is_number_unsigned()
                        ? std::in_range<T>(value.get<std::uint64_t>())
                        : std::in_range<T>(value.get<std::int64_t>());
  const T number = fits ? value.get<T>() : min;
  if (!fits || number < min || number > max) valid = false;
  return number;
}

duration ParseDuration(const json& value, bool& valid) {
  return duration(
      ParseInteger<std::int64_t>(value, 0, kMaxForeignDuration.count(), valid));
}

route_rule ParseRoute(const json& item, bool& valid) {
  route_rule route{
      .name = item.at("name"),
      .host = item.at("host"),
      .path_prefix = item.at("prefix"),
      .kind = kRequestKindNames.Find(item.at("kind").get<std::string>())
                  .value_or(request_kind::kUnsafe),
      .timeout = ParseDuration(item.at("timeout_us"), valid),
      .latency_target = ParseDuration(item.at("target_us"), valid),
      .priority =
          ParseInteger<int>(item.at("priority"), 0, kMaxPriority, valid),
      .destinations = {},
      .max_servers = ParseInteger<std::uint32_t>(
          item.at("servers"), 0, std::numeric_limits<std::uint32_t>::max(),
          valid),
      .is_public = item.value("public", false)};
  for (const auto& entry : item.at("to")) {
    route.destinations.push_back(
        {.service = entry.at(0), .weight = entry.at(1)});
  }
  if (!IsUsable(route)) valid = false;
  return route;
}

double ParseAmount(const json& value, bool& valid) {
  const double number = value;
  if (!(number >= 0 && number <= kMaxTenantRate)) valid = false;
  return number;
}

tenant ParseTenant(const json& item, bool& valid) {
  tenant entry{.name = item.at("name"),
               .key_digests = {},
               .priority = std::nullopt,
               .rate_per_s = ParseAmount(item.at("rate"), valid),
               .burst = ParseAmount(item.at("burst"), valid)};
  for (const auto& text : item.at("key_digests")) {
    const auto digest = DecodeApiKeyDigest(text.get<std::string>());
    if (!digest) valid = false;
    entry.key_digests.push_back(digest.value_or(api_key_digest{}));
  }
  if (item.contains("priority")) {
    entry.priority =
        ParseInteger<int>(item.at("priority"), 0, kMaxPriority, valid);
  }
  return entry;
}

std::optional<std::vector<tenant>> ParseTenants(const json& document,
                                                bool& valid) {
  const auto list = document.find("tenants");
  if (list == document.end()) return std::nullopt;
  std::vector<tenant> tenants;
  for (const auto& item : *list) tenants.push_back(ParseTenant(item, valid));
  if (FindTenantFault(tenants)) valid = false;
  return tenants;
}

json ToJson(const request_limits& limits) {
  return {{"header_bytes", limits.max_header_bytes},
          {"body_bytes", limits.max_body_bytes},
          {"header_us", limits.header_timeout.count()},
          {"idle_us", limits.idle_timeout.count()}};
}

request_limits ParseLimits(const json& item, bool& valid) {
  const request_limits limits{
      .max_header_bytes = ParseInteger<std::size_t>(
          item.at("header_bytes"), 0, std::numeric_limits<std::size_t>::max(),
          valid),
      .max_body_bytes = ParseInteger<std::uint64_t>(
          item.at("body_bytes"), 0, std::numeric_limits<std::uint64_t>::max(),
          valid),
      .header_timeout = ParseDuration(item.at("header_us"), valid),
      .idle_timeout = ParseDuration(item.at("idle_us"), valid)};
  if (!IsUsable(limits)) valid = false;
  return limits;
}

}  // namespace

std::string EncodeDigest(const config_digest& digest) {
  // Daemons of versions without tenants read a list only.
  if (digest.tenants == 0) return json(digest.buckets).dump();
  return json{{"buckets", digest.buckets}, {"tenants", digest.tenants}}.dump();
}

std::optional<config_digest> DecodeDigest(const std::string& text) {
  try {
    const auto document = ParseJson(text);
    using buckets = decltype(config_digest::buckets);
    if (!document.is_object())
      return config_digest{.buckets = document.get<buckets>()};
    return config_digest{.buckets = document.at("buckets").get<buckets>(),
                         .tenants = document.at("tenants")};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeUpdate(const config_update& message) {
  const auto& difference = message.difference;
  json routes = json::array();
  for (const auto& route : difference.routes) routes.push_back(ToJson(route));
  json document{
      {"revision", message.revision.number}, {"era", message.revision.era},
      {"version", difference.version},       {"services", difference.services},
      {"limits", ToJson(difference.limits)}, {"buckets", difference.buckets},
      {"routes", std::move(routes)},         {"checksum", difference.checksum}};
  if (difference.tenants) {
    auto& tenants = document["tenants"] = json::array();
    for (const auto& entry : *difference.tenants)
      tenants.push_back(ToJson(entry));
  }
  return document.dump();
}

std::optional<config_update> DecodeUpdate(const std::string& text) {
  try {
    const auto document = ParseJson(text);
    bool valid = true;
    config_update message{
        // Daemons of older versions send no era.
        .revision = {.era = document.value("era", std::uint64_t{0}),
                     .number = document.at("revision")},
        .difference = {.version = document.at("version"),
                       .services = document.at("services"),
                       .limits = ParseLimits(document.at("limits"), valid),
                       .buckets = document.at("buckets"),
                       .routes = {},
                       .tenants = ParseTenants(document, valid),
                       .checksum = document.at("checksum")}};
    for (const auto& item : document.at("routes")) {
      message.difference.routes.push_back(ParseRoute(item, valid));
    }
    if (!valid) return std::nullopt;
    return message;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeConfirmation(const config_confirmation& confirmation,
                               instant now) {
  const auto age =
      std::chrono::ceil<std::chrono::milliseconds>(now - confirmation.at);
  return std::to_string(confirmation.revision.era) + " " +
         std::to_string(confirmation.revision.number) + " " +
         std::to_string(age.count());
}

std::optional<config_confirmation> DecodeConfirmation(std::string_view text,
                                                      instant sent_at) {
  const auto first = text.find(' ');
  const auto last = text.rfind(' ');
  if (first == std::string_view::npos || first == last) return std::nullopt;
  const auto era = ParseNumber(text.substr(0, first));
  const auto number = ParseNumber(text.substr(first + 1, last - first - 1));
  const auto age = ParseNumber(text.substr(last + 1));
  constexpr std::uint64_t kMaxAgeMillis = 86'400'000;
  if (!era || !number || !age || *age > kMaxAgeMillis) return std::nullopt;
  return config_confirmation{.revision = {.era = *era, .number = *number},
                             .at = sent_at - std::chrono::milliseconds(*age)};
}

}  // namespace pomelohall
