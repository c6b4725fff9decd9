#include "slo_text.h"

#include <array>
#include <cmath>
#include <cstdio>
#include <ctime>

namespace pomelohall::slo_text {
namespace {

constexpr double kPercent = 100;

}  // namespace

std::string Fixed(double value, int digits) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%.*f", digits, value);
  return text.data();
}

std::string TimeText(std::int64_t unix_seconds) {
  const std::time_t time = unix_seconds;
  std::tm utc{};
  gmtime_r(&time, &utc);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%SZ", &utc);
  return text.data();
}

std::string FigureText(const slo_report& report, const slo_class_report& item) {
  if (!item.figure) {
    return report.observed_minutes == 0 ? "unobserved" : "no requests";
  }
  // Rounds down, so that 99.9999% is not shown as 100%.
  constexpr double kRoundingScale = 1000;
  return Fixed(std::floor(*item.figure * kPercent * kRoundingScale) /
                   kRoundingScale,
               3) +
         "%";
}

std::string TargetText(const slo_class_report& item) {
  if (!item.definition) return "none";
  const auto& target = item.definition->target;
  std::string text = Fixed(target.share * kPercent, 2) + "% in " +
                     std::to_string(target.within_ms) + " ms";
  if (target.min_bytes_per_s > 0) {
    text += " + body at " + std::to_string(target.min_bytes_per_s) + " B/s";
  }
  return text;
}

std::string BudgetLeftText(const slo_class_report& item) {
  if (!item.budget_left) return "-";
  return Fixed(*item.budget_left * kPercent, 1) + "%";
}

std::string BurnRateText(const std::optional<double>& burn) {
  return burn ? Fixed(*burn, 2) : "-";
}

std::string ObservationText(const slo_report& report) {
  return std::to_string(report.observed_minutes) +
         " minutes observed over all data centres, " +
         std::to_string(report.unobserved_minutes) +
         " not observed and counted as missed; " +
         std::to_string(report.missing_windows) +
         " daemon windows missing and counted as missed; " +
         std::to_string(report.duplicate_windows) +
         " duplicate windows dropped; " +
         std::to_string(report.unreadable_objects) + " objects unreadable.";
}

}  // namespace pomelohall::slo_text
