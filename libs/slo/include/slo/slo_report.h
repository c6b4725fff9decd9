#ifndef POMELOHALL_SLO_SLO_REPORT_H_
#define POMELOHALL_SLO_SLO_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/configuration.h"

namespace pomelohall {

/// Time range and limits of a report.
struct slo_report_options {
  std::int64_t from_minute = 0;  ///< Unix time / 60, inclusive.
  std::int64_t to_minute = 0;    ///< Exclusive; see SloReportEnd().
  /// Data centres expected to report, in addition to those found in objects.
  std::vector<std::string> data_centres;
  std::size_t worst_windows = 5;    ///< Maximum per class.
  std::size_t timeline_slots = 60;  ///< Maximum per class, at least 1.
};

/// Requests of one class in a time span.
struct slo_span {
  std::int64_t unix_seconds = 0;  ///< Start of the span.
  double requests = 0;            ///< Counted and assumed.
  double missed = 0;              ///< Counted and assumed.
};

/// SLO results of one work class.
struct slo_class_report {
  std::string name;
  std::optional<work_class> definition;  ///< Empty if not configured.
  std::uint64_t requests = 0;            ///< Counted and assumed.
  std::uint64_t met = 0;
  /// Requests assumed to have missed, for vanished members, missing windows and
  /// unobserved minutes. Included in `requests`.
  std::uint64_t assumed_missed = 0;
  /// met / requests; empty without requests.
  std::optional<double> figure;
  /// Remaining share of the error budget; negative if overspent. Empty without
  /// requests or without a target.
  std::optional<double> budget_left;
  /// Burn rates: missed share of the last 5 min and 1 h, divided by the missed
  /// share that the target allows. A constant rate of 1 spends exactly the
  /// error budget. Empty without requests or without a target.
  std::optional<double> burn_5min;
  std::optional<double> burn_1h;
  /// Latency quantiles of counted requests, as upper bucket edges. A window
  /// written by two aggregators counts twice here, but not in the fields above.
  double p50_ms = 0;
  double p99_ms = 0;
  std::vector<slo_span> worst;     ///< 10 s windows with the most misses.
  std::vector<slo_span> timeline;  ///< Equal spans over the report.
};

/// SLO results of all classes.
struct slo_report {
  std::int64_t from_seconds = 0;  ///< Unix time, inclusive.
  std::int64_t to_seconds = 0;    ///< Unix time, exclusive.
  /// Summed over all data centres.
  std::uint64_t observed_minutes = 0;
  std::uint64_t unobserved_minutes = 0;
  std::uint64_t missing_windows = 0;      ///< Of members in observed minutes.
  std::uint64_t duplicate_windows = 0;    ///< Dropped.
  std::uint64_t unreadable_objects = 0;   ///< Their time counts as unobserved.
  std::vector<slo_class_report> classes;  ///< By name.
};

/// Returns the end (exclusive, Unix time / 60) of the last minute whose objects
/// have been written at `unix_seconds`.
std::int64_t SloReportEnd(std::int64_t unix_seconds);

/// Computes the report from the specs of all `slowindows` objects.
///
/// Requests of unobserved time are estimated and counted as missed. A minute of
/// a data centre that no object covers is estimated by the data centre's mean
/// per observed minute, a window that a member did not report by the mean per
/// reported window, and a data centre without objects by the mean of the
/// others. Time before the earliest window of all counts as out of operation
/// and adds no requests.
/// @param classes Classes with their targets from the configuration.
slo_report MakeSloReport(const std::vector<std::string>& specs,
                         const std::vector<work_class>& classes,
                         const slo_report_options& options);

}  // namespace pomelohall

#endif  // POMELOHALL_SLO_SLO_REPORT_H_
