#include "daemon/daemon.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "caller/call_service.h"
#include "daemon/backend_lease.h"
#include "daemon/control_actor.h"
#include "daemon/platform_gateway.h"
#include "daemon_metrics.h"
#include "daemon_status.h"
#include "local_api.h"
#include "logging/log_event.h"
#include "messages/message.h"
#include "operators/data_centre_status.h"
#include "peer/transport.h"
#include "platform/http_object_store.h"
#include "slo_reporter.h"

namespace pomelohall {
namespace {

constexpr std::chrono::milliseconds kLeaseCheckInterval(200);
constexpr std::chrono::seconds kSloTickInterval(1);
constexpr std::chrono::seconds kStatusRefreshInterval(2);
constexpr std::uint32_t kHeadWatchTimeoutMs = 30'000;
// Allows the last frames, which announce that this member left, to be sent.
constexpr std::uint32_t kTransportStopTimeoutMs = 500;
// Parts of the stop grace period that are left when a step of a stop ends.
// When all calls have ended: the writes of the SLO windows to the platform take
// some milliseconds each.
constexpr std::chrono::milliseconds kCallsEndMargin(1500);
// When the daemon begins to leave the cluster: kTransportStopTimeoutMs, and the
// requests of the local listener.
constexpr std::chrono::milliseconds kLeaveMargin(1000);
// When the process ends whatever is in progress: the exit takes some
// milliseconds, and some tens on a busy VM.
constexpr std::chrono::milliseconds kMinExitMargin(150);

std::int64_t UnixSeconds() {
  constexpr std::int64_t kMillisPerSecond = 1000;
  return UnixMillisNow() / kMillisPerSecond;
}

// Returns the configured address, or the bound one if none is configured.
std::string AdvertisedAddress(const std::string& setting,
                              const std::string& bound) {
  return setting.empty() ? bound : setting;
}

std::uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}  // namespace

class daemon::impl : private control_effects, private local_api_handler {
 public:
  impl(boost::asio::io_context& io, daemon_settings settings)
      : io_(io),
        settings_(std::move(settings)),
        incarnation_(static_cast<std::uint64_t>(UnixMillisNow())),
        store_(io, {.address = settings_.platform_address,
                    .name_space = settings_.platform_namespace}),
        gateway_(store_),
        local_api_(io, *this),
        slo_(settings_.name, settings_.data_centre, incarnation_, UnixSeconds(),
             gateway_,
             [this](const std::string& window) {
               control_->Post([window](control_core& core, instant) {
                 core.ReportSloWindow(window);
               });
             }),
        calls_(io, CallOptions()),
        lease_timer_(io),
        slo_timer_(io),
        stop_timer_(io) {}

