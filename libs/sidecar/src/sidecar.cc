#include "sidecar/sidecar.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <random>
#include <utility>

#include "active_config.h"
#include "answer_sender.h"
#include "backend/connection_pool.h"
#include "base/http_limits.h"
#include "caller/call_server.h"
#include "caller/write_turns.h"
#include "collection_watch.h"
#include "config_reader.h"
#include "local_dispatcher.h"
#include "logging/log_event.h"
#include "member_codec.h"
#include "member_observer.h"
#include "member_publisher.h"
#include "mesh/retry_budget.h"
#include "mesh/server_directory.h"
#include "mesh_endpoint.h"
#include "peer_config_sync.h"
#include "quota_exchange.h"
#include "request_router.h"
#include "rollout_coordinator.h"
#include "sidecar_metrics.h"

namespace pomelohall {
namespace {

// Resolution of the queue timeouts of the dispatcher; well below the shortest
// latency targets of a few hundred milliseconds.
constexpr duration kTickInterval = std::chrono::milliseconds(50);
// Shorter differences of the clocks are due to the time between their readings.
constexpr duration kMinSuspension = std::chrono::milliseconds(100);
// Ticks between checks for idle connections and for a silent backend server.
constexpr std::int64_t kTicksPerSweep = 20;
// Readiness is probed once a second; callers stop sending after two failed
// probes.
constexpr duration kReadinessLossTime = std::chrono::milliseconds(2200);
// Part of the stop grace period that is reserved for the exit of the process.
constexpr duration kExitMargin = std::chrono::milliseconds(400);
// Part of it that is left when the last responses have been written: the exit
// takes some milliseconds, and some tens on a busy VM.
constexpr duration kMinExitMargin = std::chrono::milliseconds(150);
// Interval between checks whether all responses have been written.
constexpr duration kWriteCheckInterval = std::chrono::milliseconds(10);
// Time from the latest deadline of requests until their responses are due. At
// its deadline a backend server ends its work and answers; the daemon beside it
// waits up to 150 ms for that answer. The rest is for the way back.
constexpr duration kStopAnswerTime = std::chrono::milliseconds(350);
// Time for the responses of this daemon to requests that got no answer.
constexpr duration kStopResponseTime = std::chrono::milliseconds(150);
// Part of the stop grace period before which no running request is broken off:
// most requests end within it.
constexpr double kUndisturbedGrace = 5.0 / 6;
// A connection between daemons opens within milliseconds or not at all. A
// request that waits longer for one of those in use is offered elsewhere.
constexpr duration kPeerConnectTimeout = std::chrono::milliseconds(300);
// Daemons acknowledge bytes within milliseconds; this tolerates two consecutive
// lost packets.
constexpr duration kPeerSilenceTimeout = std::chrono::milliseconds(1000);
constexpr duration kMemberWatchWait = std::chrono::seconds(10);
// Pause between a change of the members and the next watch. It coalesces
// records that change together, as after the start of many daemons, into one
// call. In a large fleet some record changes all the time, so the pause grows
// with the fleet: all daemons together make 200 such calls a second at most.
constexpr duration kMemberWatchPausePerMember = std::chrono::milliseconds(5);
constexpr duration kMinMemberWatchPause = std::chrono::milliseconds(500);
constexpr duration kMaxMemberWatchPause = std::chrono::seconds(3);
// A backend server announces itself every 1.5 seconds, so a daemon that starts
// mostly hears of it within this time and needs a single write.
constexpr duration kFirstRecordDelay = std::chrono::seconds(1);
// A backend server waits up to a second for the acknowledgement that it may
// leave, and asks again if there is none.
constexpr duration kMaxDepartureWait = std::chrono::milliseconds(800);
// Announcements that a backend server may miss before it is considered
// unreachable; they can be seconds late.
constexpr std::int64_t kMaxMissedAnnouncements = 6;

// Share of the link for answers; the rest is for requests, acknowledgements and
// packet headers.
constexpr double kPacedLinkShare = 0.8;

// Time from the start of a stop until the connections close.
duration TimeUntilEnd(duration stop_grace) {
  return std::max(stop_grace - kExitMargin, duration(0));
}

// A request waits for a slot, runs and waits for the link. The wait for the
// link takes at most a third of the time in which a daemon ends its requests
// before it exits, so that most answers reach it if its stop begins meanwhile.
constexpr int kRequestPhases = 3;

duration MaxLinkWait(duration stop_grace) {
  return TimeUntilEnd(stop_grace) / kRequestPhases;
}

double PacedBytesPerSecond(double link_mbps) {
  constexpr double kBytesPerMegabit = 125'000;
  return kPacedLinkShare * link_mbps * kBytesPerMegabit;
}

// A request that waits for longer could not be answered if a stop of its daemon
// had begun when it was accepted. A shorter bound refuses requests under
// overload that are still served late.
duration MaxSlotWait(duration stop_grace) {
  return std::max(TimeUntilEnd(stop_grace) - kStopAnswerTime, duration(0));
}

duration MemberWatchPause(std::size_t members) {
  return std::clamp<duration>(
      kMemberWatchPausePerMember * static_cast<std::int64_t>(members),
      kMinMemberWatchPause, kMaxMemberWatchPause);
}

std::uint64_t RandomSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

}  // namespace

class sidecar::impl {
 public:
  impl(boost::asio::io_context& io, sidecar_settings settings,
       const sidecar_platform& platform)
      : settings_(std::move(settings)),
        incarnation_(static_cast<std::uint64_t>(UnixMillisNow())),
        sender_(io,
                {.bytes_per_second = PacedBytesPerSecond(settings_.link_mbps),
                 .max_wait = MaxLinkWait(settings_.stop_grace)},
                platform.fields.attempt_id),
        dispatcher_(io,
                    {.fields = platform.fields,
                     .server_address = settings_.server_address,
                     .server_service = settings_.server_service,
                     .max_wait = MaxSlotWait(settings_.stop_grace),
                     .tick_interval = kTickInterval,
                     // The other half is for requests in transit.
                     .leaving_grace = settings_.drain_time / 2,
                     .announcement_timeout =
                         settings_.announce_interval * kMaxMissedAnnouncements},
                    sender_.Queue(), crashes_),
        directory_(
            {.member = settings_.name, .data_centre = settings_.data_centre},
            RandomSeed()),
        budget_({.ratio = settings_.retry_ratio,
                 .window = settings_.retry_window,
                 .allowance = settings_.retry_allowance}),
        peers_(io,
               {.max_connections = kMaxPeerConnections,
                .max_wait = kPeerConnectTimeout,
                .connect_timeout = kPeerConnectTimeout,
                .dead_peer_timeout = kPeerSilenceTimeout,
                .max_head_bytes = kMaxResponseHeadBytes + kMeshHeadAllowance,
                .echo_field = platform.fields.attempt_id,
                .connect_error = error_kind::kPeerUnreachable,
                .disconnect_error = error_kind::kPeerUnreachable}),
        active_config_(platform.config_name, platform.decode_config,
                       [this](std::shared_ptr<route_table> table) {
                         OnConfigActivated(std::move(table));
                       }),
        // The time that max_age leaves is for a call that gets no answer, its
        // repetition and the transfer.
        config_reader_(
            io, *platform.store, active_config_,
            {.is_designated = [this] { return IsDesignatedConfigReader(); },
             .watch_wait = settings_.max_config_delay / 4,
             .ask_peer =
                 [this](std::size_t earlier_asks) {
                   AskForConfig(earlier_asks);
                 },
             .is_fetching = [this] { return config_sync_.IsFetching(); },
             .ask_age = settings_.max_config_delay * 7 / 20,
             .max_age = settings_.max_config_delay * 2 / 5,
             .on_restored = [this] { OnStoreRestored(); },
             .pause_after_change = settings_.max_config_delay / 4},
            RandomSeed()),
        config_sync_(
            io, peers_, active_config_, config_reader_,
            {.attempt_id_field = platform.fields.attempt_id,
             .min_fetch_interval = settings_.max_config_delay / 8,
             .silence_timeout = settings_.max_config_delay / 4,
             .max_config_delay = settings_.max_config_delay,
             .bytes_per_second = PacedBytesPerSecond(settings_.link_mbps),
             .max_link_wait = settings_.max_config_delay / 8}),
        router_(io,
                {.fields = platform.fields,
                 .member = settings_.name,
                 .caller_service = settings_.server_service,
                 .data_centre = settings_.data_centre},
                dispatcher_, sender_, directory_, budget_, peers_, config_sync_,
                crashes_, metrics_, RandomSeed()),
        mesh_endpoint_(dispatcher_, sender_, config_sync_, crashes_,
                       platform.fields),
        turns_(std::make_shared<write_turns>(
            PacedBytesPerSecond(settings_.link_mbps))),
        caller_listener_(io,
                         {.address = settings_.caller_address, .turns = turns_},
                         router_),
        // The daemon that took a request has held it to the limit in force
        // there, which may be another one than here while it changes.
        daemon_listener_(
            io,
            {.address = settings_.forward_address,
             .max_header_bytes = kMaxRequestHeadBytes + kMeshHeadAllowance,
             .turns = turns_},
            mesh_endpoint_),
        publisher_(
            io, *platform.store,
            {.start_delay = kFirstRecordDelay,
             .on_earlier_record =
                 [this](const std::string& spec) { OnEarlierRecord(spec); },
             .on_first_write = [this] { dispatcher_.OnDeparturesKnown(); }},
            RandomSeed()),
        rollouts_(MakeRollouts(io, platform)),
        member_observer_(settings_.name, directory_, budget_, publisher_,
                         crashes_, rollouts_.get()),
        member_watch_(io, *platform.store, member_observer_,
                      {.collection = store_collection::kMembers,
                       // A stale record costs only a refused offer.
                       .consistency = read_consistency::kMayBeStale,
                       .wait = kMemberWatchWait,
                       .pause_after_change = MemberWatchPause(0)},
                      RandomSeed()),
        tick_timer_(io),
        stop_timer_(io) {
    dispatcher_.SetServerObserver([this] { OnServerChanged(); });
    crashes_.SetObserver([this] { crashes_changed_ = true; });
    mesh_endpoint_.SetDirectory(&directory_);
    if (settings_.quotas) {
      quotas_ = std::make_unique<quota_exchange>(
          peers_, directory_, metrics_,
          quota_exchange_options{
              .member = settings_.name,
              .incarnation = incarnation_,
              .attempt_id_field = platform.fields.attempt_id});
      router_.SetQuotas(quotas_.get());
      mesh_endpoint_.SetQuotas(quotas_.get());
    }
    if (!rollouts_) return;
    router_.SetRollouts(rollouts_.get());
    mesh_endpoint_.SetRollouts(rollouts_.get());
    dispatcher_.SetPermission([this](const offered_server& server) {
      return rollouts_->MayRun(server);
    });
    dispatcher_.SetResponseObserver([this](const std::string& route,
                                           bool failed,
                                           std::optional<duration> run_time) {
      rollouts_->OnOwnResponse(route, failed, run_time);
    });
  }

