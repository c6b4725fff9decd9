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
  auto& current = members_[member.name];
  const bool same = current.incarnation == member.incarnation &&
                    current.server == member.server;
  current = member;
  if (same) return;
  // Requests in progress end later and are still counted.
  auto& old = views_[member.name];
  old = {.reported_at = now,
         .outstanding = old.outstanding,
         .suspended_until = now};
}

void server_directory::Remove(const std::string& name) {
  members_.erase(name);
  views_.erase(name);
}

void server_directory::Retain(const std::set<std::string>& names) {
  std::vector<std::string> gone;
  for (const auto& [name, member] : members_) {
    if (!names.contains(name)) gone.push_back(name);
  }
  for (const auto& name : gone) Remove(name);
}

bool server_directory::IsUsable(const mesh_member& member,
                                const server_demand& demand,
                                instant now) const {
  return member.server && member.server->service == demand.service &&
         !demand.excluded.contains(member.name) &&
         !IsSuspended(member.name, now);
}

bool server_directory::IsSuspended(const std::string& name, instant now) const {
  const auto found = views_.find(name);
  return found != views_.end() && now < found->second.suspended_until;
}

std::size_t server_directory::Rank(const std::string& name) const {
  // Names of VMs are in the order of data centres; the hash mixes them.
  const auto own = FastHash(name);
  return static_cast<std::size_t>(std::count_if(
      members_.begin(), members_.end(),
      [&](const auto& entry) { return FastHash(entry.first) < own; }));
}

duration server_directory::TypicalTime(
    const std::vector<const mesh_member*>& members) const {
  duration sum{0};
  std::int64_t known = 0;
  for (const auto* member : members) {
    const auto time = views_.at(member->name).load.mean_time;
    if (time.count() == 0) continue;
    sum += time;
    ++known;
  }
  return known == 0 ? kUnknownTime : sum / known;
}

server_directory::candidate server_directory::Rate(const mesh_member& member,
                                                   const server_demand& demand,
                                                   duration typical_time,
                                                   instant now) const {
  const auto& view = views_.at(member.name);
  const auto slots = static_cast<double>(member.server->slots);
  double busy = static_cast<double>(view.outstanding);
  duration mean = typical_time;
  duration link_wait{0};
  if (view.reported) {
    if (view.load.mean_time.count() > 0) mean = view.load.mean_time;
    if (now - view.reported_at < options_.report_lifetime) {
      busy = std::max(
          busy, static_cast<double>(view.load.running + view.load.waiting +
                                    view.sent_since_report));
      // Small answers do not wait for large ones.
      if (demand.kind == request_kind::kDownload) {
        link_wait = view.load.link_wait;
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
  double score = expected_us + view.failure_share * kFailureCost * mean_us;
  if (member.data_centre != options_.data_centre) {
    const double penalty = demand.kind == request_kind::kDownload
                               ? options_.remote_download_penalty
                               : options_.remote_penalty;
    score += penalty * static_cast<double>(demand.latency_target.count());
  }
  return {.member = &member,
          .expected = duration(static_cast<std::int64_t>(expected_us)),
          .score_us = score};
}

std::vector<const mesh_member*> server_directory::Usable(
    const server_demand& demand, instant now) const {
  std::vector<const mesh_member*> usable;
  for (const auto& [name, member] : members_) {
    if (IsUsable(member, demand, now)) usable.push_back(&member);
  }
  return usable;
}

std::vector<const mesh_member*> server_directory::Draw(
    const std::vector<const mesh_member*>& members, duration typical_time) {
  if (members.size() <= options_.max_compared) return members;
  // The highest keys of u^(1/weight) are a weighted draw without replacement.
  std::vector<std::pair<double, const mesh_member*>> keys;
  keys.reserve(members.size());
  for (const auto* member : members) {
    const auto mean = views_.at(member->name).load.mean_time;
    const auto time = mean.count() > 0 ? mean : typical_time;
    const double weight = static_cast<double>(member->server->slots) /
                          static_cast<double>(time.count());
    keys.emplace_back(std::log(random_.Unit()) / weight, member);
  }
  const auto end =
      keys.begin() + static_cast<std::ptrdiff_t>(options_.max_compared);
  std::nth_element(keys.begin(), end, keys.end(), std::greater<>());
  std::vector<const mesh_member*> drawn;
  for (auto key = keys.begin(); key != end; ++key) drawn.push_back(key->second);
  return drawn;
}

std::optional<server_choice> server_directory::Choose(
    const server_demand& demand, instant now) {
  const auto usable = Usable(demand, now);
  if (usable.empty()) return std::nullopt;
  const auto typical = TypicalTime(usable);
  std::vector<const mesh_member*> near;
  std::vector<const mesh_member*> far;
  for (const auto* member : usable) {
    (member->data_centre == options_.data_centre ? near : far)
        .push_back(member);
  }
  std::vector<candidate> candidates;
  for (const auto& group : {Draw(near, typical), Draw(far, typical)}) {
    for (const auto* member : group) {
      candidates.push_back(Rate(*member, demand, typical, now));
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
  const auto& view = views_.at(chosen.member->name);
  return server_choice{
      .member = *chosen.member,
      .expected = chosen.expected,
      .report_age = view.reported ? now - view.reported_at : duration(0),
      .candidates = usable.size()};
}

void server_directory::OnSent(const std::string& name) {
  const auto found = views_.find(name);
  if (found == views_.end()) return;
  ++found->second.outstanding;
  ++found->second.sent_since_report;
}

void server_directory::OnEnded(const std::string& name, send_outcome outcome,
                               instant now) {
  const auto found = views_.find(name);
  if (found == views_.end()) return;
  auto& view = found->second;
  if (view.outstanding > 0) --view.outstanding;
  if (outcome == send_outcome::kUnreachable) {
    Suspend(view, now);
    return;
  }
  view.failures_in_a_row = 0;
  if (outcome == send_outcome::kRefused) return;
  const double sample = outcome == send_outcome::kServed ? 0 : 1;
  view.failure_share += kFailureSmoothing * (sample - view.failure_share);
}

void server_directory::Suspend(view& view, instant now) {
  // Requests that fail together are one failure.
  if (now < view.suspended_until) return;
  const auto factor = std::int64_t{1}
                      << std::min(view.failures_in_a_row, kMaxDoublings);
  ++view.failures_in_a_row;
  view.suspended_until =
      now + std::min(options_.suspension * factor, options_.max_suspension);
}

void server_directory::OnLoad(const std::string& name, const work_load& load,
                              instant now) {
  const auto found = views_.find(name);
  if (found == views_.end()) return;
  auto& view = found->second;
  view.load = load;
  view.reported = true;
  view.reported_at = now;
  view.sent_since_report = 0;
}

void server_directory::OnNotServing(const std::string& name, instant now) {
  const auto found = views_.find(name);
  if (found != views_.end()) Suspend(found->second, now);
}

}  // namespace pomelohall
