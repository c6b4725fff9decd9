#include "metrics/metric_registry.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <cstdint>

namespace pomelohall {
namespace {

constexpr std::string_view kOverflowValue = "other";

std::string Number(double value) {
  std::array<char, 32> text{};
  const auto end =
      std::to_chars(text.data(), text.data() + text.size(), value).ptr;
  return {text.data(), end};
}

// Edges of a logarithmic axis carry rounding errors; 6 digits name them.
std::string Edge(double value) {
  std::array<char, 32> text{};
  const auto end = std::to_chars(text.data(), text.data() + text.size(), value,
                                 std::chars_format::general, 6)
                       .ptr;
  return {text.data(), end};
}

std::string Escape(std::string_view text, bool quotes) {
  std::string out;
  for (const char c : text) {
    if (c == '\n') {
      out += "\\n";
    } else {
      if (c == '\\' || (c == '"' && quotes)) out.push_back('\\');
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

bool IsName(std::string_view name) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_';
  };
  return !name.empty() && !(name[0] >= '0' && name[0] <= '9') &&
         std::all_of(name.begin(), name.end(), allowed);
}

bool SameNames(const metric_labels& one, const metric_labels& other) {
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
                  std::string edge, std::uint64_t count, std::string& out) {
  labels.emplace_back("le", std::move(edge));
  AppendSample(name + "_bucket", labels, std::to_string(count), out);
}

void AppendHistogram(const std::string& name, const metric_labels& labels,
                     const histogram_totals& totals, std::string& out) {
  for (std::size_t i = 0; i < totals.upper_edges.size(); ++i) {
    AppendBucket(name, labels, Edge(totals.upper_edges[i]),
                 totals.cumulative[i], out);
  }
  AppendBucket(name, labels, "+Inf", totals.count, out);
  AppendSample(name + "_sum", labels, Number(totals.sum), out);
  AppendSample(name + "_count", labels, std::to_string(totals.count), out);
}

}  // namespace

metric_registry::series& metric_registry::Find(std::string_view name,
                                               std::string_view help,
                                               metric_type type,
                                               const metric_labels& labels) {
  assert(IsName(name));
  auto found = families_.find(name);
  if (found == families_.end()) {
    found = families_.emplace(std::string(name), family{}).first;
    found->second.type = type;
    found->second.help = help;
  }
  family& group = found->second;
  assert(group.type == type);
  assert(group.members.empty() ||
         SameNames(group.members.begin()->second.labels, labels));
  const std::string key = RenderLabels(labels);
  const auto known = group.members.find(key);
  if (known != group.members.end()) return known->second;
  metric_labels stored = labels;
  if (group.members.size() + 1 >= kMaxSeries) {
    for (auto& label : stored) label.second = kOverflowValue;
  }
  series& item = group.members[RenderLabels(stored)];
  item.labels = std::move(stored);
  return item;
}

counter& metric_registry::Counter(std::string_view name, std::string_view help,
                                  const metric_labels& labels) {
  const std::lock_guard lock(mutex_);
  series& item = Find(name, help, metric_type::kCounter, labels);
  if (!item.total) item.total = std::make_unique<counter>();
  return *item.total;
}

gauge& metric_registry::Gauge(std::string_view name, std::string_view help,
                              const metric_labels& labels) {
  const std::lock_guard lock(mutex_);
  series& item = Find(name, help, metric_type::kGauge, labels);
  if (!item.level) item.level = std::make_unique<gauge>();
  return *item.level;
}

histogram& metric_registry::Histogram(std::string_view name,
                                      std::string_view help,
                                      const histogram_range& range,
                                      const metric_labels& labels) {
  const std::lock_guard lock(mutex_);
  series& item = Find(name, help, metric_type::kHistogram, labels);
  if (!item.distribution) {
    item.distribution = std::make_unique<histogram>(range);
  }
  return *item.distribution;
}

void metric_registry::RenderSeries(const std::string& name, const series& item,
                                   std::string& out) {
  if (item.total) {
    AppendSample(name, item.labels, std::to_string(item.total->Value()), out);
  } else if (item.level) {
    AppendSample(name, item.labels, std::to_string(item.level->Value()), out);
  } else if (item.distribution) {
    AppendHistogram(name, item.labels, item.distribution->Totals(), out);
  }
}

std::string metric_registry::Render() const {
  constexpr std::array<const char*, 3> kTypes{"counter", "gauge", "histogram"};
  const std::lock_guard lock(mutex_);
  std::string out;
  for (const auto& [name, group] : families_) {
    out += "# HELP " + name + " " + Escape(group.help, false) + "\n";
    out += "# TYPE " + name + " " +
           kTypes[static_cast<std::size_t>(group.type)] + "\n";
    for (const auto& member : group.members) {
      RenderSeries(name, member.second, out);
    }
  }
  return out;
}

}  // namespace pomelohall
