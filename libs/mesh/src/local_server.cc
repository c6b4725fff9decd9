#include "mesh/local_server.h"

#include <utility>

namespace pomelohall {

local_server::local_server(local_server_options options)
    : options_(std::move(options)) {}

bool local_server::IsOutdated(const server_announcement& announcement,
                              instant now) const {
  if (!announced_) return false;
  if (announcement.instance == announced_->instance) {
    if (announcement.started_unix_ms != announced_->started_unix_ms) {
      return announcement.started_unix_ms < announced_->started_unix_ms;
    }
    return announcement.sequence <= announced_->sequence;
  }
  // The clock of the VM may have jumped back between two starts, so an earlier
  // start time counts only while the present instance is heard of.
  return announcement.started_unix_ms < announced_->started_unix_ms &&
         now - heard_at_ < options_.silence;
}

bool local_server::OnAnnounced(const server_announcement& announcement,
                               instant now) {
  if (announcement.address != options_.address) return false;
  if (IsOutdated(announcement, now)) return false;
  const bool same_start =
      announced_ && announcement.instance == announced_->instance &&
      announcement.started_unix_ms == announced_->started_unix_ms;
  // A server that leaves does not come back without a new start.
  const bool leaving =
      announcement.draining || (same_start && phase_ == server_phase::kLeaving);
  announced_ = announcement;
  heard_at_ = now;
  Enter(leaving ? server_phase::kLeaving : server_phase::kServing, now);
  return true;
}

bool local_server::OnWithdrawn(const std::string& instance, instant now) {
  if (!announced_ || announced_->instance != instance) return false;
  Enter(server_phase::kLeaving, now);
  return true;
}

void local_server::OnUnreachable(const std::string& instance, instant now) {
  if (!announced_ || announced_->instance != instance) return;
  if (phase_ == server_phase::kServing) Enter(server_phase::kUnreachable, now);
}

void local_server::Tick(instant now) {
  if (phase_ == server_phase::kServing && now - heard_at_ > options_.silence) {
    Enter(server_phase::kUnreachable, now);
  }
}

void local_server::Enter(server_phase phase, instant now) {
  if (phase == phase_) return;
  phase_ = phase;
  since_ = now;
}

std::optional<offered_server> local_server::Offer() const {
  if (phase_ != server_phase::kServing) return std::nullopt;
  return offered_server{.instance = announced_->instance,
                        .service = announced_->service,
                        .slots = announced_->slots};
}

}  // namespace pomelohall
