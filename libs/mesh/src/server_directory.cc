#include "mesh/server_directory.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "base/digest.h"

namespace pomelohall {
namespace {

// Weight of the newest outcome in the failure share: a server that fails each
// second request is at 0.4 after about five of them.
constexpr double kFailureSmoothing = 0.2;
// A failed request costs its caller about this many times the usual time: the
// time that it took, and the repeat elsewhere.
constexpr double kFailureCost = 4;
// Assumed time of a request while no answer of the service was seen.
constexpr duration kUnknownTime = std::chrono::milliseconds(100);
constexpr std::size_t kMaxDoublings = 6;

}  // namespace

server_directory::server_directory(server_directory_options options,
                                   std::uint64_t seed)
    : options_(std::move(options)), random_(seed) {}

void server_directory::Put(const mesh_member& member, instant now) {
  auto& known = members_[member.name];
  const bool same = known.member.incarnation == member.incarnation &&
                    known.member.server == member.server;
  if (same) {
    known.member = member;
    return;
  }
  // Requests in progress end later and are still counted.
  known = {.member = member,
           .reported_at = now,
           .outstanding = known.outstanding,
           .suspended_until = now};
}

void server_directory::Remove(const std::string& name) { members_.erase(name); }

void server_directory::Retain(const std::set<std::string>& names) {
  std::erase_if(members_, [&](const auto& entry) {
    return !names.contains(entry.first);
  });
}

bool server_directory::IsSuspended(const std::string& name, instant now) const {
  const auto found = members_.find(name);
  return found != members_.end() && now < found->second.suspended_until;
}

server_directory::known_member* server_directory::Find(
    const std::string& name) {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

std::size_t server_directory::Rank(const std::string& name) const {
  // Names of VMs are in the order of data centres; the hash mixes them.
  const auto own = FastHash(name);
  return static_cast<std::size_t>(std::count_if(
      members_.begin(), members_.end(),
      [&](const auto& entry) { return FastHash(entry.first) < own; }));
}

duration server_directory::TypicalTime(
    const std::vector<const known_member*>& members) {
  duration sum{0};
  std::int64_t reported = 0;
  for (const auto* known : members) {
    const auto time = known->load.mean_time;
    if (time.count() == 0) continue;
    sum += time;
    ++reported;
  }
  return reported == 0 ? kUnknownTime : sum / reported;
}

server_directory::candidate server_directory::Rate(const known_member& known,
                                                   const server_demand& demand,
                                                   duration typical_time,
                                                   instant now) const {
  const auto slots = static_cast<double>(known.member.server->slots);
  double busy = static_cast<double>(known.outstanding);
  duration mean = typical_time;
  duration link_wait{0};
  if (known.reported) {
    if (known.load.mean_time.count() > 0) mean = known.load.mean_time;
    if (now - known.reported_at < options_.report_lifetime) {
      busy = std::max(
          busy, static_cast<double>(known.load.running + known.load.waiting +
                                    known.sent_since_report));
      // Small answers do not wait for large ones.
      if (demand.kind == request_kind::kDownload) {
        link_wait = known.load.link_wait;
      }
    }
  }
  const auto mean_us = static_cast<double>(mean.count());
  // Many servers slow down when they are nearly full, so the last slots count
  // as a part of a wait.
  const double queue = std::max(0.0, busy + 1 - slots) / slots;
  const double fullness = std::min(1.0, busy / slots);
  const double expected_us = mean_us * (1 + queue + 0.3 * fullness * fullness) +
                             static_cast<double>(link_wait.count());
  double score = expected_us + known.failure_share * kFailureCost * mean_us;
  if (known.member.data_centre != options_.data_centre) {
    const double penalty = demand.kind == request_kind::kDownload
                               ? options_.remote_download_penalty
                               : options_.remote_penalty;
    score += penalty * static_cast<double>(demand.latency_target.count());
  }
  return {.known = &known,
          .expected = duration(static_cast<std::int64_t>(expected_us)),
          .score_us = score};
}

std::vector<const server_directory::known_member*> server_directory::Usable(
    const server_demand& demand, instant now) const {
  std::vector<const known_member*> usable;
  for (const auto& [name, known] : members_) {
    const auto& server = known.member.server;
    if (server && server->service == demand.service &&
        !demand.excluded.contains(name) && now >= known.suspended_until) {
      usable.push_back(&known);
    }
  }
  return usable;
}

std::vector<const server_directory::known_member*> server_directory::Draw(
    const std::vector<const known_member*>& members, duration typical_time) {
  if (members.size() <= options_.max_compared) return members;
  // The highest keys of u^(1/weight) are a weighted draw without replacement.
  std::vector<std::pair<double, const known_member*>> keys;
  keys.reserve(members.size());
  for (const auto* known : members) {
    const auto mean = known->load.mean_time;
    const auto time = mean.count() > 0 ? mean : typical_time;
    const double weight = static_cast<double>(known->member.server->slots) /
                          static_cast<double>(time.count());
    keys.emplace_back(std::log(random_.Unit()) / weight, known);
  }
  const auto end =
      keys.begin() + static_cast<std::ptrdiff_t>(options_.max_compared);
  std::nth_element(keys.begin(), end, keys.end(), std::greater<>());
  std::vector<const known_member*> drawn;
  for (auto key = keys.begin(); key != end; ++key) drawn.push_back(key->second);
  return drawn;
}

std::optional<server_choice> server_directory::Choose(
    const server_demand& demand, instant now) {
  const auto usable = Usable(demand, now);
  if (usable.empty()) return std::nullopt;
  const auto typical = TypicalTime(usable);
  std::vector<const known_member*> near;
  std::vector<const known_member*> far;
  for (const auto* known : usable) {
    (known->member.data_centre == options_.data_centre ? near : far)
        .push_back(known);
  }
  std::vector<candidate> candidates;
  for (const auto& group : {Draw(near, typical), Draw(far, typical)}) {
    for (const auto* known : group) {
      candidates.push_back(Rate(*known, demand, typical, now));
    }
  }
  // Load reports are a few requests old. If all daemons took the best server
  // by them, they would all send to the same one: of those that are about as
  // good, a random one is taken.
  const auto best = std::min_element(
      candidates.begin(), candidates.end(),
      [](const auto& a, const auto& b) { return a.score_us < b.score_us; });
  constexpr double kAboutAsGood = 1.1;
  const double bound = best->score_us * kAboutAsGood;
  std::vector<const candidate*> good;
  for (const auto& entry : candidates) {
    if (entry.score_us <= bound) good.push_back(&entry);
  }
  const auto& chosen = *good[random_.Below(good.size())];
  const auto& known = *chosen.known;
  return server_choice{
      .member = known.member,
      .expected = chosen.expected,
      .report_age = known.reported ? now - known.reported_at : duration(0),
      .candidates = usable.size()};
}

void server_directory::OnSent(const std::string& name) {
  auto* const known = Find(name);
  if (known == nullptr) return;
  ++known->outstanding;
  ++known->sent_since_report;
}

void server_directory::OnEnded(const std::string& name, send_outcome outcome,
                               instant now) {
  auto* const known = Find(name);
  if (known == nullptr) return;
  if (known->outstanding > 0) --known->outstanding;
  if (outcome == send_outcome::kUnreachable) {
    Suspend(*known, now);
    return;
  }
  known->failures_in_a_row = 0;
  if (outcome == send_outcome::kRefused) return;
  const double sample = outcome == send_outcome::kServed ? 0 : 1;
  known->failure_share += kFailureSmoothing * (sample - known->failure_share);
}

void server_directory::Suspend(known_member& known, instant now) const {
  // Requests that fail together are one failure.
  if (now < known.suspended_until) return;
  const auto factor = std::int64_t{1}
                      << std::min(known.failures_in_a_row, kMaxDoublings);
  ++known.failures_in_a_row;
  known.suspended_until =
      now + std::min(options_.suspension * factor, options_.max_suspension);
}

void server_directory::OnLoad(const std::string& name, const work_load& load,
                              instant now) {
  auto* const known = Find(name);
  if (known == nullptr) return;
  known->load = load;
  known->reported = true;
  known->reported_at = now;
  known->sent_since_report = 0;
}

void server_directory::OnNotServing(const std::string& name, instant now) {
  if (auto* const known = Find(name)) Suspend(*known, now);
}

}  // namespace pomelohall
