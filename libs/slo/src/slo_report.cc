#include "slo/slo_report.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "slo/slo_window.h"
#include "slo_object_reader.h"

namespace pomelohall {
namespace {

constexpr std::int64_t kSecondsPerMinute = 60;
constexpr std::int64_t kWindowsPerMinute =
    kSecondsPerMinute / kSloWindowSeconds;
constexpr std::int64_t kShortBurnWindows = 5 * kWindowsPerMinute;
constexpr std::int64_t kLongBurnWindows = 60 * kWindowsPerMinute;

// The aggregator closes a minute 25 s after its end and then writes its object.
constexpr std::int64_t kMinuteWriteDelaySeconds = 30;

struct request_counts {
  double requests = 0;
  double missed = 0;

  void Add(double more_requests, double more_missed) {
    requests += more_requests;
    missed += more_missed;
  }
};

using class_windows =
    std::map<std::string, std::map<std::int64_t, request_counts>>;
using row_key = std::tuple<std::string, std::uint64_t, std::int64_t>;

// Merged contents of the objects of one data centre.
struct data_centre_windows {
  std::map<row_key, slo_object_row> rows;
  std::map<std::int64_t, std::uint64_t> expected;
  std::set<std::int64_t> minutes;                  // Covered by an object.
  std::map<std::int64_t, std::uint64_t> reported;  // Members per window.
  std::map<std::string, double> requests;          // Per class, of all rows.
};

class report_builder {
 public:
  report_builder(const std::vector<work_class>& classes,
                 const slo_report_options& options)
      : options_(options), from_(options.from_minute), to_(options.to_minute) {
    for (const auto& item : classes) {
      definitions_[item.name] = item;
      windows_[item.name];
    }
    for (const auto& name : options.data_centres) data_centres_[name];
  }

  slo_report Build(const std::vector<std::string>& specs) {
    std::vector<slo_object_content> objects;
    for (const auto& spec : specs) ReadObject(spec, objects);
    for (const auto& object : objects) AddObject(object);
    for (auto& [name, centre] : data_centres_) CountRows(centre);
    if (data_centres_.empty()) {
      report_.unobserved_minutes += static_cast<std::uint64_t>(to_ - from_);
    }
    for (const auto& [name, centre] : data_centres_) {
      AssumeMissingWindows(centre);
      AssumeUnobservedMinutes(centre);
    }
    report_.from_seconds = from_ * kSecondsPerMinute;
    report_.to_seconds = to_ * kSecondsPerMinute;
    for (const auto& [name, windows] : windows_) AddClass(name, windows);
    return std::move(report_);
  }

 private:
  void ReadObject(const std::string& spec,
                  std::vector<slo_object_content>& objects) {
    auto object = ReadSloObject(spec);
    if (!object) {
      ++report_.unreadable_objects;
      return;
    }
    first_minute_ = std::min(first_minute_, object->minute);
    from_ = std::max(options_.from_minute, std::min(first_minute_, to_));
    for (const auto& row : object->rows) {
      first_window_ = std::min(first_window_, row.window);
    }
    objects.push_back(std::move(*object));
  }

  bool IsInside(std::int64_t window) const {
    return window >= from_ * kWindowsPerMinute &&
           window < to_ * kWindowsPerMinute;
  }

  void AddObject(const slo_object_content& object) {
    data_centre_windows& centre = data_centres_[object.data_centre];
    if (object.minute < from_ || object.minute >= to_) return;
    centre.minutes.insert(object.minute);
    for (const auto& row : object.rows) {
      if (IsInside(row.window)) AddRow(centre, row);
    }
    for (const auto& [window, count] : object.expected) {
      auto& known = centre.expected[window];
      known = std::max(known, count);
    }
    for (const auto& [name, latency] : object.latencies) {
      latencies_[name].Add(latency);
    }
  }

