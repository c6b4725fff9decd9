#include "slo_reporter.h"

#include <utility>

#include "base/time.h"
#include "logging/log_event.h"
#include "slo/slo_window.h"

namespace pomelohall {
namespace {

// Four hours at one object per minute. Minutes dropped in a longer platform
// outage count as unobserved, and therefore as missed.
constexpr std::size_t kMaxPendingObjects = 240;

}  // namespace

slo_reporter::slo_reporter(std::string member, std::string data_centre,
                           std::uint64_t incarnation, std::int64_t unix_seconds,
                           platform_gateway& gateway, window_callback on_window)
    : member_(std::move(member)),
      data_centre_(std::move(data_centre)),
      incarnation_(incarnation),
      gateway_(gateway),
      on_window_(std::move(on_window)),
      recorder_(member_, incarnation, unix_seconds) {}

void slo_reporter::Record(const call_observation& observation) {
  recorder_.Record({.work_class = observation.work_class,
                    .elapsed = observation.elapsed,
                    .body_bytes = observation.body_bytes,
                    .whole_answer = observation.whole_answer,
                    .ran = observation.ran},
                   observation.target, observation.kind, MonotonicNow());
}

void slo_reporter::Tick(std::int64_t unix_seconds) {
  for (const auto& window : recorder_.CloseWindows(unix_seconds)) {
    on_window_(EncodeSloWindow(window));
  }
  if (aggregator_) Enqueue(aggregator_->CloseMinutes(unix_seconds));
  WriteNextObject();
}

void slo_reporter::OnWindow(const std::string& payload) {
  auto window = DecodeSloWindow(payload);
  if (!window) {
    log_event(log_level::kError, "slo_window_refused")
        .With("reason", window.error().message);
    return;
  }
  // The sender may learn of this daemon's aggregator role before this daemon
  // does.
  if (!aggregator_) {
    aggregator_ = std::make_unique<slo_aggregator>(data_centre_, member_);
  }
  aggregator_->OnWindow(std::move(*window));
}

void slo_reporter::OnMembers(const std::vector<member_record>& members,
                             bool is_aggregator, std::int64_t unix_seconds) {
  if (!is_aggregator) {
    if (aggregator_) Enqueue(aggregator_->CloseAll());
    aggregator_.reset();
    return;
  }
  if (!aggregator_) {
    aggregator_ = std::make_unique<slo_aggregator>(data_centre_, member_);
  }
  std::vector<slo_member> local_members;
  for (const auto& member : members) {
    if (member.data_centre != data_centre_) continue;
    if (member.state == member_state::kDead) continue;
    local_members.push_back(
        {.name = member.name, .left = member.state == member_state::kLeft});
  }
  aggregator_->SetMembers(local_members, unix_seconds);
}

void slo_reporter::SendOpenWindow() {
  on_window_(EncodeSloWindow(recorder_.CloseOpenWindow()));
}

void slo_reporter::Flush(std::function<void()> done) {
  if (aggregator_) Enqueue(aggregator_->CloseAll());
  on_flushed_ = std::move(done);
  if (pending_.empty()) return CompleteFlush();
  WriteNextObject();
}

void slo_reporter::CompleteFlush() {
  if (auto done = std::exchange(on_flushed_, nullptr)) done();
}

void slo_reporter::Enqueue(std::vector<slo_object> objects) {
  for (auto& object : objects) {
    if (pending_.size() == kMaxPendingObjects) pending_.pop_front();
    pending_.push_back(std::move(object));
  }
}

void slo_reporter::WriteNextObject() {
  if (writing_ || pending_.empty()) return;
  writing_ = true;
  const slo_object object = pending_.front();
  pending_.pop_front();
  gateway_.Create(kSloWindowPlural, object.name, object.spec,
                  [this, object](const result<void>& written) {
                    writing_ = false;
                    if (!written) pending_.push_front(object);
                    OnWritten(written);
                  });
}

void slo_reporter::OnWritten(const result<void>& written) {
  if (!written && written.error().kind == error_kind::kConflict) {
    // The name exists already. Appending the incarnation makes it unique, and
    // the report discards duplicate windows.
    pending_.front().name += "." + std::to_string(incarnation_);
    return WriteNextObject();
  }
  if (!written) {
    // Tick() retries the write. A graceful shutdown does not wait for the
    // platform.
    log_event(log_level::kWarning, "slo_object_not_written")
        .With("object", pending_.front().name)
        .With("reason", written.error().message);
    return CompleteFlush();
  }
  if (pending_.empty()) return CompleteFlush();
  WriteNextObject();
}

}  // namespace pomelohall
