#ifndef POMELOHALL_METRICS_METRIC_REGISTRY_H_
#define POMELOHALL_METRICS_METRIC_REGISTRY_H_

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "metrics/counter.h"
#include "metrics/gauge.h"
#include "metrics/histogram.h"

namespace pomelohall {

/// Label names and values of a time series, for example {{"class", "lookup"}}.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// Holds the metrics of a process and renders them in the Prometheus text
/// format. Thread-safe. Returned references stay valid for the lifetime of the
/// registry; keep them, as each lookup takes a lock.
///
/// All series of a metric must have the same label names. A metric has at most
/// kMaxSeries series; further label values are recorded in one overflow series
/// whose label values are all "other".
class metric_registry {
 public:
  static constexpr std::size_t kMaxSeries = 1000;

  /// Returns the series and creates it if necessary.
  /// @param name Matches [a-z_][a-z0-9_]*; the name of a counter ends in
  ///     "_total".
  /// @param help One sentence; the text of the first call for a metric is used.
  counter& Counter(std::string_view name, std::string_view help,
                   const metric_labels& labels = {});
  gauge& Gauge(std::string_view name, std::string_view help,
               const metric_labels& labels = {});
  histogram& Histogram(std::string_view name, std::string_view help,
                       const histogram_range& range,
                       const metric_labels& labels = {});

  /// Returns all metrics, sorted by name, in the Prometheus text format 0.0.4.
  std::string Render() const;

 private:
  enum class metric_type { kCounter, kGauge, kHistogram };

  struct series {
    metric_labels labels;
    std::unique_ptr<counter> total;
    std::unique_ptr<gauge> level;
    std::unique_ptr<histogram> distribution;
  };

  struct family {
    metric_type type = metric_type::kCounter;
    std::string help;
    std::map<std::string, series> series_by_labels;  ///< By rendered labels.
  };

  series& Find(std::string_view name, std::string_view help, metric_type type,
               const metric_labels& labels);
  static void RenderSeries(const std::string& name, const series& entry,
                           std::string& out);

  mutable std::mutex mutex_;
  std::map<std::string, family, std::less<>> families_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_METRICS_METRIC_REGISTRY_H_
