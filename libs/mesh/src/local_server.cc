#include "mesh/local_server.h"

#include <utility>

namespace pomelohall {

local_server::local_server(local_server_options options)
    : options_(std::move(options)) {}

void local_server::SetServer(const std::string& address,
                             const std::string& service, instant now) {
  if (address == options_.address && service == options_.service) return;
  options_.address = address;
  options_.service = service;
  last_announcement_.reset();
  SetPhase(server_phase::kUnknown, now);
}

bool local_server::IsForeign(const server_announcement& announcement) const {
  return announcement.address != options_.address ||
         announcement.service != options_.service;
}

// The clock of the VM may have jumped back between two starts, and another
// program may have announced a later start. So an earlier start is rejected
// only while nothing contradicts the later one: it is announced, reachable and
// not leaving.
bool local_server::IsOutdated(const server_announcement& announcement,
                              instant now) const {
  if (!last_announcement_) return false;
  const bool same_instance =
      announcement.instance == last_announcement_->instance;
  if (same_instance &&
      announcement.started_unix_ms == last_announcement_->started_unix_ms) {
    return announcement.sequence <= last_announcement_->sequence;
  }
  // A later start of the same instance ends the earlier one for certain.
  const bool holds = phase_ == server_phase::kServing ||
                     (same_instance && phase_ == server_phase::kLeaving);
  return announcement.started_unix_ms < last_announcement_->started_unix_ms &&
         holds && now - last_announced_at_ < options_.announcement_timeout;
}

announcement_outcome local_server::OnAnnounced(
    const server_announcement& announcement, instant now) {
  if (IsForeign(announcement)) return announcement_outcome::kForeign;
  if (IsOutdated(announcement, now)) return announcement_outcome::kOutdated;
  const bool same_start =
      last_announcement_ &&
      announcement.instance == last_announcement_->instance &&
      announcement.started_unix_ms == last_announcement_->started_unix_ms;
  // A draining server does not serve again until it is restarted.
  const bool leaving = announcement.draining ||
                       (same_start && phase_ == server_phase::kLeaving) ||
                       IsWithdrawn(announcement);
  last_announcement_ = announcement;
  last_announced_at_ = now;
  SetPhase(leaving ? server_phase::kLeaving : server_phase::kServing, now);
  return announcement_outcome::kAccepted;
}

bool local_server::IsWithdrawn(const server_announcement& announcement) const {
  return early_withdrawal_ &&
         early_withdrawal_->instance == announcement.instance &&
         announcement.started_unix_ms <= early_withdrawal_->unix_ms;
}

bool local_server::OnWithdrawn(const std::string& instance,
                               std::int64_t unix_ms, instant now) {
  if (!last_announcement_ || last_announcement_->instance != instance) {
    early_withdrawal_ = {.instance = instance, .unix_ms = unix_ms};
    return false;
  }
  SetPhase(server_phase::kLeaving, now);
  return true;
}

void local_server::OnUnreachable(const std::string& instance, instant now) {
  if (!last_announcement_ || last_announcement_->instance != instance) return;
  if (phase_ == server_phase::kServing)
    SetPhase(server_phase::kUnreachable, now);
}

void local_server::Tick(instant now) {
  if (phase_ == server_phase::kServing &&
      now - last_announced_at_ > options_.announcement_timeout) {
    SetPhase(server_phase::kUnreachable, now);
  }
}

void local_server::SetPhase(server_phase phase, instant now) {
  if (phase == phase_) return;
  phase_ = phase;
  phase_since_ = now;
}

std::optional<offered_server> local_server::OfferedServer() const {
  if (phase_ != server_phase::kServing) return std::nullopt;
  return offered_server{.instance = last_announcement_->instance,
                        .service = last_announcement_->service,
                        .slots = last_announcement_->slots};
}

}  // namespace pomelohall
