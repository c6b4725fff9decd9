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

/// Label names and values of one series, for example {{"class", "lookup"}}.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// Holds the metrics of a process and renders them in the Prometheus text
/// format. Thread-safe. The references returned are valid as long as the
/// registry; look them up once and keep them, as a look-up takes a lock.
///
/// All series of a metric have the same label names: those of the first one.
/// A metric has at most kMaxSeries series; further label values are counted
/// in one series whose values are all "other".
class metric_registry {
 public:
  static constexpr std::size_t kMaxSeries = 1000;

  /// Returns the series, which is created with the first call.
  /// @param name Matches [a-z_][a-z0-9_]*; a counter ends in "_total".
  /// @param help One sentence; that of the first call is shown.
  counter& Counter(std::string_view name, std::string_view help,
                   const metric_labels& labels = {});
  gauge& Gauge(std::string_view name, std::string_view help,
               const metric_labels& labels = {});
  histogram& Histogram(std::string_view name, std::string_view help,
                       const histogram_range& range,
                       const metric_labels& labels = {});

  /// Returns all metrics, sorted by name, in text format version 0.0.4.
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
    std::map<std::string, series> members;  ///< By rendered labels.
  };

  series& Find(std::string_view name, std::string_view help, metric_type type,
               const metric_labels& labels);
  static void RenderSeries(const std::string& name, const series& item,
                           std::string& out);

  mutable std::mutex mutex_;
  std::map<std::string, family, std::less<>> families_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_METRICS_METRIC_REGISTRY_H_