  result<void> Start() {
    if (auto status = caller_listener_.Listen(); !status) return status;
    if (auto status = daemon_listener_.Listen(); !status) return status;
    settings_.caller_address = caller_listener_.Address();
    settings_.forward_address = daemon_listener_.Address();
    if (settings_.advertised_address.empty()) {
      settings_.advertised_address = settings_.forward_address;
    }
    config_sync_.SetAddress(settings_.advertised_address);
    log_event(log_level::kInfo, "sidecar_started")
        .With("member", settings_.name)
        .With("data_centre", settings_.data_centre)
        .With("incarnation", incarnation_)
        .With("caller", settings_.caller_address)
        .With("forward", settings_.forward_address)
        .With("backend_server", settings_.server_address);
    OnServerChanged();
    config_reader_.Start();
    member_watch_.Start();
    ScheduleTick();
    return {};
  }

  void Reload(const sidecar_settings& settings) {
    settings_.server_address = settings.server_address;
    settings_.server_service = settings.server_service;
    dispatcher_.SetServer(settings.server_address, settings.server_service);
    router_.SetCallerService(settings.server_service);
    log_event(log_level::kInfo, "settings_reloaded")
        .With("backend_server", settings.server_address)
        .With("service", settings.server_service);
  }

  bool IsReady() const { return router_.Table() != nullptr && !stopping_; }

