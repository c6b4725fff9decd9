#include "local_dispatcher.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <set>
#include <utility>
#include <vector>

#include "base/digest.h"
#include "local_exchange.h"
#include "logging/log_event.h"

namespace pomelohall {
namespace {

pool_options PoolOptions(const local_dispatcher_options& options) {
  return {.max_connections = options.max_connections,
          // The backend server is on this VM: it accepts connections
          // immediately or not at all.
          .connect_timeout = std::chrono::milliseconds(300),
          .dead_peer_timeout = options.dead_peer_timeout,
          .echo_field = options.fields.attempt_id,
          .peer_echoes_always = true,
          .is_refusal =
              [fields = options.fields](const response_head& head) {
                return IsRefusal(head, fields);
              },
          .allow_close_delimited = true};
}

// Time for repeated probes of a server that closes each connection at once: the
// listening socket of a process that ends may accept for a moment.
constexpr duration kMaxProbeTime = std::chrono::milliseconds(50);

}  // namespace

bool IsRefusal(const response_head& head, const header_field_names& fields) {
  return head.status == kMisdirectedRequest ||
         FindField(head.fields, fields.not_executed) != nullptr;
}

error CulpritError() {
  return {error_kind::kPoisonSuspected,
          "the request crashed several backend servers", run_state::kNotRun};
}

local_dispatcher::local_dispatcher(boost::asio::io_context& io,
                                   local_dispatcher_options options,
                                   transmit_queue& link, crash_history& crashes)
    : io_(io),
      options_(std::move(options)),
      link_(link),
      server_address_(options_.server_address),
      pool_(io, PoolOptions(options_)),
      server_({.address = options_.server_address,
               .service = options_.server_service,
               .announcement_timeout = options_.announcement_timeout,
               .max_lateness = options_.max_lateness,
               .awaits_departures = true}),
      queue_({.max_wait = options_.max_wait,
              .check_interval = options_.tick_interval}),
      crashes_(crashes) {}

local_dispatcher::~local_dispatcher() = default;

std::optional<error> local_dispatcher::CheckAdmission(
    const local_request& request) const {
  if (!accepting_) {
    return error(error_kind::kDraining, "the daemon is stopping",
                 run_state::kNotRun);
  }
  const auto offer = server_.OfferedServer();
  if (!offer) {
    const auto phase = server_.Phase();
    return error(
        phase == server_phase::kLeaving ? error_kind::kDraining
                                        : error_kind::kNoBackendServer,
        "the backend server is " + std::string(kServerPhaseNames.Name(phase)),
        run_state::kNotRun);
  }
  if (request.instance != offer->instance) {
    return error(error_kind::kNoBackendServer,
                 "the backend server is " + offer->instance + " now",
                 run_state::kNotRun);
  }
  if (may_run_ && !may_run_(*offer)) {
    return error(
        error_kind::kDraining,
        "the roll-out of the service does not use version " + offer->version,
        run_state::kNotRun);
  }
  return CheckCrashes(request);
}

crash_verdict local_dispatcher::VerdictOf(std::uint64_t fingerprint) const {
  return crashes_.RequestCount() == 0
             ? crash_verdict::kAllow
             : crashes_.Verdict(fingerprint, UnixMillisNow());
}

std::optional<error> local_dispatcher::CheckCrashes(
    const local_request& request) const {
  switch (VerdictOf(request.fingerprint)) {
    case crash_verdict::kAllow:
      return std::nullopt;
    case crash_verdict::kRefuse:
      return CulpritError();
    case crash_verdict::kTrial:
      break;
  }
  if (request.on_trial) return std::nullopt;
  // The sender learns of the crashes with the refusal.
  return error(error_kind::kPoisonSuspected,
               "the request ran at crashes and is not offered on trial",
               run_state::kNotRun);
}

std::optional<error> local_dispatcher::CheckLink(const local_request& request,
                                                 std::uint64_t id,
                                                 instant now) const {
  // A sender that does not stop waits for longer than its request may take.
  const auto latest =
      request.sender_stops ? std::optional(request.deadline) : last_write_;
  if (!latest ||
      link_.ExpectedLinkTime(request.work_class, request.kind).count() == 0 ||
      link_.CanSendBefore(*latest, queue_.MeanRunTime(request.work_class),
                          request.work_class, now, id)) {
    return std::nullopt;
  }
  return error(error_kind::kOverloaded,
               "the network link cannot carry the answer before the sending or "
               "receiving daemon stops",
               run_state::kNotRun);
}

std::shared_ptr<exchange> local_dispatcher::Start(local_request request,
                                                  exchange_events events) {
  if (latest_deadline_) {
    request.deadline = std::min(request.deadline, *latest_deadline_);
  }
  const auto id = ++last_id_;
  auto local = std::make_shared<local_exchange>(*this, id, std::move(request),
                                                std::move(events));
  exchanges_.emplace(id, local);
  Admit(id, local);
  return local;
}

void local_dispatcher::Admit(std::uint64_t id,
                             const std::shared_ptr<local_exchange>& local) {
  const auto now = MonotonicNow();
  const auto& request = local->Request();
  auto refusal = CheckAdmission(request);
  const bool needs_trial =
      VerdictOf(request.fingerprint) == crash_verdict::kTrial;
  if (!refusal && needs_trial && trial_) {
    awaiting_trial_.push_back(id);
    return;
  }
  work_item item{.id = id,
                 .work_class = request.work_class,
                 .priority = request.priority,
                 .target_at = request.target_at,
                 .deadline = request.deadline,
                 .max_wait = request.max_wait};
  // Answers to the callers on this VM use the link as well.
  item.link_time = link_.ExpectedLinkTime(item.work_class, request.kind);
  // Small answers do not queue behind large ones.
  if (item.link_time.count() > 0) {
    item.link_free_at = link_.DrainedAt(now);
    if (!refusal &&
        !link_.CanSendAfter(queue_.MeanRunTime(item.work_class), now)) {
      refusal = error(error_kind::kOverloaded,
                      "the network link cannot carry the answer in time",
                      run_state::kNotRun);
    }
  }
  if (!refusal) refusal = CheckLink(request, id, now);
  auto decision = queue_decision::kRefuse;
  if (!refusal) {
    decision = queue_.Offer(item, now);
    if (decision == queue_decision::kRefuse) {
      refusal = error(error_kind::kOverloaded,
                      "the backend server cannot run the request in time",
                      run_state::kNotRun);
    } else if (item.link_time.count() > 0) {
      link_.Reserve(item.id, item.work_class, request.kind);
    }
  }
  if (!refusal && needs_trial) {
    trial_ = {.id = id, .fingerprint = request.fingerprint};
    log_event(log_level::kInfo, "trial_started")
        .With("request", request.attempt_id)
        .With("instance", request.instance)
        .With("crashes", static_cast<std::uint64_t>(
                             crashes_.Crashes(request.fingerprint).size()));
  }
  // Posted, as Start() has to return the exchange before its first event.
  if (refusal) {
    boost::asio::post(io_,
                      [local, failure = *refusal] { local->Refuse(failure); });
  } else if (decision == queue_decision::kRun) {
    boost::asio::post(io_, [local] { local->Send(); });
  }
}

void local_dispatcher::AdmitAfterTrial() {
  // Whether the trial has crashed the server is not known yet.
  if (trial_ || !lost_requests_.empty()) return;
  for (const auto id : std::exchange(awaiting_trial_, {})) {
    const auto found = exchanges_.find(id);
    if (found != exchanges_.end()) Admit(id, found->second);
  }
}

bool local_dispatcher::IsTooLateForTrial(const local_request& request,
                                         instant now) const {
  return now + queue_.MeanRunTime(request.work_class) > request.deadline;
}

void local_dispatcher::RefuseUnsent(error_kind kind,
                                    const std::string& reason) {
  Refuse(std::exchange(awaiting_trial_, {}), kind, reason);
  Refuse(queue_.TakeAll(), kind, reason);
}

template <typename Change>
void local_dispatcher::ChangeServer(Change change) {
  const auto phase = server_.Phase();
  const auto serving = server_.ServingServer();
  const auto offered = server_.OfferedServer();
  const auto departed = server_.Departures();
  change();
  const bool phase_changed = server_.Phase() != phase;
  if (phase_changed) {
    const auto& announced = server_.LastAnnouncement();
    log_event(log_level::kInfo, "server_phase")
        .With("from", kServerPhaseNames.Name(phase))
        .With("to", kServerPhaseNames.Name(server_.Phase()))
        .With("instance", announced ? announced->instance : "")
        .With("service", announced ? announced->service : "")
        .With("sequence", announced ? announced->sequence : 0);
  }
  if (on_server_changed_ &&
      (phase_changed || server_.ServingServer() != serving ||
       server_.OfferedServer() != offered ||
       server_.Departures() != departed)) {
    on_server_changed_();
  }
}

announcement_outcome local_dispatcher::OnAnnounced(
    const server_announcement& announcement, instant now) {
  auto outcome = announcement_outcome::kOutdated;
  ChangeServer([&] {
    outcome = server_.OnAnnounced(announcement, now);
    if (outcome == announcement_outcome::kAccepted)
      queue_.SetSlots(announcement.slots);
  });
  if (outcome == announcement_outcome::kAccepted && !announcement.draining &&
      server_.Phase() == server_phase::kLeaving) {
    log_event(log_level::kInfo, "announcement_of_departed")
        .With("instance", announcement.instance)
        .With("started_unix_ms", announcement.started_unix_ms)
        .With("sequence", announcement.sequence);
  }
  return outcome;
}

bool local_dispatcher::OnWithdrawn(const std::string& instance, instant now) {
  bool is_current = false;
  ChangeServer([&] { is_current = server_.OnWithdrawn(instance, now); });
  log_event(log_level::kInfo, "server_withdrawn")
      .With("instance", instance)
      .With("is_current", std::string(is_current ? "yes" : "no"));
  return is_current;
}

// The address is that of the backend server of this VM alone: if nothing
// listens there, the process that withdrew itself has ended or is about to.
void local_dispatcher::CheckWithdrawnServer(instant now) {
  if (!server_.AwaitsEnd(now)) return;
  pool_.Probe(server_address_, probes_.Bind([this, now](probe_result result) {
    if (result != probe_result::kRefused) return;
    // It may have closed its listening socket before it ends.
    pool_.CloseIdle();
    ChangeServer([&] { server_.OnEnded(now, MonotonicNow()); });
    RefuseUnsent(error_kind::kNoBackendServer, "the backend server has ended");
  }));
}

void local_dispatcher::AddDepartures(
    const std::vector<departed_server>& departed) {
  ChangeServer([&] { server_.AddDepartures(departed, MonotonicNow()); });
}

void local_dispatcher::OnDeparturesKnown() {
  ChangeServer([&] { server_.OnDeparturesKnown(); });
}

void local_dispatcher::RefuseWaiting(const std::string& reason) {
  RefuseUnsent(error_kind::kDraining, reason);
}

void local_dispatcher::OnUnreachable(const std::string& instance) {
  const auto previous = server_.Phase();
  ChangeServer([&] { server_.OnUnreachable(instance, MonotonicNow()); });
  if (server_.Phase() == previous) return;
  RefuseUnsent(error_kind::kNoBackendServer,
               "the backend server is unreachable");
}

void local_dispatcher::OnConnectionLost(std::uint64_t fingerprint,
                                        std::function<void()> done) {
  // A server that leaves ends by itself.
  if (server_.Phase() == server_phase::kLeaving) {
    if (done) boost::asio::post(io_, std::move(done));
    return;
  }
  const bool is_checking = !lost_requests_.empty();
  lost_requests_.push_back(fingerprint);
  if (done) awaiting_probe_.push_back(std::move(done));
  if (is_checking) return;
  probing_since_ = MonotonicNow();
  Probe();
}

void local_dispatcher::Probe() {
  pool_.Probe(server_address_,
              probes_.Bind([this](probe_result result) { OnProbed(result); }));
}

void local_dispatcher::OnProbed(probe_result result) {
  if (result == probe_result::kUnclear &&
      MonotonicNow() - probing_since_ < kMaxProbeTime) {
    Probe();
    return;
  }
  if (result == probe_result::kRefused) RecordCrash();
  lost_requests_.clear();
  for (const auto& done : std::exchange(awaiting_probe_, {})) done();
  AdmitAfterTrial();
}

void local_dispatcher::RecordCrash() {
  const auto snapshot = in_flight_.TakeAll(MonotonicNow());
  std::set<std::uint64_t> requests(lost_requests_.begin(),
                                   lost_requests_.end());
  requests.insert(snapshot.running.begin(), snapshot.running.end());
  requests.insert(snapshot.cancelled.begin(), snapshot.cancelled.end());
  const auto& announced = server_.LastAnnouncement();
  if (!announced) return;
  const auto now = UnixMillisNow();
  const server_crash crash{
      .id = FastHash(announced->instance,
                     static_cast<std::uint64_t>(announced->started_unix_ms)),
      .at_unix_ms = now};
  const auto trial = TrialAmong(requests);
  log_event(log_level::kWarning, "server_crashed")
      .With("instance", announced->instance)
      .With("requests", static_cast<std::uint64_t>(requests.size()))
      .With("on_trial", std::string(trial ? "yes" : "no"));
  crashes_.OnCrash({.crash = crash,
                    .requests = {requests.begin(), requests.end()},
                    .trial = trial},
                   now);
  const auto phase = server_.Phase();
  OnUnreachable(announced->instance);
  if (server_.Phase() == phase && on_server_changed_) on_server_changed_();
}

std::optional<std::uint64_t> local_dispatcher::TrialAmong(
    const std::set<std::uint64_t>& requests) const {
  const auto& run = trial_ && HasStarted(*trial_) ? trial_ : last_trial_;
  // One that has completed is not on trial any more.
  if (run && requests.contains(run->fingerprint) &&
      VerdictOf(run->fingerprint) == crash_verdict::kTrial) {
    return run->fingerprint;
  }
  return std::nullopt;
}

void local_dispatcher::SetServer(const std::string& address,
                                 const std::string& service) {
  const auto previous = server_.Phase();
  server_address_ = address;
  ChangeServer([&] { server_.SetServer(address, service, MonotonicNow()); });
  if (server_.Phase() == previous) return;
  RefuseUnsent(error_kind::kNoBackendServer,
               "the settings name another backend server");
}

void local_dispatcher::LimitDeadlines(instant latest, instant last_write) {
  latest_deadline_ = latest;
  last_write_ = last_write;
  for (const auto& [id, local] : exchanges_) local->LimitDeadline(latest);
}

void local_dispatcher::LimitDeadlinesOf(const std::string& sender,
                                        instant latest) {
  for (const auto& [id, local] : exchanges_) {
    if (local->Request().sender != sender) continue;
    local->LimitToStopOfSender(latest);
    queue_.LimitDeadline(id, latest);
  }
  SendWaiting(MonotonicNow());
}

bool local_dispatcher::EndsAfterStop(const local_request& request,
                                     instant now) const {
  return latest_deadline_ &&
         now + queue_.MeanRunTime(request.work_class) > *latest_deadline_;
}

void local_dispatcher::StopAccepting() {
  accepting_ = false;
  if (on_server_changed_) on_server_changed_();
}

std::optional<offered_server> local_dispatcher::OfferedServer() const {
  return accepting_ ? server_.OfferedServer() : std::nullopt;
}

work_load local_dispatcher::Load() const {
  auto load = queue_.Load();
  load.work_percent = work_percent_;
  const auto now = MonotonicNow();
  // Transmissions that finish while the request runs do not delay its answer.
  load.link_wait =
      std::max(link_.DrainedAt(now) - now - load.mean_time, duration(0));
  return load;
}

void local_dispatcher::Tick(instant now) {
  SendWaiting(now);
  if (server_.Phase() == server_phase::kLeaving &&
      now - server_.PhaseSince() > options_.leaving_grace) {
    RefuseUnsent(error_kind::kDraining, "the backend server is leaving");
  }
  std::vector<std::uint64_t> stopped;
  std::vector<std::uint64_t> too_late;
  std::vector<std::shared_ptr<local_exchange>> overdue;
  for (const auto& [id, local] : exchanges_) {
    if (!local->IsSent() && EndsAfterStop(local->Request(), now)) {
      stopped.push_back(id);
    } else if (now > local->Request().deadline) {
      overdue.push_back(local);
    }
  }
  for (const auto id : awaiting_trial_) {
    const auto found = exchanges_.find(id);
    if (found != exchanges_.end() &&
        IsTooLateForTrial(found->second->Request(), now)) {
      too_late.push_back(id);
    }
  }
  Refuse(stopped, error_kind::kDraining,
         "the daemon stops before the request could end");
  Refuse(too_late, error_kind::kOverloaded,
         "the backend server cannot try the request in time");
  for (const auto& local : overdue) local->CheckDeadline(now);
}

void local_dispatcher::Sweep(instant now) {
  pool_.Sweep(now);
  ChangeServer([&] { server_.Tick(now); });
  CheckWithdrawnServer(now);
}

void local_dispatcher::Refuse(const std::vector<std::uint64_t>& ids,
                              error_kind kind, const std::string& reason) {
  for (const auto id : ids) {
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) continue;
    const auto local = found->second;
    local->Refuse({kind, reason, run_state::kNotRun});
  }
}