  ~impl() override {
    transport_ready_ = false;
    if (transport_) transport_->Stop(0);
    if (control_) control_->Stop();
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  result<void> Start() {
    if (auto started = calls_.Start(); !started) return started;
    if (auto started = StartTransport(); !started) return started;
    control_ = std::make_unique<control_actor>(
        ControlOptions(), static_cast<control_effects&>(*this), RandomSeed());
    transport_ready_ = true;
    if (auto started = local_api_.Listen(settings_.listeners.local); !started) {
      return started;
    }
    ScheduleLeaseCheck();
    ScheduleSloTick();
    log_event(log_level::kInfo, "daemon_started")
        .With("member", settings_.name)
        .With("data_centre", settings_.data_centre)
        .With("incarnation", incarnation_)
        .With("caller", calls_.CallerAddress())
        .With("forward", calls_.ForwardAddress())
        .With("peer", transport_->LocalAddress())
        .With("local", local_api_.Address());
    return {};
  }

  void Stop(std::function<void()> done) {
    if (stopping_) return;
    stopping_ = true;
    on_stopped_ = std::move(done);
    log_event(log_level::kInfo, "daemon_stopping").With("member", Name());
    BoundStop(MonotonicNow() + settings_.stop_grace);
    if (lease_.Drain()) OnLeaseChanged();
    calls_.Stop([this] {
      slo_.SendOpenWindow();
      FlushSloWindows();
    });
  }

 private:
  const std::string& Name() const { return settings_.name; }

  call_service_options CallOptions() {
    call_service_options options;
    options.member = settings_.name;
    options.data_centre = settings_.data_centre;
    options.region = settings_.region;
    options.incarnation = incarnation_;
    options.seed = RandomSeed();
    options.caller_address = settings_.listeners.caller;
    options.forward_address = settings_.listeners.forward;
    options.backend = [this] { return Backend(); };
    options.find_member = [this](const std::string& member) {
      return FindMember(member);
    };
    options.on_suspect = [this](const suspect_event& event) {
      log_event(log_level::kWarning, "request_suspected")
          .With("service", event.service)
          .With("fingerprint", event.fingerprint)
          .With("state", SuspectStateName(event.state));
      control_->Post([event](control_core& core, instant now) {
        core.ReportSuspect(event, now);
      });
    };
    options.on_observation = [this](const call_observation& observation) {
      slo_.Record(observation);
      metrics_.Record(observation);
    };
    options.claims = &store_;
    options.stop_time =
        std::max<duration>(settings_.stop_grace - kCallsEndMargin, duration(0));
    return options;
  }

  control_options ControlOptions() const {
    control_options options;
    options.tick_interval = std::chrono::milliseconds(settings_.test.tick_ms);
    options.membership.cluster = settings_.cluster;
    options.membership.seeds = settings_.seeds;
    auto& self = options.membership.self;
    self.name = settings_.name;
    self.region = settings_.region;
    self.data_centre = settings_.data_centre;
    self.forward_address = AdvertisedAddress(settings_.advertised.forward,
                                             calls_.ForwardAddress());
    self.peer_address = AdvertisedAddress(settings_.advertised.peer,
                                          transport_->LocalAddress());
    self.incarnation = incarnation_;
    return options;
  }

  result<void> StartTransport() {
    transport_ =
        MakeWebsocketTransport({.listen_address = settings_.listeners.peer});
    for (const auto& address : settings_.test.blocked_peers) {
      transport_->SetBlocked(address, true);
    }
    return transport_->Start(
        [this](const std::string& from, const std::string& frame) {
          return OnFrame(from, frame);
        });
  }

  // Called on the transport's thread.
  bool OnFrame(const std::string& from, const std::string& frame) {
    auto message = DecodeEnvelope(frame);
    if (!message) {
      ++frames_refused_;
      log_event(log_level::kError, "frame_refused")
          .With("from", from)
          .With("reason", message.error().message);
      return false;
    }
    if (!transport_ready_) return true;
    auto shared = std::make_shared<envelope>(std::move(*message));
    control_->Post([from, shared](control_core& core, instant now) {
      core.OnMessage(from, *shared, now);
    });
    return true;
  }

  backend_view Backend() const {
    const auto& current = lease_.Current();
    if (!current) return {};
    return {.address = current->address,
            .service = current->service,
            .slots = current->slots,
            .state = current->state};
  }

  std::optional<member_address> FindMember(const std::string& member) const {
    if (!members_) return std::nullopt;
    const auto found = members_->find(member);
    if (found == members_->end()) return std::nullopt;
    return member_address{.forward_address = found->second.forward_address,
                          .incarnation = found->second.incarnation};
  }

  // Must be called after slo_reporter::SendOpenWindow(), which posts the window
  // to the control actor. The actor runs tasks in order: before this one, it
  // has sent the window to the other aggregators and, if this daemon is one
  // itself, posted it to the I/O thread, where it is handled before the flush.
  void FlushSloWindows() {
    control_->Post([this](control_core&, instant) {
      boost::asio::post(io_,
                        [this] { slo_.Flush([this] { LeaveCluster(); }); });
    });
  }

  void LeaveCluster() {
    control_->Post([this](control_core& core, instant now) {
      core.Leave(now);
      boost::asio::post(io_, [this] { Shutdown(); });
    });
  }

  void Shutdown() {
    lease_timer_.cancel();
    slo_timer_.cancel();
    transport_ready_ = false;
    transport_->Stop(kTransportStopTimeoutMs);
    local_api_.Stop([this] { OnStopped("idle"); });
  }

  // Goes on with the stop if one of its steps takes too long.
  void BoundStop(instant end) {
    RunAt(end - kLeaveMargin, [this, end] {
      slo_.EndFlush();
      RunAt(end - kMinExitMargin, [this] { OnStopped("time"); });
    });
  }

  template <typename Function>
  void RunAt(instant time, Function next) {
    stop_timer_.expires_at(time);
    stop_timer_.async_wait([next](boost::system::error_code cancelled) {
      if (!cancelled) next();
    });
  }

  void OnStopped(const char* reason) {
    if (!on_stopped_) return;
    stop_timer_.cancel();
    control_->Stop();
    log_event(log_level::kInfo, "daemon_stopped")
        .With("member", Name())
        .With("reason", reason);
    std::exchange(on_stopped_, nullptr)();
  }

  // Timers and backend server -----------------------------------------------

  void ScheduleLeaseCheck() {
    lease_timer_.expires_after(kLeaseCheckInterval);
    lease_timer_.async_wait([this](boost::system::error_code failure) {
      if (failure) return;
      lease_.Tick(MonotonicNow());
      OnLeaseChanged();
      ScheduleLeaseCheck();
    });
  }

  void ScheduleSloTick() {
    slo_timer_.expires_after(kSloTickInterval);
    slo_timer_.async_wait([this](boost::system::error_code failure) {
      if (failure) return;
      slo_.Tick(UnixSeconds());
      control_->Post([this](control_core& core, instant) {
        boost::asio::post(io_, [this, members = core.Records(),
                                aggregator = core.IsAggregator(),
                                first = core.IsFirstAggregator()] {
          slo_.OnMembers(members, aggregator, UnixSeconds());
          if (!first) last_summary_.reset();
          RefreshStatus();
        });
      });
      ScheduleSloTick();
    });
  }

  void OnLeaseChanged() {
    const backend_record record = lease_.Record();
    if (record == published_backend_) return;
    published_backend_ = record;
    calls_.OnBackendChanged();
    control_->Post([record](control_core& core, instant now) {
      core.SetBackend(record, now);
    });
  }

  result<void> OnAnnounce(backend_announcement announcement) override {
    auto leased = lease_.Announce(std::move(announcement), MonotonicNow());
    if (leased && stopping_) static_cast<void>(lease_.Drain());
    OnLeaseChanged();
    return leased;
  }

  void OnWithdraw() override {
    lease_.Withdraw();
    OnLeaseChanged();
  }

  result<void> OnDrain() override {
    auto drained = lease_.Drain();
    OnLeaseChanged();
    return drained;
  }

  // Local API ---------------------------------------------------------------

  bool IsReady() const override { return version_in_force_ > 0 && !stopping_; }

  void GetStatus(text_callback done) override {
    control_->Post(
        [this, done = std::move(done)](control_core& core, instant now) {
          const control_status status = core.Status(now);
          boost::asio::post(io_, [this, status, done] {
            done(FormatDaemonStatus(Status(status)));
          });
        });
  }

  daemon_status Status(const control_status& control) const {
    return {.member = settings_.name,
            .data_centre = settings_.data_centre,
            .incarnation = incarnation_,
            .version_in_force = version_in_force_,
            .in_force_since_unix_ms = in_force_since_ms_,
            .backend = lease_.Record().state,
            .backend_servers = routed_server_counts_,
            .control = control,
            .calls = calls_.Status(),
            .transport = transport_->Counters()};
  }

  void GetMetrics(text_callback done) override {
    control_->Post(
        [this, done = std::move(done)](control_core& core, instant now) {
          boost::asio::post(io_, [this, status = core.Status(now), done] {
            done(metrics_.Render(calls_.Status(), status,
                                 transport_->Counters(), frames_refused_));
          });
        });
  }

  // control_effects: overrides are called on the control actor's thread -----

  void SendFrame(const std::string& address, std::string frame) override {
    transport_->Send(address, std::move(frame));
  }

  void ReadHead(head_source source) override {
    boost::asio::post(io_, [this, source] {
      const instant started = MonotonicNow();
      auto done = [this, source, started](const result<config_head>& head) {
        control_->Post(
            [source, started, head](control_core& core, instant now) {
              core.OnHead(source, head, started, now);
            });
      };
      if (source == head_source::kRead) return gateway_.ReadHead(done);
      gateway_.WaitForHead(kHeadWatchTimeoutMs, done);
    });
  }

  void ReadSections(const config_head& head,
                    const std::vector<std::size_t>& indexes) override {
    boost::asio::post(io_, [this, head, indexes] {
      std::vector<std::string> digests;
      digests.reserve(indexes.size());
      for (const auto index : indexes) {
        digests.push_back(head.sections[index].digest);
      }
      gateway_.ReadSections(
          digests, [this, head, indexes](
                       const result<platform_gateway::section_map>& found) {
            OnSectionsRead(head, indexes, found);
          });
    });
  }

  void OnSectionsRead(const config_head& head,
                      const std::vector<std::size_t>& indexes,
                      const result<platform_gateway::section_map>& found) {
    result<std::vector<config_delta::item>> items;
    if (found) {
      for (const auto index : indexes) {
        items->push_back(
            {.index = index, .bytes = found->at(head.sections[index].digest)});
      }
    } else {
      items = tl::unexpected(found.error());
    }
    control_->Post(
        [version = head.version, items](control_core& core, instant now) {
          core.OnSections(version, items, now);
        });
  }

  void WriteStatus(const in_force_summary& status) override {
    boost::asio::post(io_, [this, status] {
      last_summary_ = status;
      WriteDataCentreStatus(status);
    });
  }

  std::string DataCentreStatusSpec(const in_force_summary& summary) const {
    return FormatDataCentreStatus(
        {.data_centre = summary.data_centre,
         .members = static_cast<std::uint32_t>(summary.members),
         .lowest = summary.lowest_version,
         .highest = summary.highest_version,
         .at_highest = static_cast<std::uint32_t>(summary.members_at_highest),
         .backend_servers = local_server_counts_,
         .updated_unix_ms = UnixMillisNow()});
  }

  void Publish(const published_state& state) override {
    boost::asio::post(io_, [this, state] { OnPublish(state); });
  }

  void OnPublish(const published_state& state) {
    members_ = state.members;
    if (!state.routes) return;
    calls_.SetSnapshot(state.routes);
    CountServers(*state.routes);
    if (state.routes->version == version_in_force_) return;
    version_in_force_ = state.routes->version;
    in_force_since_ms_ = static_cast<std::uint64_t>(UnixMillisNow());
    log_event(log_level::kInfo, "config_in_force")
        .With("member", Name())
        .With("version", version_in_force_);
    control_->Post(
        [version = version_in_force_](control_core& core, instant now) {
          core.OnPublished(version, now);
        });
  }

  void CountServers(const snapshot& routes) {
    routed_server_counts_.clear();
    local_server_counts_.clear();
    for (const auto& service : routes.services) {
      routed_server_counts_[service.name] = service.servers.size();
      auto& local_count = local_server_counts_[service.name];
      for (const auto& server : service.servers) {
        if (server.data_centre == settings_.data_centre) ++local_count;
      }
    }
  }

  // Writes the status again if the backend server counts of the data centre
  // have changed. Distribution requests a write only when a version changes.
  void RefreshStatus() {
    if (!last_summary_ || local_server_counts_ == written_server_counts_)
      return;
    if (MonotonicNow() < next_status_refresh_) return;
    next_status_refresh_ = MonotonicNow() + kStatusRefreshInterval;
    WriteDataCentreStatus(*last_summary_);
  }

  void WriteDataCentreStatus(const in_force_summary& summary) {
    written_server_counts_ = local_server_counts_;
    gateway_.Replace(kStatusPlural, summary.data_centre,
                     DataCentreStatusSpec(summary),
                     [](const result<void>& written) {
                       if (written) return;
                       log_event(log_level::kWarning, "status_not_written")
                           .With("reason", written.error().message);
                     });
  }

  void ApplySuspect(const suspect_event& event) override {
    boost::asio::post(io_, [this, event] { calls_.ApplySuspect(event); });
  }

  void OnSloWindow(const std::string& payload) override {
    boost::asio::post(io_, [this, payload] { slo_.OnWindow(payload); });
  }

  boost::asio::io_context& io_;
  const daemon_settings settings_;
  const std::uint64_t incarnation_;

  http_object_store store_;
  platform_gateway gateway_;
  local_api local_api_;
  backend_lease lease_;
  backend_record published_backend_;
  daemon_metrics metrics_;
  slo_reporter slo_;
  call_service calls_;
  boost::asio::steady_timer lease_timer_;
  boost::asio::steady_timer slo_timer_;
  boost::asio::steady_timer stop_timer_;
  std::function<void()> on_stopped_;  ///< Set while the daemon stops.

  std::shared_ptr<const member_directory> members_;
  std::map<std::string, std::size_t> routed_server_counts_;  ///< By service.
  /// Backend servers of this daemon's data centre, by service.
  std::map<std::string, std::uint32_t> local_server_counts_;
  std::map<std::string, std::uint32_t> written_server_counts_;
  /// Set only while this daemon writes the status of its data centre.
  std::optional<in_force_summary> last_summary_;
  instant next_status_refresh_{};
  config_version version_in_force_ = 0;
  std::uint64_t in_force_since_ms_ = 0;
  bool stopping_ = false;

  std::atomic<std::uint64_t> frames_refused_ = 0;
  // True while the transport's thread may access control_.
  std::atomic<bool> transport_ready_ = false;
  std::unique_ptr<peer_transport> transport_;
  std::unique_ptr<control_actor> control_;
};

daemon::daemon(boost::asio::io_context& io, daemon_settings settings)
    : impl_(std::make_unique<impl>(io, std::move(settings))) {}

daemon::~daemon() = default;

result<void> daemon::Start() { return impl_->Start(); }

void daemon::Stop(std::function<void()> done) { impl_->Stop(std::move(done)); }

}  // namespace pomelohall
