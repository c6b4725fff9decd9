#include "metrics/metric_registry.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <cstdint>

namespace pomelohall {
namespace {

constexpr std::string_view kOverflowLabelValue = "other";

std::string FormatNumber(double value) {
  std::array<char, 32> text{};
  const auto end =
      std::to_chars(text.data(), text.data() + text.size(), value).ptr;
  return {text.data(), end};
}

// Formats a bucket bound with 6 significant digits, which hides the rounding
// errors of a logarithmic axis.
std::string FormatBound(double value) {
  std::array<char, 32> text{};
  const auto end = std::to_chars(text.data(), text.data() + text.size(), value,
                                 std::chars_format::general, 6)
                       .ptr;
  return {text.data(), end};
}

std::string Escape(std::string_view text, bool escape_quotes) {
  std::string out;
  for (const char c : text) {
    if (c == '\n') {
      out += "\\n";
    } else {
      if (c == '\\' || (c == '"' && escape_quotes)) out.push_back('\\');
      out.push_back(c);
    }
  }
  return out;
}

std::string RenderLabels(const metric_labels& labels) {
  if (labels.empty()) return "";
  std::string out;
  for (const auto& [name, value] : labels) {
    out += out.empty() ? "{" : ",";
    out += name;
    out += "=\"";
    out += Escape(value, true);
    out += "\"";
  }
  return out + "}";
}

bool IsValidMetricName(std::string_view name) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_';
  };
  return !name.empty() && !(name[0] >= '0' && name[0] <= '9') &&
         std::all_of(name.begin(), name.end(), allowed);
}

bool HaveSameLabelNames(const metric_labels& one, const metric_labels& other) {
  return std::equal(
      one.begin(), one.end(), other.begin(), other.end(),
      [](const auto& a, const auto& b) { return a.first == b.first; });
}

void AppendSample(const std::string& name, const metric_labels& labels,
                  const std::string& value, std::string& out) {
  out += name;
  out += RenderLabels(labels);
  out += " ";
  out += value;
  out += "\n";
}

void AppendBucket(const std::string& name, metric_labels labels,
                  std::string bound, std::uint64_t count, std::string& out) {
  labels.emplace_back("le", std::move(bound));
  AppendSample(name + "_bucket", labels, std::to_string(count), out);
}

void AppendHistogram(const std::string& name, const metric_labels& labels,
                     const histogram_snapshot& snapshot, std::string& out) {
  for (std::size_t i = 0; i < snapshot.upper_bounds.size(); ++i) {
    AppendBucket(name, labels, FormatBound(snapshot.upper_bounds[i]),
                 snapshot.cumulative_counts[i], out);
  }
  AppendBucket(name, labels, "+Inf", snapshot.count, out);
  AppendSample(name + "_sum", labels, FormatNumber(snapshot.sum), out);
  AppendSample(name + "_count", labels, std::to_string(snapshot.count), out);
}

}  // namespace

metric_registry::series& metric_registry::Find(std::string_view name,
                                               std::string_view help,
                                               metric_type type,
                                               const metric_labels& labels) {
  assert(IsValidMetricName(name));
  auto found = families_.find(name);
  if (found == families_.end()) {
    found = families_.emplace(std::string(name), family{}).first;
    found->second.type = type;
    found->second.help = help;
  }
  family& metric = found->second;
  assert(metric.type == type);
  assert(metric.series_by_labels.empty() ||
         HaveSameLabelNames(metric.series_by_labels.begin()->second.labels,
                            labels));
  const std::string key = RenderLabels(labels);
  const auto existing = metric.series_by_labels.find(key);
  if (existing != metric.series_by_labels.end()) return existing->second;
  metric_labels stored = labels;
  if (metric.series_by_labels.size() + 1 >= kMaxSeries) {
    for (auto& label : stored) label.second = kOverflowLabelValue;
  }
  series& entry = metric.series_by_labels[RenderLabels(stored)];
  entry.labels = std::move(stored);
  return entry;
}

counter& metric_registry::Counter(std::string_view name, std::string_view help,
                                  const metric_labels& labels) {
  const std::lock_guard lock(mutex_);
  series& entry = Find(name, help, metric_type::kCounter, labels);
  if (!entry.total) entry.total = std::make_unique<counter>();
  return *entry.total;
}

gauge& metric_registry::Gauge(std::string_view name, std::string_view help,
                              const metric_labels& labels) {
  const std::lock_guard lock(mutex_);
  series& entry = Find(name, help, metric_type::kGauge, labels);
  if (!entry.level) entry.level = std::make_unique<gauge>();
  return *entry.level;
}

histogram& metric_registry::Histogram(std::string_view name,
                                      std::string_view help,
                                      const histogram_range& range,
                                      const metric_labels& labels) {
  const std::lock_guard lock(mutex_);
  series& entry = Find(name, help, metric_type::kHistogram, labels);
  if (!entry.distribution) {
    entry.distribution = std::make_unique<histogram>(range);
  }
  return *entry.distribution;
}

void metric_registry::RenderSeries(const std::string& name, const series& entry,
                                   std::string& out) {
  if (entry.total) {
    AppendSample(name, entry.labels, std::to_string(entry.total->Value()), out);
  } else if (entry.level) {
    AppendSample(name, entry.labels, std::to_string(entry.level->Value()), out);
  } else if (entry.distribution) {
    AppendHistogram(name, entry.labels, entry.distribution->Snapshot(), out);
  }
}

std::string metric_registry::Render() const {
  constexpr std::array<const char*, 3> kTypes{"counter", "gauge", "histogram"};
  const std::lock_guard lock(mutex_);
  std::string out;
  for (const auto& [name, metric] : families_) {
    out += "# HELP " + name + " " + Escape(metric.help, false) + "\n";
    out += "# TYPE " + name + " " +
           kTypes[static_cast<std::size_t>(metric.type)] + "\n";
    for (const auto& member : metric.series_by_labels) {
      RenderSeries(name, member.second, out);
    }
  }
  return out;
}

}  // namespace pomelohall
