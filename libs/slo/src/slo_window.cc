#include "slo/slo_window.h"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "slo_json.h"

namespace pomelohall {
namespace {

using nlohmann::json;

// Bounds the memory that a malformed frame can make a receiver allocate. No
// configuration in use has this many classes.
constexpr std::size_t kMaxClasses = 10'000;

std::optional<slo_counts> ParseCounts(const json& value) {
  if (!value.is_array() || value.size() != 3 ||
      !value[0].is_number_unsigned() || !value[1].is_number_unsigned()) {
    return std::nullopt;
  }
  auto latency = LatencyFromJson(value[2]);
  if (!latency) return std::nullopt;
  slo_counts counts{.requests = value[0].get<std::uint64_t>(),
                    .met = value[1].get<std::uint64_t>(),
                    .latency = std::move(*latency)};
  if (counts.met > counts.requests ||
      counts.latency.Count() != counts.requests) {
    return std::nullopt;
  }
  return counts;
}

bool HasWindowSchema(const json& value) {
  return value.is_array() && value.size() == 4 && value[0].is_string() &&
         !value[0].get_ref<const std::string&>().empty() &&
         value[1].is_number_unsigned() && value[2].is_number_integer() &&
         value[3].is_object() && value[3].size() <= kMaxClasses;
}

}  // namespace

std::string EncodeSloWindow(const slo_window& window) {
  json classes = json::object();
  for (const auto& [name, counts] : window.classes) {
    classes[name] = {counts.requests, counts.met,
                     LatencyToJson(counts.latency)};
  }
  const json value = {window.member, window.incarnation, window.window,
                      std::move(classes)};
  std::string payload;
  json::to_cbor(value, payload);
  return payload;
}

result<slo_window> DecodeSloWindow(std::string_view payload) {
  const json value = json::from_cbor(payload, true, false);
  if (!HasWindowSchema(value)) {
    return Fail(error_kind::kProtocolError,
                "the window is not [member, incarnation, window, classes]");
  }
  slo_window window{.member = value[0],
                    .incarnation = value[1],
                    .window = value[2],
                    .classes = {}};
  for (const auto& [name, item] : value[3].items()) {
    auto counts = ParseCounts(item);
    if (!counts) {
      return Fail(error_kind::kProtocolError,
                  "the counts of class \"" + name +
                      "\" are malformed or contradict each other");
    }
    window.classes.emplace(name, std::move(*counts));
  }
  return window;
}

}  // namespace pomelohall
