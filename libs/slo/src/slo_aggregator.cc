#include "slo/slo_aggregator.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "slo_json.h"

namespace pomelohall {
namespace {

using nlohmann::json;

constexpr std::int64_t kWindowsPerMinute =
    kSloMinuteSeconds / kSloWindowSeconds;

// Delay after the end of a minute: 10 s until a window is closed and sent, 6 s
// to detect a failed member, and time for the member list to propagate.
constexpr std::int64_t kMinuteCloseDelaySeconds = 25;

// A process that vanishes loses the window it was about to send and the one it
// was still counting.
constexpr std::int64_t kLostWindows = 2;

// Written windows are kept this long to detect duplicates. The report drops
// duplicates that arrive later.
constexpr std::int64_t kDeduplicationWindows = 60;

// Leaves a margin below the platform's limit of 1 MB per value.
constexpr std::size_t kMaxSpecBytes = 900'000;

std::int64_t MinuteOf(std::int64_t window) {
  return window / kWindowsPerMinute;
}

// Builds the spec of one object, in which windows refer to classes by index.
class spec_builder {
 public:
  void Add(const slo_window& window, bool assumed) {
    json counts = json::array();
    for (const auto& [name, item] : window.classes) {
      counts.push_back({FindOrAddClass(name), item.requests, item.met});
      latencies_[name].Add(item.latency);
    }
    json row = {window.member, window.incarnation, window.window, assumed,
                std::move(counts)};
    estimated_bytes_ += row.dump().size() + 1;
    rows_.push_back(std::move(row));
  }

  bool IsFull() const { return estimated_bytes_ > kMaxSpecBytes; }

  json Build() const {
    json latencies = json::array();
    for (const auto& name : names_) {
      latencies.push_back(LatencyToJson(latencies_.at(name)));
    }
    return {{"classes", names_}, {"latencies", latencies}, {"windows", rows_}};
  }

 private:
  std::size_t FindOrAddClass(const std::string& name) {
    const auto [found, added] = indexes_.emplace(name, names_.size());
    if (added) {
      names_.push_back(name);
      // A class adds its name and up to 50 buckets of at most 16 bytes each.
      estimated_bytes_ += name.size() + slo_histogram::kBuckets * 16;
    }
    return found->second;
  }