  void Stop(std::function<void()> done) {
    if (stopping_) return;
    stopping_ = true;
    on_stopped_ = std::move(done);
    const auto now = MonotonicNow();
    stop_deadline_ = now + TimeUntilEnd(settings_.stop_grace);
    const auto undisturbed = std::chrono::duration_cast<duration>(
        kUndisturbedGrace * settings_.stop_grace);
    request_deadline_ =
        std::min(std::max(stop_deadline_ - kStopAnswerTime, now + undisturbed),
                 stop_deadline_);
    write_deadline_ =
        std::max(stop_deadline_, now + settings_.stop_grace - kMinExitMargin);
    break_off_at_ = std::min(now + undisturbed, request_deadline_);
    turns_->SetEnd(write_deadline_);
    log_event(log_level::kInfo, "sidecar_stopping")
        .With("member", settings_.name)
        .With("caller_connections",
              static_cast<std::uint64_t>(caller_listener_.OpenConnections()));
    router_.LimitToStop(
        {.break_off_at = break_off_at_,
         .deadline = request_deadline_,
         .respond_at =
             std::max(stop_deadline_ - kStopResponseTime, request_deadline_)});
    dispatcher_.LimitDeadlines(request_deadline_, write_deadline_);
    sender_.LimitDeadlines(request_deadline_);
    caller_listener_.CloseAfterResponses();
    // Tells other daemons while requests in transit can still run.
    leaving_ = true;
    OnServerChanged();
    RunAt(now + kReadinessLossTime, [this] { CloseListeners(); });
  }

