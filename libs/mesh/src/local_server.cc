#include "mesh/local_server.h"

#include <algorithm>
#include <utility>

namespace pomelohall {
namespace {

// Announcements are late by seconds, and a VM runs one backend server at a
// time. Further departures are of programs that withdraw instances at random.
constexpr std::size_t kMaxDepartures = 16;

}  // namespace

local_server::local_server(local_server_options options)
    : options_(std::move(options)),
      knows_departures_(!options_.awaits_departures) {}

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
  // Also counts if it is late: a server that drains does not serve again until
  // it is restarted.
  if (announcement.draining) {
    AddDeparture({.instance = announcement.instance,
                  .latest_start_unix_ms = announcement.started_unix_ms});
  }
  if (IsOutdated(announcement, now)) {
    ApplyDepartures(now);
    return announcement_outcome::kOutdated;
  }
  const bool same_start =
      last_announcement_ &&
      announcement.instance == last_announcement_->instance &&
      announcement.started_unix_ms == last_announcement_->started_unix_ms;
  if (!same_start) first_announced_at_ = now;
  last_announcement_ = announcement;
  last_announced_at_ = now;
  if (now - first_announced_at_ >= options_.announcement_timeout)
    knows_departures_ = true;
  SetPhase(
      HasLeft(announcement) ? server_phase::kLeaving : server_phase::kServing,
      now);
  return announcement_outcome::kAccepted;
}

void local_server::ApplyDepartures(instant now) {
  if (last_announcement_ && HasLeft(*last_announcement_)) {
    SetPhase(server_phase::kLeaving, now);
  }
}

bool local_server::HasLeft(const server_announcement& announcement) const {
  return std::any_of(departed_.begin(), departed_.end(),
                     [&](const departed_server& departure) {
                       return departure.instance == announcement.instance &&
                              announcement.started_unix_ms <=
                                  departure.latest_start_unix_ms;
                     });
}

void local_server::AddDeparture(const departed_server& departure) {
  const auto known = std::find_if(departed_.begin(), departed_.end(),
                                  [&](const departed_server& other) {
                                    return other.instance == departure.instance;
                                  });
  if (known != departed_.end()) {
    if (known->latest_start_unix_ms >= departure.latest_start_unix_ms) return;
    departed_.erase(known);
  }
  departed_.push_back(departure);
  if (departed_.size() > kMaxDepartures) departed_.erase(departed_.begin());
}

bool local_server::OnWithdrawn(const std::string& instance,
                               std::int64_t unix_ms, instant now) {
  if (!last_announcement_ || last_announcement_->instance != instance) {
    AddDeparture({.instance = instance, .latest_start_unix_ms = unix_ms});
    return false;
  }
  AddDeparture({.instance = instance,
                .latest_start_unix_ms = last_announcement_->started_unix_ms});
  ApplyDepartures(now);
  return true;
}

void local_server::AddDepartures(const std::vector<departed_server>& departed,
                                 instant now) {
  const auto later = std::exchange(departed_, {});
  for (const auto& departure : departed) AddDeparture(departure);
  for (const auto& departure : later) AddDeparture(departure);
  ApplyDepartures(now);
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
  return knows_departures_ ? ServingServer() : std::nullopt;
}

std::optional<offered_server> local_server::ServingServer() const {
  if (phase_ != server_phase::kServing) return std::nullopt;
  return offered_server{.instance = last_announcement_->instance,
                        .service = last_announcement_->service,
                        .slots = last_announcement_->slots,
                        .version = last_announcement_->version};
}

}  // namespace pomelohall
