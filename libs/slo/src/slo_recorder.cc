#include "slo/slo_recorder.h"

#include <utility>

namespace pomelohall {
namespace {

constexpr std::int64_t kMicrosPerMs = 1000;
constexpr double kMicrosPerSecond = 1e6;

duration AllowedTime(const slo_observation& observation, const target& target,
                     class_kind kind) {
  duration allowed(target.within_ms * kMicrosPerMs);
  if (kind == class_kind::kDownload && target.min_bytes_per_s > 0) {
    allowed += duration(static_cast<std::int64_t>(
        static_cast<double>(observation.body_bytes) * kMicrosPerSecond /
        static_cast<double>(target.min_bytes_per_s)));
  }
  return allowed;
}

}  // namespace

bool MeetsTarget(const slo_observation& observation, const target& target,
                 class_kind kind) {
  return observation.whole_answer && observation.ran == run_state::kRan &&
         observation.elapsed <= AllowedTime(observation, target, kind);
}

slo_recorder::slo_recorder(std::string member, std::uint64_t incarnation,
                           std::int64_t unix_seconds)
    : open_{.member = std::move(member),
            .incarnation = incarnation,
            .window = unix_seconds / kSloWindowSeconds,
            .classes = {}},
      latest_seconds_(unix_seconds) {}

void slo_recorder::Record(const slo_observation& observation,
                          const target& target, class_kind kind,
                          instant /*now*/) {
  slo_counts& counts = open_.classes[observation.work_class];
  ++counts.requests;
  if (MeetsTarget(observation, target, kind)) ++counts.met;
  counts.latency.Record(observation.elapsed);
}

std::vector<slo_window> slo_recorder::CloseWindows(std::int64_t unix_seconds) {
  if (unix_seconds + clock_offset_ < latest_seconds_) {
    clock_offset_ = latest_seconds_ - unix_seconds;
  }
  latest_seconds_ = unix_seconds + clock_offset_;
  const std::int64_t current = latest_seconds_ / kSloWindowSeconds;
  std::vector<slo_window> closed;
  if (current > open_.window) closed.push_back(ReplaceOpenWindow(current));
  return closed;
}

slo_window slo_recorder::CloseOpenWindow() {
  return ReplaceOpenWindow(open_.window + 1);
}

slo_window slo_recorder::ReplaceOpenWindow(std::int64_t next) {
  slo_window closed = std::move(open_);
  open_ = {.member = closed.member,
           .incarnation = closed.incarnation,
           .window = next,
           .classes = {}};
  return closed;
}

}  // namespace pomelohall