  announcement_outcome OnAnnounced(server_announcement announcement) {
    // Records without roll-outs stay as they are in daemons of older versions.
    if (!settings_.rollouts) announcement.version.clear();
    return dispatcher_.OnAnnounced(announcement, MonotonicNow());
  }

  bool OnWithdrawn(const std::string& instance) {
    return dispatcher_.OnWithdrawn(instance, MonotonicNow());
  }

  void AwaitDepartureStored(std::function<void(bool)> done) {
    publisher_.AwaitStored(MonotonicNow() + kMaxDepartureWait, std::move(done));
  }

  std::string RenderMetrics() {
    const auto& confirmation = config_reader_.Confirmation();
    if (confirmation.revision.IsKnown()) {
      metrics_.SetConfirmationAge(MonotonicNow() - confirmation.at);
    }
    metrics_.SetCrashRequests(crashes_.RequestCount(), crashes_.CulpritCount());
    metrics_.SetOldestQueuedAnswer(sender_.OldestWait(MonotonicNow()));
    return metrics_.Render();
  }

  const std::string& CallerAddress() const { return settings_.caller_address; }

 private:
  // Far above what one daemon needs; the dispatcher of the other daemon limits
  // the load.
  static constexpr std::size_t kMaxPeerConnections = 200;

  std::unique_ptr<rollout_coordinator> MakeRollouts(
      boost::asio::io_context& io, const sidecar_platform& platform) {
    if (!settings_.rollouts || platform.rollouts == nullptr) return nullptr;
    return std::make_unique<rollout_coordinator>(
        io, *platform.store, *platform.rollouts, peers_, directory_, metrics_,
        rollout_coordinator_options{
            .bounds = *settings_.rollouts,
            .member = settings_.name,
            .attempt_id_field = platform.fields.attempt_id,
            .is_designated_reader =
                [this] { return IsDesignatedConfigReader(); },
            .on_own_server_changed = [this] { OnRolloutChanged(); }},
        RandomSeed());
  }

