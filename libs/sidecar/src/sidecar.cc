#include "sidecar/sidecar.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <random>
#include <utility>

#include "answer_sender.h"
#include "backend/connection_pool.h"
#include "caller/call_server.h"
#include "collection_watch.h"
#include "config_exchange.h"
#include "config_holder.h"
#include "logging/log_event.h"
#include "member_list.h"
#include "member_publisher.h"
#include "mesh/retry_budget.h"
#include "mesh/server_directory.h"
#include "mesh_endpoint.h"
#include "request_router.h"
#include "server_gate.h"
#include "sidecar_metrics.h"

namespace pomelohall {
namespace {

// Resolution of what waits for time at the gate; well below the shortest
// latency targets of a few hundred milliseconds.
constexpr duration kTickInterval = std::chrono::milliseconds(50);
// Idle connections and silence of the backend server are checked this often.
constexpr std::int64_t kTicksPerSweep = 20;
// Readiness is checked once a second, and callers turn away after two misses.
constexpr duration kTurnAwayTime = std::chrono::milliseconds(2200);
// Kept of the stop grace for the end of the process itself.
constexpr duration kExitMargin = std::chrono::milliseconds(400);
// A connection between daemons opens within milliseconds or not at all.
constexpr duration kPeerConnectTimeout = std::chrono::milliseconds(300);
// Bytes between daemons are acknowledged within milliseconds; this leaves room
// for two lost packets in a row.
constexpr duration kPeerSilenceTimeout = std::chrono::milliseconds(1000);
constexpr duration kMemberWatchWait = std::chrono::seconds(10);
// Records that change together, as after a start of many daemons, cost one
// call.
constexpr duration kMemberWatchPause = std::chrono::milliseconds(500);
// Daemons that read the latest configuration; one may be cut off from the
// store.
constexpr std::size_t kReaders = 2;
// Announcements that a backend server may miss until it counts as gone; they
// arrive seconds late at times.
constexpr std::int64_t kMissedAnnouncements = 6;

// Part of the link for answers; the rest is for requests, acknowledgements and
// the headers of packets.
constexpr double kPacedLinkShare = 0.8;

double PacedBytesPerSecond(double link_mbps) {
  constexpr double kBytesPerMegabit = 125'000;
  return kPacedLinkShare * link_mbps * kBytesPerMegabit;
}

std::uint64_t RandomSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

std::uint64_t UnixMillis() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

class sidecar::impl {
 public:
  impl(boost::asio::io_context& io, sidecar_settings settings,
       const sidecar_platform& platform)
      : settings_(std::move(settings)),
        incarnation_(UnixMillis()),
        sender_(io,
                {.bytes_per_second = PacedBytesPerSecond(settings_.link_mbps)}),
        gate_(io,
              {.fields = platform.fields,
               .server_address = settings_.server_address,
               // Half of the time is left to those that are on their way.
               .leaving_grace = settings_.drain_time / 2,
               .announcement_timeout =
                   settings_.announce_interval * kMissedAnnouncements},
              sender_.Queue()),
        directory_(
            {.member = settings_.name, .data_centre = settings_.data_centre},
            RandomSeed()),
        budget_({.ratio = settings_.retry_ratio,
                 .window = settings_.retry_window,
                 .allowance = settings_.retry_allowance}),
        peers_(io, {.max_connections = kMaxPeerConnections,
                    .connect_timeout = kPeerConnectTimeout,
                    .silence_timeout = kPeerSilenceTimeout,
                    .echo_field = platform.fields.attempt_id,
                    .connect_error = error_kind::kPeerUnreachable,
                    .lost_error = error_kind::kPeerUnreachable}),
        config_(platform.config_name, platform.decode_config,
                [this](std::shared_ptr<route_table> table) {
                  OnTable(std::move(table));
                }),
        config_watch_(io, *platform.store, config_,
                      {.collection = store_collection::kConfiguration,
                       .mode = [this] { return ConfigMode(); },
                       .pause_after_change = settings_.apply_time / 4,
                       .list_after_change = true},
                      RandomSeed()),
        configs_(io, peers_, config_, config_watch_,
                 {.attempt_id = platform.fields.attempt_id,
                  .pause = settings_.apply_time / 8,
                  .timeout = settings_.apply_time / 4}),
        router_(io,
                {.fields = platform.fields,
                 .member = settings_.name,
                 .caller_service = settings_.server_service},
                gate_, sender_, directory_, budget_, peers_, configs_, metrics_,
                RandomSeed()),
        endpoint_(gate_, sender_, configs_, platform.fields),
        callers_(io, {.address = settings_.caller_address}, router_),
        daemons_(io, {.address = settings_.forward_address}, endpoint_),
        publisher_(io, *platform.store, RandomSeed()),
        members_(settings_.name, directory_, budget_, publisher_),
        member_watch_(io, *platform.store, members_,
                      {.collection = store_collection::kMembers,
                       .mode =
                           [] {
                             // A stale record costs an offer that is refused.
                             return watch_mode{
                                 .freshness = read_freshness::kMayBeStale,
                                 .wait = kMemberWatchWait};
                           },
                       .pause_after_change = kMemberWatchPause},
                      RandomSeed()),
        tick_timer_(io),
        stop_timer_(io) {
    gate_.SetOfferObserver([this] { OnOfferChanged(); });
  }

