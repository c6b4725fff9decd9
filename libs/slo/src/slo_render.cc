#include "slo/slo_render.h"

#include <algorithm>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <vector>

#include "slo_text.h"

namespace pomelohall {
namespace {

using nlohmann::json;
using slo_text::BudgetLeftText;
using slo_text::BurnRateText;
using slo_text::FigureText;
using slo_text::Fixed;
using slo_text::ObservationText;
using slo_text::TargetText;
using slo_text::TimeText;
using table_row = std::vector<std::string>;

template <typename T>
json OrNull(const std::optional<T>& value) {
  return value ? json(*value) : json(nullptr);
}

json SpansToJson(const std::vector<slo_span>& spans) {
  json list = json::array();
  for (const auto& span : spans) {
    list.push_back({{"unix_seconds", span.unix_seconds},
                    {"requests", span.requests},
                    {"missed", span.missed}});
  }
  return list;
}

json TargetToJson(const std::optional<work_class>& definition) {
  if (!definition) return nullptr;
  json target = {{"within_ms", definition->target.within_ms},
                 {"share", definition->target.share}};
  if (definition->target.min_bytes_per_s > 0) {
    target["min_bytes_per_s"] = definition->target.min_bytes_per_s;
  }
  return target;
}

json ClassToJson(const slo_class_report& item) {
  return {{"class", item.name},
          {"target", TargetToJson(item.definition)},
          {"requests", item.requests},
          {"met", item.met},
          {"assumed_missed", item.assumed_missed},
          {"figure", OrNull(item.figure)},
          {"budget_left", OrNull(item.budget_left)},
          {"burn_5min", OrNull(item.burn_5min)},
          {"burn_1h", OrNull(item.burn_1h)},
          {"p50_ms", item.p50_ms},
          {"p99_ms", item.p99_ms},
          {"worst_windows", SpansToJson(item.worst)}};
}

// Left-aligns the first column and right-aligns the others.
std::string AlignColumns(const std::vector<table_row>& rows) {
  std::vector<std::size_t> widths(rows.front().size(), 0);
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string out;
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      const std::string padding(widths[i] - row[i].size(), ' ');
      if (i > 0) out += "  ";
      out += i == 0 ? row[i] + padding : padding + row[i];
    }
    out += "\n";
  }
  return out;
}

std::string WorstWindowsText(const slo_class_report& item) {
  std::string out;
  for (const auto& span : item.worst) {
    out += "  " + item.name + "  " + TimeText(span.unix_seconds) + "  missed " +
           Fixed(span.missed, 0) + " of " + Fixed(span.requests, 0) + "\n";
  }
  return out;
}

}  // namespace

std::string RenderSloTable(const slo_report& report) {
  std::vector<table_row> rows{{"class", "target", "figure", "requests",
                               "missed", "assumed", "budget left", "burn 5min",
                               "burn 1h", "p50 ms", "p99 ms"}};
  std::string worst;
  for (const auto& item : report.classes) {
    rows.push_back({item.name, TargetText(item), FigureText(report, item),
                    std::to_string(item.requests),
                    std::to_string(item.requests - item.met),
                    std::to_string(item.assumed_missed), BudgetLeftText(item),
                    BurnRateText(item.burn_5min), BurnRateText(item.burn_1h),
                    Fixed(item.p50_ms, 1), Fixed(item.p99_ms, 1)});
    worst += WorstWindowsText(item);
  }
  std::string out = TimeText(report.from_seconds) + " to " +
                    TimeText(report.to_seconds) + "\n" + AlignColumns(rows);
  if (!worst.empty()) out += "worst windows of 10 s\n" + worst;
  return out + ObservationText(report) + "\n";
}

std::string RenderSloJson(const slo_report& report) {
  json classes = json::array();
  for (const auto& item : report.classes) classes.push_back(ClassToJson(item));
  const json value = {{"from", report.from_seconds},
                      {"to", report.to_seconds},
                      {"observed_minutes", report.observed_minutes},
                      {"unobserved_minutes", report.unobserved_minutes},
                      {"missing_windows", report.missing_windows},
                      {"duplicate_windows", report.duplicate_windows},
                      {"unreadable_objects", report.unreadable_objects},
                      {"classes", std::move(classes)}};
  return value.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

}  // namespace pomelohall