  void AddRow(data_centre_windows& centre, const slo_object_row& row) {
    const row_key key(row.member, row.incarnation, row.window);
    const auto [known, added] = centre.rows.emplace(key, row);
    if (added) return;
    ++report_.duplicate_windows;
    // A reported window replaces the one assumed in its place.
    if (known->second.assumed && !row.assumed) known->second = row;
  }

  void CountRows(data_centre_windows& centre) {
    report_.observed_minutes += centre.minutes.size();
    total_minutes_ += static_cast<double>(centre.minutes.size());
    for (const auto& [key, row] : centre.rows) {
      ++centre.reported[row.window];
      for (const auto& item : row.classes) {
        const auto requests = static_cast<double>(item.requests);
        const auto missed = static_cast<double>(item.requests - item.met);
        windows_[item.name][row.window].Add(requests, missed);
        if (row.assumed) assumed_[item.name] += missed;
        centre.requests[item.name] += requests;
        total_requests_[item.name] += requests;
      }
    }
  }

  // An aggregator that takes over within a minute has no member count for the
  // earlier windows of that minute. They use the lowest count of the minute.
  static std::uint64_t ExpectedAt(const data_centre_windows& centre,
                                  std::int64_t window) {
    const auto known = centre.expected.find(window);
    if (known != centre.expected.end()) return known->second;
    const std::int64_t first = window / kWindowsPerMinute * kWindowsPerMinute;
    std::optional<std::uint64_t> lowest;
    for (auto item = centre.expected.lower_bound(first);
         item != centre.expected.end() &&
         item->first < first + kWindowsPerMinute;
         ++item) {
      lowest = std::min(lowest.value_or(item->second), item->second);
    }
    return lowest.value_or(0);
  }

  void AssumeMissingWindows(const data_centre_windows& centre) {
    const auto reported = static_cast<double>(centre.rows.size());
    if (reported == 0) return;
    for (const std::int64_t minute : centre.minutes) {
      const std::int64_t first = minute * kWindowsPerMinute;
      for (auto w = std::max(first, first_window_);
           w < first + kWindowsPerMinute; ++w) {
        const auto found = centre.reported.find(w);
        const auto received =
            found == centre.reported.end() ? 0 : found->second;
        const auto expected = ExpectedAt(centre, w);
        if (expected <= received) continue;
        report_.missing_windows += expected - received;
        Assume(centre.requests, w,
               static_cast<double>(expected - received) / reported);
      }
    }
  }

  void AssumeUnobservedMinutes(const data_centre_windows& centre) {
    const bool known = !centre.minutes.empty();
    const auto& requests = known ? centre.requests : total_requests_;
    const double observed =
        known ? static_cast<double>(centre.minutes.size()) : total_minutes_;
    for (std::int64_t minute = from_; minute < to_; ++minute) {
      if (centre.minutes.count(minute) != 0) continue;
      ++report_.unobserved_minutes;
      if (observed == 0) continue;
      const std::int64_t first = minute * kWindowsPerMinute;
      for (auto w = std::max(first, first_window_);
           w < first + kWindowsPerMinute; ++w) {
        Assume(requests, w, 1 / (observed * kWindowsPerMinute));
      }
    }
  }

  // Adds `factor` times the requests to a window, all counted as missed.
  void Assume(const std::map<std::string, double>& requests,
              std::int64_t window, double factor) {
    for (const auto& [name, count] : requests) {
      windows_[name][window].Add(count * factor, count * factor);
      assumed_[name] += count * factor;
    }
  }

  void AddClass(const std::string& name,
                const std::map<std::int64_t, request_counts>& windows) {
    slo_class_report item;
    item.name = name;
    const auto definition = definitions_.find(name);
    if (definition != definitions_.end()) item.definition = definition->second;
    const request_counts total = SumFrom(windows, from_ * kWindowsPerMinute);
    item.requests = static_cast<std::uint64_t>(std::llround(total.requests));
    item.met = item.requests -
               std::min<std::uint64_t>(
                   item.requests,
                   static_cast<std::uint64_t>(std::llround(total.missed)));
    item.assumed_missed =
        static_cast<std::uint64_t>(std::llround(assumed_[name]));
    if (total.requests > 0) {
      item.figure = 1 - total.missed / total.requests;
    }
    AddBudget(windows, total, item);
    item.p50_ms = latencies_[name].QuantileMillis(0.5);
    item.p99_ms = latencies_[name].QuantileMillis(0.99);
    item.worst = WorstWindows(windows);
    item.timeline = Timeline(windows);
    report_.classes.push_back(std::move(item));
  }