  result<void> Start() {
    if (auto listening = callers_.Listen(); !listening) return listening;
    if (auto listening = daemons_.Listen(); !listening) return listening;
    settings_.caller_address = callers_.Address();
    settings_.forward_address = daemons_.Address();
    if (settings_.advertised_address.empty()) {
      settings_.advertised_address = settings_.forward_address;
    }
    configs_.SetAddress(settings_.advertised_address);
    log_event(log_level::kInfo, "sidecar_started")
        .With("member", settings_.name)
        .With("data_centre", settings_.data_centre)
        .With("incarnation", incarnation_)
        .With("caller", settings_.caller_address)
        .With("forward", settings_.forward_address)
        .With("backend_server", settings_.server_address);
    OnOfferChanged();
    config_watch_.Start();
    member_watch_.Start();
    ScheduleTick();
    return {};
  }

  void Reload(const sidecar_settings& settings) {
    settings_.server_address = settings.server_address;
    settings_.server_service = settings.server_service;
    gate_.SetServerAddress(settings.server_address);
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
    kill_at_ = MonotonicNow() + settings_.stop_grace - kExitMargin;
    log_event(log_level::kInfo, "sidecar_stopping")
        .With("member", settings_.name)
        .With("caller_connections",
              static_cast<std::uint64_t>(callers_.OpenConnections()));
    callers_.CloseAfterAnswers();
    // Other daemons learn of it while the requests that are on their way still
    // run.
    leaving_ = true;
    OnOfferChanged();
    After(kTurnAwayTime, [this] { CloseListeners(); });
  }

  bool OnAnnounced(const server_announcement& announcement) {
    return gate_.OnAnnounced(announcement, MonotonicNow());
  }

  bool OnWithdrawn(const std::string& instance) {
    return gate_.OnWithdrawn(instance, MonotonicNow());
  }

  std::string RenderMetrics() { return metrics_.Render(); }

  const std::string& CallerAddress() const { return settings_.caller_address; }

 private:
  // Far above what one daemon needs to another; the gate there is the bound.
  static constexpr std::size_t kMaxPeerConnections = 200;

  // A few daemons read the latest configuration, so that what the store charges
  // does not grow with the fleet. The others accept data that may be stale, and
  // fetch what is newer from the daemons that they exchange requests with.
  watch_mode ConfigMode() const {
    const bool reads_latest = directory_.Rank(settings_.name) < kReaders;
    // A watch whose connection fell silent is noticed within the contact time.
    return {.freshness = reads_latest ? read_freshness::kLatest
                                      : read_freshness::kMayBeStale,
            .wait = settings_.contact_time * 3 / 4};
  }

