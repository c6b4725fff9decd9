#ifndef POMELOHALL_SLO_SLO_TEXT_H_
#define POMELOHALL_SLO_SLO_TEXT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "slo/slo_report.h"

/// Texts that the table and the HTML page share.
namespace pomelohall::slo_text {

std::string FigureText(const slo_report& report, const slo_class_report& item);
std::string TargetText(const slo_class_report& item);
std::string BudgetText(const slo_class_report& item);
std::string BurnText(const std::optional<double>& burn);

/// Returns for example "2026-12-04 05:30:00Z".
std::string TimeText(std::int64_t unix_seconds);

/// Returns a sentence on the time that was not observed.
std::string ObservationText(const slo_report& report);

/// Returns `value` with `digits` digits after the point.
std::string Fixed(double value, int digits);

}  // namespace pomelohall::slo_text

#endif  // POMELOHALL_SLO_SLO_TEXT_H_
