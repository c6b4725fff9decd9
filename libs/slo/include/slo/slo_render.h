#ifndef POMELOHALL_SLO_SLO_RENDER_H_
#define POMELOHALL_SLO_SLO_RENDER_H_

#include <string>

#include "slo/slo_report.h"

namespace pomelohall {

/// Returns the report as a text table with a line per class. A class without a
/// request shows "no requests" instead of a figure, or "unobserved" if no
/// minute was observed.
std::string RenderSloTable(const slo_report& report);

/// Returns the report as JSON. `figure`, `budget_left` and the burn rates are
/// null where there is none.
std::string RenderSloJson(const slo_report& report);

/// Returns the report as one HTML page with an inline SVG picture. It refers to
/// nothing outside itself and has no scripts.
std::string RenderSloHtml(const slo_report& report);

}  // namespace pomelohall

#endif  // POMELOHALL_SLO_SLO_RENDER_H_