  void OnTable(std::shared_ptr<route_table> table) {
    metrics_.SetVersion(table->Version());
    const auto& limits = table->Config().limits;
    callers_.SetLimits({.idle_timeout = limits.idle_timeout,
                        .header_timeout = limits.header_timeout,
                        .max_header_bytes = limits.max_header_bytes});
    router_.SetTable(std::move(table));
  }

  void OnOfferChanged() {
    const auto offer = leaving_ ? std::nullopt : gate_.Offer();
    const mesh_member self{.name = settings_.name,
                           .data_centre = settings_.data_centre,
                           .address = settings_.advertised_address,
                           .incarnation = incarnation_,
                           .server = offer};
    // Requests of this VM may use the own backend server until the end.
    auto own = self;
    own.server = gate_.Offer();
    directory_.Put(own, MonotonicNow());
    budget_.SetDaemons(directory_.Size());
    publisher_.Publish(self);
    const auto& announced = gate_.Server().Announced();
    if (announced) router_.SetCallerService(announced->service);
  }

  void ScheduleTick() {
    tick_timer_.expires_after(kTickInterval);
    tick_timer_.async_wait([this](boost::system::error_code cancelled) {
      if (cancelled) return;
      const auto now = MonotonicNow();
      if (!gate_.Idle()) gate_.Tick(now);
      if (++ticks_ % kTicksPerSweep == 0) Sweep(now);
      FlushStdoutLog();
      ScheduleTick();
    });
  }

  void Sweep(instant now) {
    callers_.Sweep(now);
    daemons_.Sweep(now);
    peers_.Sweep(now);
    gate_.Sweep(now);
  }

  template <typename Function>
  void After(duration pause, Function next) {
    stop_timer_.expires_after(pause);
    stop_timer_.async_wait([next](boost::system::error_code cancelled) {
      if (!cancelled) next();
    });
  }

  void CloseListeners() {
    gate_.StopAccepting();
    callers_.Stop([this] { OnServerStopped(); });
    daemons_.Stop([this] { OnServerStopped(); });
    After(std::max(kill_at_ - MonotonicNow(), duration(0)),
          [this] { OnStopped("time"); });
  }

  void OnServerStopped() {
    constexpr int kServers = 2;
    if (++stopped_servers_ == kServers) OnStopped("idle");
  }

  void OnStopped(const char* reason) {
    configs_.Stop();
    config_watch_.Stop();
    member_watch_.Stop();
    publisher_.Stop();
    sender_.Stop();
    tick_timer_.cancel();
    stop_timer_.cancel();
    log_event(log_level::kInfo, "sidecar_stopped")
        .With("member", settings_.name)
        .With("reason", reason)
        .With("caller_connections",
              static_cast<std::uint64_t>(callers_.OpenConnections()));
    FlushStdoutLog();
    if (const auto done = std::exchange(on_stopped_, nullptr)) done();
  }

  sidecar_settings settings_;
  const std::uint64_t incarnation_;
  sidecar_metrics metrics_;
  answer_sender sender_;
  server_gate gate_;
  server_directory directory_;
  retry_budget budget_;
  connection_pool peers_;
  config_holder config_;
  collection_watch config_watch_;
  config_exchange configs_;
  request_router router_;
  mesh_endpoint endpoint_;
  call_server callers_;
  call_server daemons_;
  member_publisher publisher_;
  member_list members_;
  collection_watch member_watch_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer stop_timer_;
  std::int64_t ticks_ = 0;
  bool stopping_ = false;
  bool leaving_ = false;
  instant kill_at_;
  int stopped_servers_ = 0;
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

bool sidecar::OnAnnounced(const server_announcement& announcement) {
  return impl_->OnAnnounced(announcement);
}

bool sidecar::OnWithdrawn(const std::string& instance) {
  return impl_->OnWithdrawn(instance);
}

const std::string& sidecar::CallerAddress() const {
  return impl_->CallerAddress();
}

std::string sidecar::RenderMetrics() { return impl_->RenderMetrics(); }

}  // namespace pomelohall
