#include "operators/report_command.h"

#include <charconv>
#include <string>
#include <vector>

#include "operators/configuration_reader.h"
#include "operators/status_command.h"
#include "operators/store_calls.h"
#include "slo/slo_aggregator.h"
#include "slo/slo_render.h"
#include "slo/slo_report.h"

namespace pomelohall {
namespace {

constexpr std::int64_t kMinutesPerHour = 60;
constexpr std::int64_t kMinutesPerDay = 24 * kMinutesPerHour;
constexpr std::int64_t kMaxMinutes = 365 * kMinutesPerDay;

std::int64_t MinutesPerUnit(char unit) {
  switch (unit) {
    case 'm':
      return 1;
    case 'h':
      return kMinutesPerHour;
    case 'd':
      return kMinutesPerDay;
    default:
      return 0;
  }
}

slo_report_options MakeSloReportOptions(const report_options& options) {
  slo_report_options slo_options;
  slo_options.to_minute = options.include_recent
                              ? options.unix_seconds / kSloMinuteSeconds + 1
                              : SloReportEnd(options.unix_seconds);
  slo_options.from_minute = slo_options.to_minute - options.window_minutes;
  return slo_options;
}

}  // namespace

result<std::int64_t> ParseReportWindow(std::string_view text) {
  std::int64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  const std::int64_t unit = parsed.ec == std::errc() && parsed.ptr + 1 == end
                                ? MinutesPerUnit(*parsed.ptr)
                                : 0;
  if (unit == 0 || number < 1 || number > kMaxMinutes / unit) {
    return Fail(error_kind::kInvalidRequest,
                "found window \"" + std::string(text) +
                    "\", allowed are 1m to 365d; units are m, h and d");
  }
  return number * unit;
}

command_output RunReport(environment& env, const report_options& options) {
  const auto head = ReadHead(env);
  if (!head) return Failed(head.error());
  const auto document = ReadDocument(env, *head);
  if (!document) return Failed(document.error());
  const auto statuses = ReadStatuses(env);
  if (!statuses) return Failed(statuses.error());
  const auto objects = ListObjects(env, kSloWindowPlural);
  if (!objects) return Failed(objects.error());
  auto slo_options = MakeSloReportOptions(options);
  for (const auto& status : *statuses) {
    slo_options.data_centres.push_back(status.data_centre);
  }
  std::vector<std::string> specs;
  specs.reserve(objects->size());
  for (const auto& object : *objects) specs.push_back(object.spec);
  const auto report = MakeSloReport(specs, document->classes, slo_options);
  if (options.html) return Succeeded(RenderSloHtml(report));
  return Succeeded(options.format == output_format::kJson
                       ? RenderSloJson(report)
                       : RenderSloTable(report));
}

}  // namespace pomelohall
