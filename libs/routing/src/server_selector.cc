#include "routing/server_selector.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pomelohall {
namespace {

bool Contains(std::span<const std::string> names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

/// Whether a failure reflects the health of the server. Other failures are
/// caused by the request or the caller.
bool IsServerFault(const std::optional<error_kind>& kind, run_state ran) {
  if (!kind) return true;
  if (IsRequestFault(*kind)) return false;
  switch (*kind) {
    case error_kind::kCancelled:
    case error_kind::kPoisonSuspected:
      return false;
    case error_kind::kDeadlineExceeded:
      return ran != run_state::kNotRun;
    default:
      return true;
  }
}

/// Whether the server refused the attempt because of load.
bool IsOverload(const std::optional<error_kind>& kind, run_state ran) {
  return kind == error_kind::kOverloaded ||
         (kind == error_kind::kDeadlineExceeded && ran == run_state::kNotRun);
}

}  // namespace

server_selector::server_selector(selector_options options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed) {}

void server_selector::Update(snapshot_ptr next, instant now) {
  snapshot_ = std::move(next);
  services_.clear();
  service_of_member_.clear();
  for (const auto& service : snapshot_->services) {
    auto& candidates = services_[service.name];
    const auto initial = MeanLatency(service, now);
    for (const auto& server : service.servers) {
      auto& health = HealthOf(server, initial, now);
      service_of_member_[server.member] = service.name;
      if (!server.reachable) continue;
      const bool local = server.data_centre == options_.local_data_centre;
      (local ? candidates.local : candidates.remote)
          .push_back({&server, &health, PenaltyOf(server)});
    }
  }
  RemoveAbsentServers();
  first_update_ = false;
}

result<server_entry> server_selector::Pick(
    std::string_view service, std::span<const std::string> excluded_members,
    instant now) {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return Fail(error_kind::kNoBackendServer,
                "service " + std::string(service) + " is unknown");
  }
  const auto& [local, remote] = found->second;
  const scored_candidate best_local = BestOfTwo(local, excluded_members, now);
  const scored_candidate best_remote = BestOfTwo(remote, excluded_members, now);
  const bool prefer_remote =
      best_remote.server &&
      (!best_local.server || best_remote.score < best_local.score);
  const auto* chosen = prefer_remote ? best_remote.server : best_local.server;
  if (chosen == nullptr) {
    return Fail(
        error_kind::kNoBackendServer,
        "service " + std::string(service) + " has no usable backend server (" +
            std::to_string(local.size() + remote.size()) + " reachable)");
  }
  return *chosen->entry;
}

void server_selector::OnStart(const std::string& member, instant now) {
  const auto found = health_.find(member);
  if (found != health_.end()) found->second.OnStart(now);
}

void server_selector::OnFinish(const std::string& member,
                               const attempt_result& outcome, instant now) {
  const auto found = health_.find(member);
  if (found == health_.end()) return;
  auto& health = found->second;
  if (outcome.ok) {
    health.OnSuccess(outcome.latency, now);
  } else if (outcome.error == error_kind::kDraining) {
    health.OnDraining(now);
  } else if (IsOverload(outcome.error, outcome.ran)) {
    health.OnOverloaded(now);
  } else if (IsServerFault(outcome.error, outcome.ran)) {
    health.OnFailure(outcome.latency, MayEject(member, now), now);
  } else {
    health.OnDiscarded();
  }
}

std::size_t server_selector::EjectedCount(std::string_view service,
                                          instant now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return 0;
  const auto count = [now](const std::vector<candidate>& candidates) {
    return std::count_if(
        candidates.begin(), candidates.end(),
        [now](const candidate& item) { return item.health->Ejected(now); });
  };
  return static_cast<std::size_t>(count(found->second.local) +
                                  count(found->second.remote));
}

duration server_selector::PenaltyOf(const server_entry& entry) const {
  if (entry.data_centre == options_.local_data_centre) return duration{0};
  return entry.region == options_.local_region ? options_.data_centre_penalty
                                               : options_.region_penalty;
}

duration server_selector::MeanLatency(const service_entry& service,
                                      instant now) const {
  duration sum{0};
  std::int64_t known = 0;
  for (const auto& server : service.servers) {
    const auto found = health_.find(server.member);
    if (found == health_.end()) continue;
    sum += found->second.Estimate(now);
    ++known;
  }
  return known > 0 ? sum / known : options_.health.initial_latency;
}

server_health& server_selector::HealthOf(const server_entry& entry,
                                         duration initial, instant now) {
  const auto found = health_.find(entry.member);
  if (found != health_.end()) {
    if (found->second.Incarnation() == entry.incarnation) return found->second;
    health_.erase(found);
  }
  // In the first snapshot every server is new to this daemon, which does not
  // mean that the servers have just started.
  return health_
      .emplace(entry.member, server_health(options_.health, entry.incarnation,
                                           initial, !first_update_, now))
      .first->second;
}

void server_selector::RemoveAbsentServers() {
  std::erase_if(health_, [this](const auto& item) {
    return !service_of_member_.contains(item.first);
  });
}

bool server_selector::MayEject(const std::string& member, instant now) const {
  const auto service = service_of_member_.find(member);
  if (service == service_of_member_.end()) return false;
  const auto found = services_.find(service->second);
  if (found == services_.end()) return false;
  const auto total = found->second.local.size() + found->second.remote.size();
  return EjectedCount(service->second, now) < total / 2;
}

server_selector::scored_candidate server_selector::BestOfTwo(
    const std::vector<candidate>& candidates,
    std::span<const std::string> excluded, instant now) {
  const auto* first = PickRandomUsable(candidates, excluded, nullptr, now);
  if (first == nullptr) return {};
  const auto* second = PickRandomUsable(candidates, excluded, first, now);
  const scored_candidate one{first, ScoreOf(*first, now)};
  if (second == nullptr) return one;
  const scored_candidate two{second, ScoreOf(*second, now)};
  return two.score < one.score ? two : one;
}

double server_selector::ScoreOf(const candidate& server, instant now) {
  return server.health->Score(now) +
         static_cast<double>(server.penalty.count());
}

const server_selector::candidate* server_selector::PickRandomUsable(
    const std::vector<candidate>& candidates,
    std::span<const std::string> excluded, const candidate* skipped,
    instant now) {
  if (candidates.empty()) return nullptr;
  // A random start index makes the choice uniform while nearly all servers are
  // usable.
  const auto start = random_.Below(candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto& item = candidates[(start + i) % candidates.size()];
    const bool usable = &item != skipped && item.health->Usable(now) &&
                        !Contains(excluded, item.entry->member);
    if (usable) return &item;
  }
  return nullptr;
}

}  // namespace pomelohall
