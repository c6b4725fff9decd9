#ifndef POMELOHALL_SLO_SLO_TEXT_H_
#define POMELOHALL_SLO_SLO_TEXT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "slo/slo_report.h"

/// Formatting shared by the text table and the HTML page.
namespace pomelohall::slo_text {

std::string FigureText(const slo_report& report, const slo_class_report& item);
std::string TargetText(const slo_class_report& item);
std::string BudgetLeftText(const slo_class_report& item);
std::string BurnRateText(const std::optional<double>& burn);

/// Formats a time in UTC, for example "2026-12-04 05:30:00Z".
std::string TimeText(std::int64_t unix_seconds);

/// Summarizes observed, unobserved and dropped data in one sentence.
std::string ObservationText(const slo_report& report);

/// Formats `value` with `digits` decimal places.
std::string Fixed(double value, int digits);

}  // namespace pomelohall::slo_text

#endif  // POMELOHALL_SLO_SLO_TEXT_H_