  void AddBudget(const std::map<std::int64_t, request_counts>& windows,
                 const request_counts& total, slo_class_report& item) const {
    if (!item.definition) return;
    const double allowed = 1 - item.definition->target.share;
    const auto burn = [&](const request_counts& part) -> std::optional<double> {
      if (part.requests <= 0) return std::nullopt;
      return part.missed / part.requests / allowed;
    };
    const std::int64_t end = to_ * kWindowsPerMinute;
    item.burn_5min = burn(SumFrom(windows, end - kShortBurnWindows));
    item.burn_1h = burn(SumFrom(windows, end - kLongBurnWindows));
    if (const auto spent = burn(total)) item.budget_left = 1 - *spent;
  }

  static request_counts SumFrom(
      const std::map<std::int64_t, request_counts>& windows,
      std::int64_t first) {
    request_counts sum;
    for (auto w = windows.lower_bound(first); w != windows.end(); ++w) {
      sum.Add(w->second.requests, w->second.missed);
    }
    return sum;
  }

  std::vector<slo_span> WorstWindows(
      const std::map<std::int64_t, request_counts>& windows) const {
    std::vector<slo_span> worst;
    for (const auto& [window, part] : windows) {
      if (part.missed <= 0) continue;
      worst.push_back({window * kSloWindowSeconds, part.requests, part.missed});
    }
    std::stable_sort(worst.begin(), worst.end(),
                     [](const slo_span& one, const slo_span& other) {
                       return one.missed > other.missed;
                     });
    if (worst.size() > options_.worst_windows) {
      worst.resize(options_.worst_windows);
    }
    return worst;
  }

  std::vector<slo_span> Timeline(
      const std::map<std::int64_t, request_counts>& windows) const {
    const std::int64_t minutes = to_ - from_;
    const auto max_slots = static_cast<std::int64_t>(options_.timeline_slots);
    const std::int64_t per_slot =
        std::max<std::int64_t>(1, (minutes + max_slots - 1) / max_slots);
    std::vector<slo_span> slots;
    for (std::int64_t minute = from_; minute < to_; minute += per_slot) {
      slots.push_back({minute * kSecondsPerMinute, 0, 0});
    }
    for (const auto& [window, part] : windows) {
      const auto slot = static_cast<std::size_t>(
          (window / kWindowsPerMinute - from_) / per_slot);
      slots.at(slot).requests += part.requests;
      slots.at(slot).missed += part.missed;
    }
    return slots;
  }

  const slo_report_options& options_;
  std::int64_t from_;
  std::int64_t to_;
  std::int64_t first_minute_ = std::numeric_limits<std::int64_t>::max();
  // Time before the earliest window of all counts as out of operation.
  std::int64_t first_window_ = std::numeric_limits<std::int64_t>::max();
  std::map<std::string, work_class> definitions_;
  std::map<std::string, data_centre_windows> data_centres_;
  class_windows windows_;
  std::map<std::string, double> assumed_;
  // Requests per class and observed minutes, summed over all data centres.
  std::map<std::string, double> total_requests_;
  double total_minutes_ = 0;
  std::map<std::string, slo_histogram> latencies_;
  slo_report report_;
};

}  // namespace

std::int64_t SloReportEnd(std::int64_t unix_seconds) {
  return (unix_seconds - kMinuteWriteDelaySeconds) / kSecondsPerMinute;
}

slo_report MakeSloReport(const std::vector<std::string>& specs,
                         const std::vector<work_class>& classes,
                         const slo_report_options& options) {
  return report_builder(classes, options).Build(specs);
}

}  // namespace pomelohall