void local_dispatcher::OnFinished(std::uint64_t id,
                                  std::optional<duration> run_time) {
  queue_.OnFinished(id, run_time);
  Remove(id);
  SendWaiting(MonotonicNow());
}

void local_dispatcher::Remove(std::uint64_t id) {
  queue_.Remove(id);
  link_.Release(id);
  std::erase(awaiting_trial_, id);
  if (trial_ && trial_->id == id) {
    last_trial_ = HasStarted(*trial_) ? trial_ : std::nullopt;
    trial_.reset();
    // Posted, as its exchange may report a lost connection after this.
    boost::asio::post(io_, trials_.Bind([this] { AdmitAfterTrial(); }));
  }
  exchanges_.erase(id);
}

bool local_dispatcher::HasStarted(const trial_run& run) const {
  const auto found = exchanges_.find(run.id);
  return found != exchanges_.end() && found->second->IsSent();
}

void local_dispatcher::SendWaiting(instant now) {
  const error expired(error_kind::kOverloaded,
                      "the request cannot start in time any more",
                      run_state::kNotRun);
  for (const auto id : queue_.TakeExpired(now)) {
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) continue;
    // Posted, as its sender may offer another request before this returns.
    boost::asio::post(
        io_, [local = found->second, expired] { local->Refuse(expired); });
  }
  while (const auto id = queue_.Next(now)) {
    const auto found = exchanges_.find(*id);
    if (found == exchanges_.end()) {
      queue_.OnFinished(*id, std::nullopt);
      continue;
    }
    boost::asio::post(io_, [local = found->second] { local->Send(); });
  }
}

}  // namespace pomelohall