  void OnRolloutChanged() {
    const auto server = dispatcher_.OfferedServer();
    if (server && !rollouts_->MayRun(*server))
      dispatcher_.RefuseWaiting("the roll-out leaves the version out");
    OnServerChanged();
  }

  // Returns the server unless an order that concerns it may be unknown.
  std::optional<offered_server> Cleared(
      std::optional<offered_server> server) const {
    if (rollouts_ && server && !rollouts_->IsCleared(*server))
      return std::nullopt;
    return server;
  }

  // One daemon of each data centre watches the configuration, so that the cost
  // of store reads does not grow with the number of daemons. The others fetch
  // newer versions from the daemons that they exchange requests with, most of
  // them in their own data centre.
  // Before the others know this daemon, each of them would do the same.
  bool IsDesignatedConfigReader() const {
    if (!publisher_.IsPublished() || !member_watch_.HasListed()) return false;
    const auto reader = directory_.FastestMember(MonotonicNow());
    return reader && reader->name == settings_.name;
  }

  // Asks the reader of the data centre first. After that, other members of this
  // data centre and of all take turns: the store may turn away a whole one.
  void AskForConfig(std::size_t earlier_asks) {
    const auto now = MonotonicNow();
    auto reader = directory_.FastestMember(now);
    if (reader && reader->name == settings_.name) reader = std::nullopt;
    const auto is_other = [&](const mesh_member& member) {
      return member.name != settings_.name &&
             (!reader || member.name != reader->name);
    };
    std::optional<mesh_member> peer;
    if (earlier_asks == 0) {
      peer = reader;
    } else if (earlier_asks % 2 == 1) {
      peer = directory_.RandomMember(now, [&](const mesh_member& member) {
        return is_other(member) && member.data_centre == settings_.data_centre;
      });
    }
    if (!peer) peer = directory_.RandomMember(now, is_other);
    // With two daemons, the reader is the only other one.
    if (!peer) peer = reader;
    if (peer) config_sync_.Ask(peer->address);
  }

  void OnStoreRestored() {
    const bool noticed =
        member_watch_.Era() == config_reader_.Confirmation().revision.era;
    if (!noticed) member_watch_.Refresh();
  }

  void OnConfigActivated(std::shared_ptr<route_table> table) {
    metrics_.SetVersion(table->Version());
    const auto& limits = table->Config().limits;
    caller_listener_.SetLimits({.idle_timeout = limits.idle_timeout,
                                .header_timeout = limits.header_timeout,
                                .max_header_bytes = HeaderLimit(*table)});
    if (quotas_) quotas_->SetTenants(table->Config().tenants);
    router_.SetTable(std::move(table));
  }

  static std::size_t HeaderLimit(const route_table& table) {
    const auto limit = table.Config().limits.max_header_bytes;
    if (limit > kMaxRequestHeadBytes) {
      log_event(log_level::kWarning, "header_limit_cut")
          .With("version", table.Version())
          .With("configured", static_cast<std::uint64_t>(limit))
          .With("in_force", static_cast<std::uint64_t>(kMaxRequestHeadBytes));
    }
    return std::min(limit, kMaxRequestHeadBytes);
  }

  // The departures that an earlier process of this daemon acknowledged bind
  // this one as well, and the crashes that it saw count.
  void OnEarlierRecord(const std::string& spec) {
    const auto record = DecodeMember(settings_.name, spec);
    if (!record) {
      log_event(log_level::kWarning, "own_record_unreadable")
          .With("reason", record.error().message);
      return;
    }
    for (const auto& report : record->crashes)
      crashes_.OnCrash(report, UnixMillisNow());
    if (!record->departed.empty() || !record->crashes.empty()) {
      log_event(log_level::kInfo, "state_restored")
          .With("departures",
                static_cast<std::uint64_t>(record->departed.size()))
          .With("crashes", static_cast<std::uint64_t>(record->crashes.size()));
    }
    dispatcher_.AddDepartures(record->departed);
    PublishChangedCrashes();
  }