  std::vector<std::string> names_;
  std::map<std::string, std::size_t> indexes_;
  std::map<std::string, slo_histogram> latencies_;
  json rows_ = json::array();
  std::size_t estimated_bytes_ = 0;
};

}  // namespace

slo_aggregator::slo_aggregator(std::string data_centre, std::string member)
    : data_centre_(std::move(data_centre)), member_(std::move(member)) {}

void slo_aggregator::OnWindow(slo_window window) {
  const window_key key(window.member, window.incarnation, window.window);
  const auto written = written_.find(key);
  if (written != written_.end() && !written->second) return;
  const auto known = pending_.find(key);
  if (known != pending_.end() && !known->second.assumed) return;
  member_process& sender = processes_[window.member];
  if (window.incarnation > sender.incarnation) {
    if (sender.incarnation != 0) AssumeLostWindows(sender);
    sender = {.incarnation = window.incarnation, .last = window};
  } else if (window.incarnation == sender.incarnation &&
             window.window > sender.last.window) {
    sender.last = window;
  }
  pending_[key] = {.window = std::move(window), .assumed = false};
}

void slo_aggregator::AssumeLostWindows(const member_process& vanished_process) {
  for (std::int64_t i = 1; i <= kLostWindows; ++i) {
    slo_window lost{.member = vanished_process.last.member,
                    .incarnation = vanished_process.incarnation,
                    .window = vanished_process.last.window + i,
                    .classes = {}};
    for (const auto& [name, counts] : vanished_process.last.classes) {
      lost.classes[name].requests = counts.requests;
    }
    const window_key key(lost.member, lost.incarnation, lost.window);
    if (written_.count(key) != 0) continue;
    pending_.emplace(key, entry{.window = std::move(lost), .assumed = true});
  }
}

void slo_aggregator::SetMembers(const std::vector<slo_member>& members,
                                std::int64_t unix_seconds) {
  std::map<std::string, const slo_member*> listed;
  std::uint64_t alive = 0;
  for (const auto& member : members) {
    listed[member.name] = &member;
    if (!member.left) ++alive;
  }
  expected_[unix_seconds / kSloWindowSeconds] = alive;
  for (auto next = processes_.begin(); next != processes_.end();) {
    const auto found = listed.find(next->first);
    const bool vanished = found == listed.end();
    const bool left = !vanished && found->second->left;
    if (vanished) AssumeLostWindows(next->second);
    next = vanished || left ? processes_.erase(next) : std::next(next);
  }
}

std::vector<slo_object> slo_aggregator::CloseMinutes(
    std::int64_t unix_seconds) {
  const std::int64_t minute =
      (unix_seconds - kMinuteCloseDelaySeconds) / kSloMinuteSeconds;
  return BuildObjectsBefore(minute * kWindowsPerMinute);
}

std::vector<slo_object> slo_aggregator::CloseAll() {
  std::int64_t end = 0;
  for (const auto& [key, unused] : pending_) {
    end = std::max(end, std::get<2>(key) + 1);
  }
  return BuildObjectsBefore(end);
}

std::vector<slo_object> slo_aggregator::BuildObjectsBefore(
    std::int64_t end_window) {
  std::map<std::int64_t, std::vector<const entry*>> minutes;
  for (const auto& [key, item] : pending_) {
    const std::int64_t window = std::get<2>(key);
    if (window < end_window) minutes[MinuteOf(window)].push_back(&item);
  }
  std::vector<slo_object> objects;
  for (const auto& [minute, entries] : minutes) {
    for (auto& object : BuildObjectsOfMinute(minute, entries)) {
      objects.push_back(std::move(object));
    }
  }
  for (auto next = pending_.begin(); next != pending_.end();) {
    const bool done = std::get<2>(next->first) < end_window;
    if (done) written_[next->first] = next->second.assumed;
    next = done ? pending_.erase(next) : std::next(next);
  }
  EraseWindowsBefore(end_window - kDeduplicationWindows);
  return objects;
}

std::vector<slo_object> slo_aggregator::BuildObjectsOfMinute(
    std::int64_t minute, const std::vector<const entry*>& entries) {
  json expected = json::array();
  const auto first = expected_.lower_bound(minute * kWindowsPerMinute);
  const auto last = expected_.lower_bound((minute + 1) * kWindowsPerMinute);
  for (auto item = first; item != last; ++item) {
    expected.push_back({item->first, item->second});
  }
  std::vector<slo_object> objects;
  for (std::size_t next = 0; next < entries.size();) {
    spec_builder builder;
    while (next < entries.size() && !builder.IsFull()) {
      builder.Add(entries[next]->window, entries[next]->assumed);
      ++next;
    }
    json spec = builder.Build();
    spec["data_centre"] = data_centre_;
    spec["minute"] = minute;
    spec["expected"] = expected;
    objects.push_back({NextObjectName(minute), spec.dump()});
  }
  return objects;
}

std::string slo_aggregator::NextObjectName(std::int64_t minute) {
  const std::size_t part = object_counts_[minute]++;
  std::string name =
      data_centre_ + "." + member_ + "." + std::to_string(minute);
  if (part > 0) name += "." + std::to_string(part);
  return name;
}

void slo_aggregator::EraseWindowsBefore(std::int64_t before_window) {
  expected_.erase(expected_.begin(), expected_.lower_bound(before_window));
  object_counts_.erase(object_counts_.begin(),
                       object_counts_.lower_bound(MinuteOf(before_window)));
  for (auto next = written_.begin(); next != written_.end();) {
    const bool old = std::get<2>(next->first) < before_window;
    next = old ? written_.erase(next) : std::next(next);
  }
}

}  // namespace pomelohall
