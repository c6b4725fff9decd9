#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "slo/slo_render.h"
#include "slo_text.h"

namespace pomelohall {
namespace {

using slo_text::BudgetLeftText;
using slo_text::BurnRateText;
using slo_text::FigureText;
using slo_text::Fixed;
using slo_text::ObservationText;
using slo_text::TargetText;
using slo_text::TimeText;

// Dimensions of the timeline chart in SVG units.
constexpr int kLabelWidth = 200;
constexpr int kChartWidth = 720;
constexpr int kRowHeight = 40;
constexpr int kBarHeight = 30;
constexpr int kMinMissHeight = 3;  // Keeps a single miss visible.

constexpr std::string_view kHtmlHead = R"html(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>pomelohall report</title>
<style>
body{font-family:sans-serif;margin:2em;color:#222}
table{border-collapse:collapse}
th,td{border-bottom:1px solid #ccc;padding:.3em .8em;text-align:right}
th:first-child,td:first-child{text-align:left}
.missed{color:#b00020;font-weight:bold}
</style></head><body>
<h1>Targets per class of work</h1>
)html";

std::string Escape(std::string_view text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out.push_back(c);
    }
  }
  return out;
}

std::string HtmlRow(const std::vector<std::string>& texts,
                    std::string_view element) {
  std::string out = "<tr>";
  for (const auto& text : texts) {
    out += "<" + std::string(element) + ">" + Escape(text) + "</" +
           std::string(element) + ">";
  }
  return out + "</tr>\n";
}

bool MissesTarget(const slo_class_report& item) {
  return item.figure && item.definition &&
         *item.figure < item.definition->target.share;
}

std::string ClassTable(const slo_report& report) {
  std::string out =
      "<table>\n" + HtmlRow({"class", "target", "figure", "requests", "missed",
                             "assumed missed", "budget left", "burn 5 min",
                             "burn 1 h", "p50 ms", "p99 ms"},
                            "th");
  for (const auto& item : report.classes) {
    std::string row =
        HtmlRow({item.name, TargetText(item), FigureText(report, item),
                 std::to_string(item.requests),
                 std::to_string(item.requests - item.met),
                 std::to_string(item.assumed_missed), BudgetLeftText(item),
                 BurnRateText(item.burn_5min), BurnRateText(item.burn_1h),
                 Fixed(item.p50_ms, 1), Fixed(item.p99_ms, 1)},
                "td");
    if (MissesTarget(item)) row.replace(0, 4, "<tr class=\"missed\">");
    out += row;
  }
  return out + "</table>\n";
}

std::string WorstWindowsTable(const slo_report& report) {
  std::string rows;
  for (const auto& item : report.classes) {
    for (const auto& span : item.worst) {
      rows += HtmlRow({item.name, TimeText(span.unix_seconds),
                       Fixed(span.requests, 0), Fixed(span.missed, 0)},
                      "td");
    }
  }
  if (rows.empty()) return "";
  return "<h2>Worst windows of 10 s</h2>\n<table>\n" +
         HtmlRow({"class", "start", "requests", "missed"}, "th") + rows +
         "</table>\n";
}

std::string Rectangle(double x, double y, double width, double height,
                      std::string_view colour, std::string_view title) {
  return "<rect x=\"" + Fixed(x, 1) + "\" y=\"" + Fixed(y, 1) + "\" width=\"" +
         Fixed(width, 1) + "\" height=\"" + Fixed(height, 1) + "\" fill=\"" +
         std::string(colour) + "\"><title>" + Escape(title) +
         "</title></rect>\n";
}

// Draws a bar: grey without requests, otherwise green with the missed share in
// red.
std::string Bar(const slo_span& span, double x, double y, double width) {
  const std::string when = TimeText(span.unix_seconds);
  if (span.requests <= 0) {
    return Rectangle(x, y, width, kBarHeight, "#ddd", when + ": no requests");
  }
  const std::string title = when + ": missed " + Fixed(span.missed, 0) +
                            " of " + Fixed(span.requests, 0);
  std::string out = Rectangle(x, y, width, kBarHeight, "#6a6", title);
  if (span.missed > 0) {
    const double height = std::max<double>(
        kMinMissHeight, kBarHeight * span.missed / span.requests);
    out +=
        Rectangle(x, y + kBarHeight - height, width, height, "#b00020", title);
  }
  return out;
}

std::string ClassRow(const slo_class_report& item, int top) {
  std::string out = "<text x=\"0\" y=\"" + std::to_string(top + 20) + "\">" +
                    Escape(item.name) + "</text>\n";
  const double width = kChartWidth / static_cast<double>(item.timeline.size());
  for (std::size_t i = 0; i < item.timeline.size(); ++i) {
    out += Bar(item.timeline[i], kLabelWidth + static_cast<double>(i) * width,
               top, width * 0.9);
  }
  return out;
}

std::string TimelineSvg(const slo_report& report) {
  const auto rows = static_cast<int>(report.classes.size());
  const int width = kLabelWidth + kChartWidth;
  std::string out = "<h2>Missed share over time</h2>\n<svg width=\"" +
                    std::to_string(width) + "\" height=\"" +
                    std::to_string(rows * kRowHeight) +
                    "\" font-size=\"14\" role=\"img\" aria-label=\"Missed "
                    "share per class over time\">\n";
  for (int i = 0; i < rows; ++i) {
    out +=
        ClassRow(report.classes[static_cast<std::size_t>(i)], i * kRowHeight);
  }
  return out + "</svg>\n";
}

}  // namespace

std::string RenderSloHtml(const slo_report& report) {
  return std::string(kHtmlHead) + "<p>" + TimeText(report.from_seconds) +
         " to " + TimeText(report.to_seconds) + "</p>\n" + ClassTable(report) +
         TimelineSvg(report) + WorstWindowsTable(report) + "<p>" +
         Escape(ObservationText(report)) + "</p>\n</body></html>\n";
}

}  // namespace pomelohall
