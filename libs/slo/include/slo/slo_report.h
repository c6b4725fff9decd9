#ifndef POMELOHALL_SLO_SLO_REPORT_H_
#define POMELOHALL_SLO_SLO_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/configuration.h"

namespace pomelohall {

/// Which time a report covers.
struct slo_report_options {
  std::int64_t from_minute = 0;  ///< Unix time / 60, inclusive.
  std::int64_t to_minute = 0;    ///< Exclusive; see SloReportEnd().
  /// Data centres that should have reported. Those that appear in an object
  /// are added.
  std::vector<std::string> data_centres;
  std::size_t worst_windows = 5;    ///< Per class, at most.
  std::size_t timeline_slots = 60;  ///< Per class, at most; at least 1.
};

/// Requests of one class in a span of time.
struct slo_span {
  std::int64_t unix_seconds = 0;  ///< Start of the span.
  double requests = 0;            ///< With those assumed.
  double missed = 0;              ///< With those assumed.
};

/// The figure of one class of work.
struct slo_class_report {
  std::string name;
  std::optional<work_class> definition;  ///< Empty: not in the configuration.
  std::uint64_t requests = 0;            ///< Counted and assumed.
  std::uint64_t met = 0;
  /// Requests assumed to have missed: of vanished members, missing windows and
  /// unobserved minutes. Part of `requests`.
  std::uint64_t assumed_missed = 0;
  /// met / requests; empty if the class had no request.
  std::optional<double> figure;
  /// Share of the error budget that is left; below 0 when it is overspent.
  /// Empty without a request or a target.
  std::optional<double> budget_left;
  /// Missed share of the last 5 min and 1 h, divided by the share that may
  /// miss; 1 spends the budget exactly. Empty without a request or a target.
  std::optional<double> burn_5min;
  std::optional<double> burn_1h;
  /// Of counted requests, in ms, as upper edges of buckets. A window written by
  /// two aggregators counts twice here, but not in the figures above.
  double p50_ms = 0;
  double p99_ms = 0;
  std::vector<slo_span> worst;     ///< Windows of 10 s with most misses.
  std::vector<slo_span> timeline;  ///< Equal spans over the whole time.
};

/// The figures of all classes.
struct slo_report {
  std::int64_t from_seconds = 0;  ///< Unix time, inclusive.
  std::int64_t to_seconds = 0;    ///< Unix time, exclusive.
  /// Minutes of all data centres together.
  std::uint64_t observed_minutes = 0;
  std::uint64_t unobserved_minutes = 0;
  std::uint64_t missing_windows = 0;      ///< Of members in observed minutes.
  std::uint64_t duplicate_windows = 0;    ///< Dropped.
  std::uint64_t unreadable_objects = 0;   ///< Their time counts as unobserved.
  std::vector<slo_class_report> classes;  ///< By name.
};

/// Returns the end (exclusive, Unix time / 60) of the last minute whose objects
/// are on the platform at `unix_seconds`.
std::int64_t SloReportEnd(std::int64_t unix_seconds);

/// Computes the figures from the specs of all objects `slowindows`.
///
/// Unobserved time counts as missed. A minute of a data centre that no object
/// covers is assumed at the data centre's mean requests per observed minute; a
/// window that a member did not report, at the mean per reported window. A data
/// centre without any object is assumed at the mean of the others. Time before
/// the first window of all is no operation.
/// @param classes Classes with their targets from the configuration.
slo_report MakeSloReport(const std::vector<std::string>& specs,
                         const std::vector<work_class>& classes,
                         const slo_report_options& options);

}  // namespace pomelohall

#endif  // POMELOHALL_SLO_SLO_REPORT_H_
