#include "crash_codec.h"

#include <array>
#include <charconv>
#include <limits>
#include <utility>

#include "backend/http_message.h"
#include "base/digest.h"
#include "base/time.h"
#include "quarantine/quarantine.h"

namespace pomelohall {
namespace {

using nlohmann::json;

// A header field or a record of another program may have more.
constexpr std::size_t kMaxCrashes = 64;
constexpr std::size_t kMaxReports = 64;
constexpr std::size_t kMaxRequests = 256;

std::string EncodeId(std::uint64_t id) {
  std::array<char, 16> text{};
  const auto* const end =
      std::to_chars(text.data(), text.data() + text.size(), id, 16).ptr;
  return {text.data(), static_cast<std::size_t>(end - text.data())};
}

std::optional<std::uint64_t> DecodeId(std::string_view text) {
  std::uint64_t id = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, id, 16);
  if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end)
    return std::nullopt;
  return id;
}

std::optional<std::uint64_t> DecodeId(const json& value) {
  if (!value.is_string()) return std::nullopt;
  const std::string_view text = value.get_ref<const std::string&>();
  return DecodeId(text);
}

std::optional<std::int64_t> DecodeTime(std::string_view text) {
  const auto number = ParseNumber(text);
  if (!number || *number > std::numeric_limits<std::int64_t>::max())
    return std::nullopt;
  return static_cast<std::int64_t>(*number);
}

std::optional<suspected_crash> DecodeCrash(std::string_view item) {
  constexpr std::string_view kTrialSuffix = ":trial";
  const bool on_trial = item.ends_with(kTrialSuffix);
  if (on_trial) item.remove_suffix(kTrialSuffix.size());
  const auto colon = item.find(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const auto id = DecodeId(item.substr(0, colon));
  const auto at = DecodeTime(item.substr(colon + 1));
  if (!id || !at) return std::nullopt;
  return suspected_crash{.crash = {.id = *id, .at_unix_ms = *at},
                         .on_trial = on_trial};
}

std::optional<crash_report> DecodeReport(const json& entry) {
  if (!entry.is_object() || !entry.contains("id") || !entry.contains("at") ||
      !entry.contains("requests")) {
    return std::nullopt;
  }
  const auto id = DecodeId(entry.at("id"));
  const auto& at = entry.at("at");
  auto requests = DecodeRequests(entry.at("requests"));
  if (!id || !at.is_number_integer() || !requests) return std::nullopt;
  crash_report report{
      .crash = {.id = *id, .at_unix_ms = at.get<std::int64_t>()},
      .requests = std::move(*requests)};
  if (const auto trial = entry.find("trial"); trial != entry.end()) {
    report.trial = DecodeId(*trial);
    if (!report.trial) return std::nullopt;
  }
  // Differences of times do not overflow.
  if (report.crash.at_unix_ms < 0) return std::nullopt;
  return report;
}

}  // namespace

std::uint64_t FingerprintOf(const request_head& head, const body_prefix& body,
                            const header_field_names& names) {
  // The length of a longer body may not be known yet.
  const auto length = body.complete ? body.bytes->size()
                                    : std::numeric_limits<std::uint64_t>::max();
  auto hash = RequestFingerprint(head.method, head.target, length, *body.bytes);
  for (const auto* value : {FindField(head.fields, "Host"),
                            FindField(head.fields, names.caller_service)}) {
    hash = FastHash(value == nullptr ? "" : *value, hash);
  }
  return hash;
}

std::string EncodeCrashes(const std::vector<suspected_crash>& crashes) {
  std::string text;
  for (const auto& [crash, on_trial] : crashes) {
    if (!text.empty()) text += ',';
    text += EncodeId(crash.id) + ':' + std::to_string(crash.at_unix_ms);
    if (on_trial) text += ":trial";
  }
  return text;
}

std::optional<std::vector<suspected_crash>> DecodeCrashes(
    std::string_view text) {
  std::vector<suspected_crash> crashes;
  while (true) {
    const auto item = text.substr(0, text.find(','));
    const auto crash = DecodeCrash(item);
    if (!crash || crashes.size() == kMaxCrashes) return std::nullopt;
    crashes.push_back(*crash);
    if (item.size() == text.size()) return crashes;
    text.remove_prefix(item.size() + 1);
  }
}

void SetCrashes(http_fields& fields, const crash_history& history,
                std::uint64_t fingerprint) {
  const auto crashes = history.Crashes(fingerprint);
  if (!crashes.empty()) {
    SetField(fields, kMeshCrashesField, EncodeCrashes(crashes));
  } else if (history.IsCleared(fingerprint)) {
    SetField(fields, kMeshClearedField, "1");
  }
}

void TakeCrashes(http_fields& fields, crash_history& history,
                 std::uint64_t fingerprint) {
  if (FindField(fields, kMeshClearedField) != nullptr) {
    history.OnClearedElsewhere(fingerprint);
    RemoveField(fields, kMeshClearedField);
  }
  const auto* text = FindField(fields, kMeshCrashesField);
  if (text == nullptr) return;
  if (const auto crashes = DecodeCrashes(*text)) {
    history.Add(fingerprint, *crashes, UnixMillisNow());
  }
  RemoveField(fields, kMeshCrashesField);
}

json EncodeReports(const std::vector<crash_report>& reports) {
  auto list = json::array();
  for (const auto& report : reports) {
    list.push_back({{"id", EncodeId(report.crash.id)},
                    {"at", report.crash.at_unix_ms},
                    {"requests", EncodeRequests(report.requests)}});
    if (report.trial) list.back()["trial"] = EncodeId(*report.trial);
  }
  return list;
}

json EncodeRequests(const std::vector<std::uint64_t>& requests) {
  auto list = json::array();
  for (const auto fingerprint : requests) list.push_back(EncodeId(fingerprint));
  return list;
}

std::optional<std::vector<std::uint64_t>> DecodeRequests(const json& requests) {
  if (!requests.is_array() || requests.size() > kMaxRequests)
    return std::nullopt;
  std::vector<std::uint64_t> decoded;
  for (const auto& request : requests) {
    const auto fingerprint = DecodeId(request);
    if (!fingerprint) return std::nullopt;
    decoded.push_back(*fingerprint);
  }
  return decoded;
}

std::optional<std::vector<crash_report>> DecodeReports(const json& reports) {
  if (!reports.is_array() || reports.size() > kMaxReports) return std::nullopt;
  std::vector<crash_report> decoded;
  for (const auto& entry : reports) {
    auto report = DecodeReport(entry);
    if (!report) return std::nullopt;
    decoded.push_back(std::move(*report));
  }
  return decoded;
}

}  // namespace pomelohall
