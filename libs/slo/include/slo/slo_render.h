#ifndef POMELOHALL_SLO_SLO_RENDER_H_
#define POMELOHALL_SLO_SLO_RENDER_H_

#include <string>

#include "slo/slo_report.h"

namespace pomelohall {

/// Renders the report as a text table with one line per class. A class without
/// requests shows "no requests" instead of a figure, or "unobserved" if no
/// minute was observed.
std::string RenderSloTable(const slo_report& report);

/// Renders the report as JSON. `figure`, `budget_left` and the burn rates are
/// null if undefined.
std::string RenderSloJson(const slo_report& report);

/// Renders the report as a self-contained HTML page with an inline SVG chart,
/// without scripts or external resources.
std::string RenderSloHtml(const slo_report& report);

}  // namespace pomelohall

#endif  // POMELOHALL_SLO_SLO_RENDER_H_
