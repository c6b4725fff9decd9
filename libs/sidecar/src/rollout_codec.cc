#include "rollout_codec.h"

#include <nlohmann/json.hpp>

#include "backend/http_message.h"
#include "base/json_text.h"

namespace pomelohall {
namespace {

using nlohmann::json;

// Limits of what another daemon may state.
constexpr std::size_t kMaxRecords = 64;
constexpr std::size_t kMaxRoutes = 32;
constexpr std::uint64_t kMaxCount = 1'000'000'000'000;

// Header fields are ASCII only.
std::string ToAscii(const json& value) {
  return value.dump(-1, ' ', true, json::error_handler_t::replace);
}

bool IsCount(const json& value) {
  return value.is_number_unsigned() && value.get<std::uint64_t>() <= kMaxCount;
}

std::optional<duration> ParseMillis(const json& value) {
  if (!value.is_number_unsigned()) return std::nullopt;
  const auto count = value.get<std::uint64_t>();
  if (count > static_cast<std::uint64_t>(ToMillis(kMaxForeignDuration)))
    return std::nullopt;
  return std::chrono::milliseconds(count);
}

std::int64_t Millis(duration time) {
  return std::max<std::int64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(time).count(), 0);
}

std::optional<response_counts> ParseCounts(const json& value) {
  if (!value.is_array() || value.size() != 4 || !IsCount(value[0]) ||
      !IsCount(value[1]) || !IsCount(value[2]) || !IsCount(value[3])) {
    return std::nullopt;
  }
  return response_counts{.responses = value[0],
                         .failures = value[1],
                         .timed = value[2],
                         .time_ms = value[3]};
}

}  // namespace

json ToJson(const rollout_record& record) {
  return {{"service", record.order.service},
          {"target", record.order.target_version},
          {"created", record.order.created},
          {"limit_ms", Millis(record.order.time_limit)},
          {"revision", record.revision},
          {"state", kRolloutStateNames.Name(record.state)},
          {"elapsed_ms", Millis(record.elapsed)}};
}

std::optional<rollout_record> ParseRollout(const json& value) {
  const auto text = [&](const char* name) {
    const auto found = value.find(name);
    return found != value.end() && found->is_string()
               ? found->get<std::string>()
               : std::string();
  };
  const auto millis = [&](const char* name) {
    const auto found = value.find(name);
    return found == value.end() ? std::nullopt : ParseMillis(*found);
  };
  const auto count = [&](const char* name) -> std::optional<std::uint64_t> {
    const auto found = value.find(name);
    if (found == value.end() || !IsCount(*found)) return std::nullopt;
    return found->get<std::uint64_t>();
  };
  if (!value.is_object()) return std::nullopt;
  const auto state = kRolloutStateNames.Find(text("state"));
  const auto created = count("created");
  const auto revision = count("revision");
  const auto limit = millis("limit_ms");
  const auto elapsed = millis("elapsed_ms");
  rollout_record record{
      .order = {.service = text("service"), .target_version = text("target")}};
  if (!state || !created || !revision || !limit || !elapsed ||
      record.order.service.empty() || record.order.target_version.empty()) {
    return std::nullopt;
  }
  record.order.created = *created;
  record.order.time_limit = *limit;
  record.revision = *revision;
  record.state = *state;
  record.elapsed = *elapsed;
  return record;
}

std::string EncodeRollouts(const std::vector<rollout_record>& records) {
  json list = json::array();
  for (const auto& record : records) list.push_back(ToJson(record));
  return ToAscii(list);
}

std::vector<rollout_record> DecodeRollouts(const std::string& text) {
  std::vector<rollout_record> records;
  const auto list = ParseJson(text);
  if (!list.is_array() || list.size() > kMaxRecords) return records;
  for (const auto& item : list) {
    if (auto record = ParseRollout(item)) records.push_back(std::move(*record));
  }
  return records;
}

std::string EncodeVersionReport(const version_report& report) {
  json routes = json::object();
  for (const auto& [route, counts] : report.by_route) {
    routes[route] = {counts.responses, counts.failures, counts.timed,
                     static_cast<std::uint64_t>(counts.time_ms)};
  }
  return ToAscii({{"instance", report.instance},
                  {"version", report.version},
                  {"routes", std::move(routes)}});
}

std::optional<version_report> DecodeVersionReport(const std::string& text) {
  const auto document = ParseJson(text);
  if (!document.is_object()) return std::nullopt;
  const auto instance = document.find("instance");
  const auto version = document.find("version");
  const auto routes = document.find("routes");
  if (instance == document.end() || !instance->is_string() ||
      version == document.end() || !version->is_string() ||
      routes == document.end() || !routes->is_object() ||
      routes->size() > kMaxRoutes) {
    return std::nullopt;
  }
  version_report report{.instance = *instance, .version = *version};
  for (const auto& [route, value] : routes->items()) {
    const auto counts = ParseCounts(value);
    if (!counts) return std::nullopt;
    report.by_route.emplace(route, *counts);
  }
  return report;
}

}  // namespace pomelohall
