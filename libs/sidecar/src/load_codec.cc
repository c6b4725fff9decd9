#include "load_codec.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>

#include "backend/http_message.h"
#include "base/time.h"

namespace pomelohall {
namespace {

// Limits of a report. Larger numbers would overflow sums of counts and times.
constexpr std::uint64_t kMaxCount = 1'000'000'000;
constexpr auto kMaxMicros =
    static_cast<std::uint64_t>(kMaxForeignDuration.count());

}  // namespace

std::string EncodeHeldTime(duration time) {
  return std::to_string(std::max(time, duration(0)).count());
}

std::optional<duration> DecodeHeldTime(std::string_view text) {
  const auto micros = ParseNumber(text);
  if (!micros || *micros > kMaxMicros) return std::nullopt;
  return duration(static_cast<std::int64_t>(*micros));
}

std::string EncodeLoad(const work_load& load) {
  return std::to_string(load.running) + "," + std::to_string(load.waiting) +
         "," + std::to_string(load.slots) + "," +
         std::to_string(load.mean_time.count()) + "," +
         std::to_string(load.link_wait.count());
}

std::optional<work_load> DecodeLoad(std::string_view text) {
  std::array<std::uint64_t, 5> values{};
  for (std::size_t i = 0; i < values.size(); ++i) {
    const auto comma = text.find(',');
    const bool last = i + 1 == values.size();
    if (last != (comma == std::string_view::npos)) return std::nullopt;
    const auto number = ParseNumber(text.substr(0, comma));
    if (!number) return std::nullopt;
    values[i] = *number;
    if (!last) text.remove_prefix(comma + 1);
  }
  if (std::max({values[0], values[1], values[2]}) > kMaxCount ||
      std::max(values[3], values[4]) > kMaxMicros) {
    return std::nullopt;
  }
  return work_load{.running = values[0],
                   .waiting = values[1],
                   .slots = values[2],
                   .mean_time = duration(static_cast<std::int64_t>(values[3])),
                   .link_wait = duration(static_cast<std::int64_t>(values[4]))};
}

std::optional<double> DecodePercent(std::string_view text) {
  // Work that takes a hundred times as long is taken as such; more would come
  // from another program.
  constexpr std::uint64_t kMaxPercent = 10'000;
  const auto number = ParseNumber(text);
  if (!number || *number == 0 || *number > kMaxPercent) return std::nullopt;
  return static_cast<double>(*number);
}

std::string EncodePercent(double percent) {
  return std::to_string(static_cast<std::uint64_t>(percent));
}

std::optional<double> DecodeWorkPercent(std::string_view text) {
  constexpr int kFiguresBefore = 3;
  for (int i = 0; i < kFiguresBefore; ++i) {
    const auto comma = text.find(',');
    if (comma == std::string_view::npos) return std::nullopt;
    text.remove_prefix(comma + 1);
  }
  return DecodePercent(text);
}

std::string EncodeLoads(const std::vector<load_summary>& loads) {
  std::string text;
  for (const auto& load : loads) {
    if (!text.empty()) text.push_back(',');
    text.append(std::to_string(load.member_hash))
        .append(":")
        .append(std::to_string(load.busy))
        .append(":")
        .append(EncodePercent(load.work_percent))
        .append(":")
        .append(std::to_string(load.age.count()));
  }
  return text;
}

std::vector<load_summary> DecodeLoads(std::string_view text) {
  std::vector<load_summary> loads;
  while (!text.empty()) {
    const auto comma = text.find(',');
    auto entry = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view()
                                           : text.substr(comma + 1);
    std::array<std::string_view, 4> parts;
    for (std::size_t i = 0; i < parts.size(); ++i) {
      const auto colon = entry.find(':');
      const bool last = i + 1 == parts.size();
      if (last != (colon == std::string_view::npos)) return loads;
      parts[i] = entry.substr(0, colon);
      if (!last) entry.remove_prefix(colon + 1);
    }
    const auto hash = ParseNumber(parts[0]);
    const auto busy = ParseNumber(parts[1]);
    const auto percent = DecodePercent(parts[2]);
    const auto age = ParseNumber(parts[3]);
    if (!hash || *hash > std::numeric_limits<std::uint32_t>::max() || !busy ||
        *busy > kMaxCount || !percent || !age || *age > kMaxMicros) {
      return loads;
    }
    loads.push_back({.member_hash = static_cast<std::uint32_t>(*hash),
                     .busy = *busy,
                     .work_percent = *percent,
                     .age = duration(static_cast<std::int64_t>(*age))});
  }
  return loads;
}

}  // namespace pomelohall
