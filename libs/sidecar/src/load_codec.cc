#include "load_codec.h"

#include <algorithm>
#include <array>
#include <cstdint>

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

}  // namespace pomelohall
