#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <thread>
#include <vector>

#include "metrics/metric_registry.h"

namespace pomelohall {

// Guards against output that a Prometheus server cannot parse.
TEST_CASE("MetricRegistry_Render_IsPrometheusText") {
  metric_registry registry;
  registry.Counter("calls_total", "Calls\nby class.", {{"class", "a\"b\\c\nd"}})
      .Add(3);
  registry.Gauge("members", "Members known.").Set(-2);
  auto& sizes = registry.Histogram("size_bytes", "Sizes.", {1, 100, 2});
  sizes.Record(5);
  sizes.Record(50);
  sizes.Record(1000);
  CHECK(registry.Render() ==
        "# HELP calls_total Calls\\nby class.\n"
        "# TYPE calls_total counter\n"
        "calls_total{class=\"a\\\"b\\\\c\\nd\"} 3\n"
        "# HELP members Members known.\n"
        "# TYPE members gauge\n"
        "members -2\n"
        "# HELP size_bytes Sizes.\n"
        "# TYPE size_bytes histogram\n"
        "size_bytes_bucket{le=\"10\"} 1\n"
        "size_bytes_bucket{le=\"100\"} 2\n"
        "size_bytes_bucket{le=\"+Inf\"} 3\n"
        "size_bytes_sum 1055\n"
        "size_bytes_count 3\n");
}

// Guards against values outside the range that are missing from the count.
TEST_CASE("Histogram_ValuesOutsideTheRange_AreCounted") {
  histogram values({1, 100, 2});
  for (const double value : {0.0, -1.0, 0.5, 1e9}) values.Record(value);
  values.Record(std::numeric_limits<double>::quiet_NaN());
  const auto snapshot = values.Snapshot();
  CHECK(snapshot.count == 4);
  CHECK(snapshot.cumulative_counts == std::vector<std::uint64_t>{3, 3});
}

// Guards against unbounded memory use through label values from untrusted
// input.
TEST_CASE("MetricRegistry_TooManyLabelValues_ShareOneSeries") {
  metric_registry registry;
  for (std::size_t i = 0; i < 2 * metric_registry::kMaxSeries; ++i) {
    registry.Counter("calls_total", "Calls.", {{"class", std::to_string(i)}})
        .Add();
  }
  const std::string text = registry.Render();
  std::size_t lines = 0;
  for (const char c : text) lines += c == '\n' ? 1 : 0;
  CHECK(lines == 2 + metric_registry::kMaxSeries);
  CHECK(text.find("{class=\"other\"} 1001\n") != std::string::npos);
}

// Guards against lost increments and races between recording and rendering.
TEST_CASE("MetricRegistry_ConcurrentUse_CountsEverything") {
  metric_registry registry;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&registry] {
      for (int i = 0; i < 1000; ++i) {
        registry.Counter("calls_total", "Calls.").Add();
        registry.Histogram("time_seconds", "Time.", {}).Record(0.01);
        if (i % 100 == 0) registry.Render();
      }
    });
  }
  for (auto& thread : threads) thread.join();
  CHECK(registry.Counter("calls_total", "").Value() == 4000);
  CHECK(registry.Histogram("time_seconds", "", {}).Snapshot().count == 4000);
}

}  // namespace pomelohall
