#include "fault_mode.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "base/name_table.h"

namespace pomelohall {
namespace {

using nlohmann::json;

constexpr name_table<fault_kind, 4> kFaultNames{{{
    {fault_kind::kNone, "none"},
    {fault_kind::kDown, "down"},
    {fault_kind::kSlow, "slow"},
    {fault_kind::kLoseAnswers, "lose_answers"},
}}};

}  // namespace

result<void> fault_mode::Set(std::string_view json_text) {
  const json value = json::parse(json_text, nullptr, false);
  if (!value.is_object()) {
    return Fail(error_kind::kInvalidRequest, "the body is not a JSON object");
  }
  const json mode = value.value("mode", json());
  const auto kind =
      kFaultNames.Find(mode.is_string() ? mode.get<std::string>() : "");
  if (!kind) {
    return Fail(error_kind::kInvalidRequest,
                "/mode: found " + mode.dump() +
                    ", allowed are none, down, slow, lose_answers");
  }
  const json delay = value.value("delay_ms", json(0U));
  const json count = value.value("count", json(0U));
  if (!delay.is_number_unsigned() || !count.is_number_unsigned()) {
    return Fail(error_kind::kInvalidRequest,
                "/delay_ms and /count: allowed are integers from 0");
  }
  kind_ = *kind;
  delay_ = std::chrono::milliseconds(delay.get<std::uint32_t>());
  remaining_ = count.get<std::uint64_t>();
  return {};
}

bool fault_mode::Affects(api_verb verb) const {
  if (kind_ == fault_kind::kNone) return false;
  const bool write = verb == api_verb::kCreate || verb == api_verb::kUpdate ||
                     verb == api_verb::kDelete;
  return write || kind_ != fault_kind::kLoseAnswers;
}

fault_kind fault_mode::Apply(api_verb verb) {
  if (!Affects(verb)) return fault_kind::kNone;
  const fault_kind kind = kind_;
  if (remaining_ > 0 && --remaining_ == 0) kind_ = fault_kind::kNone;
  return kind;
}

std::string fault_mode::FormatJson() const {
  return json{
      {"mode", kFaultNames.Name(kind_)},
      {"delay_ms",
       std::chrono::duration_cast<std::chrono::milliseconds>(delay_).count()},
      {"count", remaining_}}
      .dump();
}

}  // namespace pomelohall
