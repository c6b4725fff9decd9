#ifndef POMELOHALL_OPERATORS_REPORT_COMMAND_H_
#define POMELOHALL_OPERATORS_REPORT_COMMAND_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"
#include "operators/command_output.h"
#include "operators/environment.h"

namespace pomelohall {

struct report_options {
  std::int64_t window_minutes = 60;  ///< Time range of the report.
  std::int64_t unix_seconds = 0;     ///< Current time.
  /// Includes recent minutes whose objects may still be written.
  bool include_recent = false;
  bool html = false;  ///< One HTML page instead of `format`.
  output_format format = output_format::kTable;
};

/// Parses a span such as "30m", "24h" or "28d" into minutes, 1 to 525,600.
/// Fails with `kInvalidRequest`.
result<std::int64_t> ParseReportWindow(std::string_view text);

/// Returns the figure, error budget and burn rates of each class.
command_output RunReport(environment& env, const report_options& options);

}  // namespace pomelohall

#endif  // POMELOHALL_OPERATORS_REPORT_COMMAND_H_
