#include "mesh/local_server.h"

#include <algorithm>
#include <utility>

namespace pomelohall {
namespace {

// Announcements are late by seconds, and a VM runs one backend server at a
// time. Further departures are of programs that withdraw instances at random.
constexpr std::size_t kMaxDepartures = 16;

bool IsSameStart(const server_announcement& left,
                 const server_announcement& right) {
  return left.instance == right.instance &&
         left.started_unix_ms == right.started_unix_ms;
}

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
  previous_start_.reset();
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
  if (IsSameStart(announcement, *last_announcement_))
    return announcement.sequence <= last_announcement_->sequence;
  // Whatever the clock says, a start that has left does not replace a server
  // that serves.
  const bool is_current =
      now - last_announced_at_ < options_.announcement_timeout;
  if (phase_ == server_phase::kServing &&
      ((is_current && IsPrevious(announcement)) ||
       (!announcement.draining && HasLeft(announcement, now)))) {
    return true;
  }
  const bool same_instance =
      announcement.instance == last_announcement_->instance;
  // A later start of the same instance ends the earlier one for certain.
  const bool holds = phase_ == server_phase::kServing ||
                     (same_instance && phase_ == server_phase::kLeaving);
  return announcement.started_unix_ms < last_announcement_->started_unix_ms &&
         holds && is_current;
}

announcement_outcome local_server::OnAnnounced(
    const server_announcement& announcement, instant now) {
  if (IsForeign(announcement)) return announcement_outcome::kForeign;
  // Also counts if it is late: a server that drains does not serve again until
  // it is restarted.
  if (announcement.draining) {
    AddDeparture({.server = {.instance = announcement.instance,
                             .start_unix_ms = announcement.started_unix_ms},
                  .known_at = now});
    // A start that was not known before may be later than the current one in
    // spite of its time: the clock of the VM may have jumped back.
    if (last_announcement_ &&
        last_announcement_->instance == announcement.instance &&
        last_announcement_->started_unix_ms > announcement.started_unix_ms &&
        !IsPrevious(announcement)) {
      OnWithdrawn(announcement.instance, now);
    }
  }
  if (IsOutdated(announcement, now)) {
    ApplyDepartures(now);
    return announcement_outcome::kOutdated;
  }
  if (!last_announcement_ || !IsSameStart(announcement, *last_announcement_)) {
    previous_start_ = last_announcement_;
    first_announced_at_ = now;
  }
  last_announcement_ = announcement;
  last_announced_at_ = now;
  if (now - first_announced_at_ >= options_.max_lateness)
    knows_departures_ = true;
  if (HasLeft(announcement, now)) {
    SetPhase(server_phase::kLeaving, now);
    return announcement_outcome::kAccepted;
  }
  // The withdrawals were of other starts.
  std::erase_if(departures_, [&](const departure& entry) {
    return entry.server.withdrawn &&
           entry.server.instance == announcement.instance;
  });
  SetPhase(server_phase::kServing, now);
  return announcement_outcome::kAccepted;
}

void local_server::ApplyDepartures(instant now) {
  if (last_announcement_ && HasLeft(*last_announcement_, now)) {
    SetPhase(server_phase::kLeaving, now);
  }
}

bool local_server::IsPrevious(const server_announcement& announcement) const {
  return previous_start_ && IsSameStart(announcement, *previous_start_);
}

bool local_server::IsRecent(const departure& departure, instant now) const {
  return now - departure.known_at < options_.max_lateness;
}

bool local_server::HasDrained(const server_announcement& announcement) const {
  return std::any_of(
      departures_.begin(), departures_.end(), [&](const departure& entry) {
        return !entry.server.withdrawn &&
               entry.server.instance == announcement.instance &&
               entry.server.start_unix_ms == announcement.started_unix_ms;
      });
}

// Times of starts are only compared with each other, not with the clock of the
// daemon, and a difference that contradicts them counts only for as long as
// announcements can be late. Both clocks may be wrong or jump.
bool local_server::HasLeft(const server_announcement& announcement,
                           instant now) const {
  if (HasDrained(announcement)) return true;
  return std::any_of(
      departures_.begin(), departures_.end(), [&](const departure& entry) {
        return entry.server.instance == announcement.instance &&
               IsRecent(entry, now) &&
               (entry.server.withdrawn ||
                announcement.started_unix_ms < entry.server.start_unix_ms);
      });
}

void local_server::AddDeparture(const departure& added) {
  const auto known = std::find_if(
      departures_.begin(), departures_.end(), [&](const departure& entry) {
        return entry.server.instance == added.server.instance &&
               entry.server.withdrawn == added.server.withdrawn &&
               (added.server.withdrawn ||
                entry.server.start_unix_ms == added.server.start_unix_ms);
      });
  if (known != departures_.end()) {
    known->server.start_unix_ms =
        std::max(known->server.start_unix_ms, added.server.start_unix_ms);
    known->known_at = std::max(known->known_at, added.known_at);
    return;
  }
  departures_.push_back(added);
  if (departures_.size() > kMaxDepartures)
    departures_.erase(departures_.begin());
}

bool local_server::OnWithdrawn(const std::string& instance, instant now) {
  const bool is_current =
      last_announcement_ && last_announcement_->instance == instance;
  AddDeparture(
      {.server = {.instance = instance,
                  .start_unix_ms =
                      is_current ? last_announcement_->started_unix_ms : 0,
                  .withdrawn = true},
       .known_at = now});
  ApplyDepartures(now);
  return is_current;
}

bool local_server::AwaitsEnd(instant now) const {
  return std::any_of(departures_.begin(), departures_.end(),
                     [&](const departure& entry) {
                       return entry.server.withdrawn && IsRecent(entry, now);
                     });
}

void local_server::OnEnded(instant checked_at, instant now) {
  if (phase_ != server_phase::kUnknown)
    SetPhase(server_phase::kUnreachable, now);
  const auto outdated_at = checked_at - options_.max_lateness;
  for (auto& entry : departures_) {
    if (entry.known_at <= checked_at)
      entry.known_at = std::min(entry.known_at, outdated_at);
  }
  if (!last_announcement_) return;
  const auto ended = std::erase_if(departures_, [&](const departure& entry) {
    return entry.server.withdrawn && entry.known_at <= outdated_at &&
           entry.server.instance == last_announcement_->instance;
  });
  // Announcements of the start that has ended may still be late.
  if (ended > 0) {
    AddDeparture(
        {.server = {.instance = last_announcement_->instance,
                    .start_unix_ms = last_announcement_->started_unix_ms},
         .known_at = outdated_at});
  }
}

std::vector<departed_server> local_server::Departures() const {
  std::vector<departed_server> departed;
  departed.reserve(departures_.size());
  for (const auto& entry : departures_) departed.push_back(entry.server);
  return departed;
}

void local_server::AddDepartures(const std::vector<departed_server>& departed,
                                 instant now) {
  const auto later = std::exchange(departures_, {});
  for (const auto& server : departed)
    AddDeparture({.server = server, .known_at = now});
  for (const auto& entry : later) AddDeparture(entry);
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