  // Changes are collected for up to a second: requests that complete after
  // crashes are many.
  void PublishChangedCrashes() {
    if (crashes_changed_) OnServerChanged();
  }

  void OnServerChanged() {
    // Published before departures are known: the write fails if another process
    // has stored one.
    if (rollouts_) rollouts_->OnOwnServer(dispatcher_.Server().ServingServer());
    const auto offer =
        leaving_ ? std::nullopt : Cleared(dispatcher_.Server().ServingServer());
    mesh_member member{.name = settings_.name,
                       .data_centre = settings_.data_centre,
                       .address = settings_.advertised_address,
                       .link_mbps = settings_.link_mbps,
                       .incarnation = incarnation_,
                       .sequence = published_member_.sequence,
                       .server = offer,
                       .departed = dispatcher_.Server().Departures(),
                       .crashes = crashes_.OwnReports(),
                       .cleared = crashes_.ClearedRequests(),
                       .rollout = rollouts_ && offer
                                      ? rollouts_->OrderOf(*offer)
                                      : std::nullopt};
    crashes_changed_ = false;
    if (member != published_member_) ++member.sequence;
    published_member_ = member;
    // Requests of this VM may use the local backend server until the dispatcher
    // stops accepting requests.
    auto local_member = published_member_;
    local_member.server = Cleared(dispatcher_.OfferedServer());
    directory_.Put(local_member, MonotonicNow());
    publisher_.Publish(published_member_);
  }

  void ScheduleTick() {
    tick_timer_.expires_after(kTickInterval);
    tick_timer_.async_wait([this](boost::system::error_code cancelled) {
      if (cancelled) return;
      const auto now = MonotonicNow();
      CheckSuspension();
      if (!dispatcher_.IsIdle()) dispatcher_.Tick(now);
      publisher_.Tick(now);
      if (rollouts_) rollouts_->Tick(now);
      if (quotas_) quotas_->Tick(now);
      if (++ticks_ % kTicksPerSweep == 0) Sweep(now);
      FlushStdoutLog();
      ScheduleTick();
    });
  }

  // What is confirmed by time has to be confirmed again after a suspension.
  void CheckSuspension() {
    const auto total = TotalSuspendedTime();
    const auto suspended = total - std::exchange(suspended_time_, total);
    if (suspended < kMinSuspension) return;
    log_event(log_level::kWarning, "machine_suspended")
        .With("ms", static_cast<std::uint64_t>(ToMillis(suspended)));
    config_reader_.OnSuspended(suspended);
  }

  void Sweep(instant now) {
    caller_listener_.Sweep(now);
    daemon_listener_.Sweep(now);
    peers_.Sweep(now);
    dispatcher_.Sweep(now);
    crashes_.Expire(UnixMillisNow());
    PublishChangedCrashes();
    member_watch_.SetPauseAfterChange(MemberWatchPause(directory_.Size()));
  }

  template <typename Function>
  void RunAt(instant time, Function next) {
    stop_timer_.expires_at(time);
    stop_timer_.async_wait([next](boost::system::error_code cancelled) {
      if (!cancelled) next();
    });
  }

  void CloseListeners() {
    router_.StopAccepting();
    dispatcher_.StopAccepting();
    caller_listener_.StartTurns();
    caller_listener_.Stop([this] { OnListenerStopped(); });
    daemon_listener_.Stop([this] { OnListenerStopped(); });
    RunAt(break_off_at_, [this] {
      router_.EndDelayingRequests();
      RunAt(request_deadline_, [this] { SendQueuedAnswers(); });
    });
  }

  // Bytes that were handed to the kernel are sent even after the process ends.
  // Of an answer above the size of the send buffer, the rest may be cut.
  // Until now, the queue has paced the answers to other daemons.
  void SendQueuedAnswers() {
    daemon_listener_.StartTurns();
    sender_.SendAll();
    router_.EndDelayingRequests();
    RunAt(stop_deadline_, [this] { EndRequests(); });
  }

  // What has no response yet gets one here at the latest, also if the timers of
  // the requests were late.
  void EndRequests() {
    router_.EndUnansweredRequests();
    RunAt(MonotonicNow() + kWriteCheckInterval, [this] { AwaitWrites(); });
  }

