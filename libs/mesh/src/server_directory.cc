#include "mesh/server_directory.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "base/digest.h"

namespace pomelohall {
namespace {

// Weight of the latest outcome in the failure share. A server that fails every
// second request reaches 0.4 after about five requests.
constexpr double kFailureSmoothing = 0.2;
// Weight of the latest delay. A daemon that became slow is recognised by three
// requests.
constexpr double kDelaySmoothing = 0.3;
// A non-idempotent request cannot be repeated if it fails, so it is not the one
// that finds out whether a server has recovered.
constexpr std::int64_t kNonIdempotentMemoryFactor = 4;
// Cost of a failed request in multiples of the mean time: the time until the
// failure and the retry on another server.
constexpr double kFailureCostFactor = 4;
// Assumed time of a request until the first response of the service.
constexpr duration kDefaultRunTime = std::chrono::milliseconds(100);
// Keeps the shift that doubles a suspension in range; `max_suspension` limits
// its result.
constexpr std::size_t kMaxDoublings = 6;

}  // namespace

server_directory::server_directory(server_directory_options options,
                                   std::uint64_t seed)
    : options_(std::move(options)), random_(seed) {}

void server_directory::Put(const mesh_member& member, instant now) {
  auto& state = members_[member.name];
  const bool same = state.member.incarnation == member.incarnation &&
                    state.member.server == member.server;
  if (same) {
    state.member = member;
    return;
  }
  // Outstanding requests of the previous record still end with OnEnded().
  state = {.member = member,
           .reported_at = now,
           .outstanding = state.outstanding,
           .hash = HashOf(member.name),
           .suspended_until = now};
}

std::uint32_t server_directory::HashOf(const std::string& name) {
  return static_cast<std::uint32_t>(FastHash(name));
}

void server_directory::Remove(const std::string& name) { members_.erase(name); }

void server_directory::Retain(const std::set<std::string>& names) {
  std::erase_if(members_, [&](const auto& entry) {
    return !names.contains(entry.first);
  });
}

std::optional<mesh_member> server_directory::Record(
    const std::string& name) const {
  const auto found = members_.find(name);
  if (found == members_.end()) return std::nullopt;
  return found->second.member;
}

bool server_directory::IsSuspended(const std::string& name, instant now) const {
  const auto found = members_.find(name);
  return found != members_.end() && now < found->second.suspended_until;
}

server_directory::member_state* server_directory::Find(
    const std::string& name) {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

template <typename Filter>
std::optional<mesh_member> server_directory::FastestMember(
    instant now, Filter filter) const {
  const mesh_member* fastest = nullptr;
  for (const auto& [name, state] : members_) {
    const auto& member = state.member;
    if (!filter(member) || now < state.suspended_until) continue;
    if (fastest == nullptr || member.link_mbps > fastest->link_mbps ||
        (member.link_mbps == fastest->link_mbps &&
         FastHash(name) < FastHash(fastest->name))) {
      fastest = &member;
    }
  }
  if (fastest == nullptr) return std::nullopt;
  return *fastest;
}

std::optional<mesh_member> server_directory::FastestMember(instant now) const {
  return FastestMember(now, [this](const mesh_member& member) {
    return member.data_centre == options_.data_centre;
  });
}

std::optional<mesh_member> server_directory::FastestMemberOfAll(
    instant now, const std::function<bool(const mesh_member&)>& filter) const {
  return FastestMember(now, [&](const mesh_member& member) {
    return !filter || filter(member);
  });
}

std::optional<mesh_member> server_directory::RandomMember(
    instant now, const std::function<bool(const mesh_member&)>& filter) {
  std::vector<const mesh_member*> candidates;
  for (const auto& [name, state] : members_) {
    if (now >= state.suspended_until && filter(state.member))
      candidates.push_back(&state.member);
  }
  if (candidates.empty()) return std::nullopt;
  return *candidates[random_.Below(candidates.size())];
}

std::vector<mesh_member> server_directory::Members() const {
  std::vector<mesh_member> members;
  for (const auto& [name, state] : members_) members.push_back(state.member);
  return members;
}

std::size_t server_directory::CountServers(
    const std::string& service, const version_choice& versions) const {
  return static_cast<std::size_t>(
      std::count_if(members_.begin(), members_.end(), [&](const auto& entry) {
        const auto& server = entry.second.member.server;
        return server && server->service == service &&
               versions.Allows(server->version);
      }));
}

std::vector<const server_directory::member_state*>
server_directory::CanaryServer(std::vector<const member_state*> members,
                               std::uint64_t turn) {
  if (members.empty()) return members;
  std::sort(members.begin(), members.end(), [](const auto* a, const auto* b) {
    return FastHash(a->member.server->instance) <
           FastHash(b->member.server->instance);
  });
  return {members[turn % std::min(members.size(), kCanaryServers)]};
}

duration server_directory::TypicalTime(
    const std::vector<const member_state*>& members, instant now) const {
  struct {
    duration sum{0};
    std::int64_t count = 0;
  } recent, all;
  for (const auto* state : members) {
    const auto time = state->load.mean_time;
    if (time.count() == 0) continue;
    all.sum += time;
    ++all.count;
    if (now - state->reported_at >= options_.report_lifetime) continue;
    recent.sum += time;
    ++recent.count;
  }
  if (recent.count > 0) return recent.sum / recent.count;
  return all.count == 0 ? kDefaultRunTime : all.sum / all.count;
}

double server_directory::Remembered(const member_state& state, double value,
                                    instant at, duration memory,
                                    instant now) const {
  // One request at a time finds out whether the value still holds.
  if (state.outstanding > 0) return value;
  const auto age = std::max(now - at, duration(0));
  return value * std::exp(-ToMillis(age) / ToMillis(memory));
}

duration server_directory::MeanTime(const member_state& state,
                                    duration typical_time, instant now) const {
  if (!state.reported || state.load.mean_time.count() == 0) return typical_time;
  const auto expires_at = state.reported_at + options_.report_lifetime;
  const auto difference =
      static_cast<double>((state.load.mean_time - typical_time).count());
  return typical_time +
         duration(static_cast<std::int64_t>(
             Remembered(state, difference, expires_at, options_.memory, now)));
}

double server_directory::DelayUs(const member_state& state, duration expected,
                                 instant now) const {
  const double delay =
      Remembered(state, state.delay_us, state.delay_at, options_.memory, now);
  if (state.outstanding == 0) return delay;
  // A daemon that hangs sends nothing that could show its delay.
  const auto silence = now - state.silent_since - expected;
  return std::max(delay, static_cast<double>(silence.count()));
}

double server_directory::WorkFactor(const member_state& state,
                                    instant now) const {
  const auto age = std::max(now - state.work_percent_at, duration(0));
  return 1 + (state.work_percent / 100 - 1) *
                 std::exp(-ToMillis(age) / ToMillis(options_.work_memory));
}

std::vector<load_summary> server_directory::RecentLoads(instant now) const {
  std::vector<load_summary> loads;
  for (const auto& [name, state] : members_) {
    const auto age = now - state.reported_at;
    if (!state.reported || !state.member.server ||
        state.member.data_centre != options_.data_centre ||
        age > options_.max_shared_age) {
      continue;
    }
    loads.push_back({.member_hash = state.hash,
                     .busy = state.load.running + state.load.waiting +
                             state.sent_since_report,
                     .work_percent = state.work_percent,
                     .age = age});
  }
  const auto count = std::min(loads.size(), options_.shared_loads);
  std::partial_sort(
      loads.begin(), loads.begin() + static_cast<std::ptrdiff_t>(count),
      loads.end(), [](const auto& a, const auto& b) { return a.age < b.age; });
  loads.resize(count);
  return loads;
}

void server_directory::OnLoadSummary(const load_summary& summary, instant now) {
  const auto at = now - summary.age;
  for (auto& [name, state] : members_) {
    if (state.hash != summary.member_hash || !state.reported ||
        at <= state.reported_at || name == options_.member) {
      continue;
    }
    state.load.running = summary.busy;
    state.load.waiting = 0;
    state.reported_at = at;
    state.sent_since_report = 0;
    state.work_percent = summary.work_percent;
    state.work_percent_at = at;
    work_percent_at_ = std::max(work_percent_at_, at);
    return;
  }
}

server_directory::candidate server_directory::Score(const member_state& state,
                                                    const server_demand& demand,
                                                    duration typical_time,
                                                    instant now) const {
  const auto slots = static_cast<double>(state.member.server->slots);
  double busy = static_cast<double>(state.outstanding);
  const auto mean = MeanTime(state, typical_time, now);
  duration link_wait{0};
  if (state.reported && now - state.reported_at < options_.report_lifetime) {
    busy = std::max(
        busy, static_cast<double>(state.load.running + state.load.waiting +
                                  state.sent_since_report));
    // Small responses do not wait for large ones.
    if (demand.kind == request_kind::kDownload) {
      link_wait = state.load.link_wait;
    }
  }
  const auto mean_us =
      static_cast<double>(mean.count()) * WorkFactor(state, now);
  // Many servers slow down when they are nearly full, so a high utilization
  // adds up to 30% of the mean time.
  const double queue = std::max(0.0, busy + 1 - slots) / slots;
  const double utilization = std::min(1.0, busy / slots);
  double expected_us = mean_us * (1 + queue + 0.3 * utilization * utilization) +
                       static_cast<double>(link_wait.count());
  expected_us +=
      DelayUs(state, duration(static_cast<std::int64_t>(expected_us)), now);
  const auto failure_memory =
      IsIdempotent(demand.kind) ? options_.memory
                                : kNonIdempotentMemoryFactor * options_.memory;
  const double failure_share = Remembered(
      state, state.failure_share, state.failure_share_at, failure_memory, now);
  double score = expected_us + failure_share * kFailureCostFactor * mean_us;
  if (state.member.data_centre != options_.data_centre) {
    const double penalty = demand.kind == request_kind::kDownload
                               ? options_.remote_download_penalty
                               : options_.remote_penalty;
    score += penalty * static_cast<double>(demand.latency_target.count());
  }
  return {.state = &state,
          .expected_time = duration(static_cast<std::int64_t>(expected_us)),
          .score_us = score};
}

std::vector<const server_directory::member_state*>
server_directory::EligibleMembers(const server_demand& demand,
                                  instant now) const {
  std::vector<const member_state*> eligible;
  for (const auto& [name, state] : members_) {
    const auto& server = state.member.server;
    if (server && server->service == demand.service &&
        demand.versions.Allows(server->version) &&
        !demand.excluded.contains(name) && now >= state.suspended_until) {
      eligible.push_back(&state);
    }
  }
  if (demand.versions.is_canary)
    return CanaryServer(std::move(eligible), demand.canary_turn);
  return eligible;
}

std::vector<const server_directory::member_state*> server_directory::Sample(
    const std::vector<const member_state*>& members, duration typical_time,
    instant now) {
  if (members.size() <= options_.max_compared) return members;
  // Weighted sampling without replacement: the members with the highest
  // u^(1/weight), compared by logarithm.
  std::vector<std::pair<double, const member_state*>> keys;
  keys.reserve(members.size());
  for (const auto* state : members) {
    const auto time = MeanTime(*state, typical_time, now);
    const double weight =
        static_cast<double>(state->member.server->slots) /
        (static_cast<double>(time.count()) + DelayUs(*state, time, now));
    keys.emplace_back(std::log(random_.NextDouble()) / weight, state);
  }
  const auto end =
      keys.begin() + static_cast<std::ptrdiff_t>(options_.max_compared);
  std::nth_element(keys.begin(), end, keys.end(), std::greater<>());
  std::vector<const member_state*> sampled;
  for (auto key = keys.begin(); key != end; ++key)
    sampled.push_back(key->second);
  return sampled;
}

// The highest random weight: if a server is lost, only its trials move.
const server_directory::member_state* server_directory::TrialServer(
    const std::vector<const member_state*>& members, std::uint64_t trial) {
  return *std::max_element(members.begin(), members.end(),
                           [trial](const auto* a, const auto* b) {
                             return FastHash(a->member.name, trial) <
                                    FastHash(b->member.name, trial);
                           });
}

std::optional<server_choice> server_directory::Choose(
    const server_demand& demand, instant now) {
  const auto eligible = EligibleMembers(demand, now);
  if (eligible.empty()) return std::nullopt;
  const auto typical = TypicalTime(eligible, now);
  if (demand.trial) {
    const auto& server = *TrialServer(eligible, *demand.trial);
    return server_choice{
        .member = server.member,
        .expected_time = Score(server, demand, typical, now).expected_time,
        .report_age = server.reported ? now - server.reported_at : duration(0),
        .candidates = 1};
  }
  std::vector<const member_state*> local;
  std::vector<const member_state*> remote;
  for (const auto* state : eligible) {
    (state->member.data_centre == options_.data_centre ? local : remote)
        .push_back(state);
  }
  std::vector<candidate> candidates;
  for (const auto& group :
       {Sample(local, typical, now), Sample(remote, typical, now)}) {
    for (const auto* state : group) {
      candidates.push_back(Score(*state, demand, typical, now));
    }
  }
  // Load reports lag by a few requests. If all daemons chose the best server by
  // score, they would overload it, so one of the near-best servers is chosen at
  // random.
  const auto best = std::min_element(
      candidates.begin(), candidates.end(),
      [](const auto& a, const auto& b) { return a.score_us < b.score_us; });
  constexpr double kNearBestFactor = 1.1;
  const double bound = best->score_us * kNearBestFactor;
  std::vector<const candidate*> near_best;
  for (const auto& entry : candidates) {
    if (entry.score_us <= bound) near_best.push_back(&entry);
  }
  const auto& chosen = *near_best[random_.Below(near_best.size())];
  const auto& state = *chosen.state;
  return server_choice{
      .member = state.member,
      .expected_time = chosen.expected_time,
      .report_age = state.reported ? now - state.reported_at : duration(0),
      .candidates = eligible.size()};
}

void server_directory::OnSent(const std::string& name, instant now) {
  auto* const state = Find(name);
  if (state == nullptr) return;
  if (state->outstanding == 0) state->silent_since = now;
  ++state->outstanding;
  ++state->sent_since_report;
}

void server_directory::OnEnded(const std::string& name, send_outcome outcome,
                               instant now) {
  auto* const state = Find(name);
  if (state == nullptr) return;
  if (state->outstanding > 0) --state->outstanding;
  if (outcome == send_outcome::kUnreachable) {
    Suspend(*state, now);
    return;
  }
  state->consecutive_failures = 0;
  if (outcome == send_outcome::kRefused) return;
  const double sample = outcome == send_outcome::kServed ? 0 : 1;
  state->failure_share =
      Remembered(*state, state->failure_share, state->failure_share_at,
                 options_.memory, now);
  state->failure_share += kFailureSmoothing * (sample - state->failure_share);
  state->failure_share_at = now;
}

void server_directory::OnDelay(const std::string& name, duration delay,
                               instant now) {
  auto* const state = Find(name);
  if (state == nullptr) return;
  const auto sample = static_cast<double>(std::max(delay, duration(0)).count());
  state->delay_us += kDelaySmoothing * (sample - state->delay_us);
  state->delay_at = now;
}

void server_directory::Suspend(member_state& state, instant now) const {
  // Concurrent requests that fail count as one failure.
  if (now < state.suspended_until) return;
  const auto factor = std::int64_t{1}
                      << std::min(state.consecutive_failures, kMaxDoublings);
  ++state.consecutive_failures;
  state.suspended_until =
      now + std::min(options_.suspension * factor, options_.max_suspension);
}

void server_directory::OnLoadReport(const std::string& name,
                                    const work_load& load, instant now) {
  auto* const state = Find(name);
  if (state == nullptr) return;
  state->load = load;
  state->reported = true;
  if (load.work_percent) {
    state->work_percent = *load.work_percent;
    state->work_percent_at = now;
    work_percent_at_ = now;
  }
  state->reported_at = now;
  state->sent_since_report = 0;
  state->silent_since = now;
}

void server_directory::OnNotServing(const std::string& name, instant now) {
  if (auto* const state = Find(name)) Suspend(*state, now);
}

}  // namespace pomelohall