  // Bytes that the kernel holds may be lost when the process ends.
  void AwaitWrites() {
    router_.EndUnansweredRequests();
    const bool sending =
        caller_listener_.IsSending() || daemon_listener_.IsSending();
    if (!sending || MonotonicNow() >= write_deadline_) {
      OnStopped("time");
      return;
    }
    RunAt(MonotonicNow() + kWriteCheckInterval, [this] { AwaitWrites(); });
  }

  void OnListenerStopped() {
    constexpr int kListeners = 2;
    if (++stopped_listeners_ == kListeners) OnStopped("idle");
  }

  void OnStopped(const char* reason) {
    if (!on_stopped_) return;
    router_.LogUnanswered();
    config_sync_.Stop();
    config_reader_.Stop();
    member_watch_.Stop();
    if (rollouts_) rollouts_->Stop();
    if (quotas_) quotas_->Stop();
    publisher_.Stop();
    sender_.Stop();
    tick_timer_.cancel();
    stop_timer_.cancel();
    log_event(log_level::kInfo, "sidecar_stopped")
        .With("member", settings_.name)
        .With("reason", reason)
        .With("caller_connections",
              static_cast<std::uint64_t>(caller_listener_.OpenConnections()));
    FlushStdoutLog();
    std::exchange(on_stopped_, nullptr)();
  }

  sidecar_settings settings_;
  const std::uint64_t incarnation_;
  sidecar_metrics metrics_;
  answer_sender sender_;
  crash_history crashes_;
  bool crashes_changed_ = false;  // Since the last record.
  local_dispatcher dispatcher_;
  server_directory directory_;
  retry_budget budget_;
  connection_pool peers_;
  active_config active_config_;
  config_reader config_reader_;
  peer_config_sync config_sync_;
  request_router router_;
  mesh_endpoint mesh_endpoint_;
  // Both listeners write over the same link.
  const std::shared_ptr<write_turns> turns_;
  call_server caller_listener_;
  call_server daemon_listener_;
  mesh_member published_member_;
  member_publisher publisher_;
  std::unique_ptr<rollout_coordinator> rollouts_;  // Null without roll-outs.
  std::unique_ptr<quota_exchange> quotas_;         // Null without quotas.
  member_observer member_observer_;
  collection_watch member_watch_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer stop_timer_;
  std::int64_t ticks_ = 0;
  duration suspended_time_ = TotalSuspendedTime();
  bool stopping_ = false;
  bool leaving_ = false;
  instant break_off_at_;      // From then on requests may be broken off.
  instant stop_deadline_;     // When all requests have a response.
  instant write_deadline_;    // When all connections close.
  instant request_deadline_;  // Latest deadline of requests while stopping.
  int stopped_listeners_ = 0;
  std::function<void()> on_stopped_;
};

sidecar::sidecar(boost::asio::io_context& io, sidecar_settings settings,
                 const sidecar_platform& platform)
    : impl_(std::make_unique<impl>(io, std::move(settings), platform)) {}

sidecar::~sidecar() = default;

result<void> sidecar::Start() { return impl_->Start(); }

void sidecar::Reload(const sidecar_settings& settings) {
  impl_->Reload(settings);
}

void sidecar::Stop(std::function<void()> done) { impl_->Stop(std::move(done)); }

bool sidecar::IsReady() const { return impl_->IsReady(); }

announcement_outcome sidecar::OnAnnounced(
    const server_announcement& announcement) {
  return impl_->OnAnnounced(announcement);
}

bool sidecar::OnWithdrawn(const std::string& instance) {
  return impl_->OnWithdrawn(instance);
}

void sidecar::AwaitDepartureStored(std::function<void(bool)> done) {
  impl_->AwaitDepartureStored(std::move(done));
}

const std::string& sidecar::CallerAddress() const {
  return impl_->CallerAddress();
}

std::string sidecar::RenderMetrics() { return impl_->RenderMetrics(); }

}  // namespace pomelohall
