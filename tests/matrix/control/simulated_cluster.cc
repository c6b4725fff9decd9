#include "matrix/control/simulated_cluster.h"

#include <algorithm>
#include <array>

namespace pomelohall::matrix {
namespace {

constexpr duration kTickInterval = std::chrono::milliseconds(100);
constexpr duration kLinkLatency = std::chrono::milliseconds(1);
constexpr duration kLinkJitter = std::chrono::milliseconds(2);
constexpr duration kPlatformLatency = std::chrono::milliseconds(2);
constexpr duration kPlatformTimeout = std::chrono::seconds(2);
constexpr duration kSlowPlatformDelay = std::chrono::milliseconds(1500);
constexpr duration kWatchTimeout = std::chrono::seconds(10);
constexpr duration kWatchPollInterval = std::chrono::milliseconds(5);
constexpr duration kOperatorRetryDelay = std::chrono::milliseconds(500);
constexpr duration kMaxMessageDelay = std::chrono::seconds(2);
constexpr duration kMaxReorderDelay = std::chrono::milliseconds(300);
constexpr duration kMaxSlowMemberDelay = std::chrono::seconds(3);
constexpr double kLossProbability = 0.4;
constexpr double kDuplicateProbability = 0.5;
// Unix time at the start of the run. Incarnations are Unix times, as in
// production.
constexpr std::uint64_t kStartUnixMs = 1'700'000'000'000;
constexpr std::string_view kAddressPrefix = "addr-";
constexpr std::array<const char*, 2> kDataCentres{"a", "b"};

bool CarriesVersion(const peer_message& message) {
  return std::holds_alternative<offer_message>(message) ||
         std::holds_alternative<delta_message>(message);
}

configuration MakeConfiguration(std::size_t change) {
  configuration config;
  for (int i = 0; i < 6; ++i) {
    const std::string name = "s" + std::to_string(i);
    config.services.push_back({name});
    config.classes.push_back(
        {.name = name + "-read",
         .service = name,
         .kind = class_kind::kLookup,
         .target = {.within_ms = 100 + static_cast<std::int64_t>(change)}});
    config.routes.push_back({.path_prefix = "/" + name,
                             .method = "",
                             .work_class = name + "-read"});
  }
  return config;
}

membership_defect MembershipDefect(std::string_view name) {
  if (name == "keep_ready_on_drain")
    return membership_defect::kKeepReadyOnDrain;
  if (name == "silent_removal") return membership_defect::kSilentRemoval;
  return membership_defect::kNone;
}

distribution_defect DistributionDefect(std::string_view name) {
  if (name == "no_floor") return distribution_defect::kNoFloor;
  if (name == "no_quorum") return distribution_defect::kNoQuorum;
  if (name == "partial_stage") return distribution_defect::kPartialStage;
  if (name == "no_repair") return distribution_defect::kNoRepair;
  return distribution_defect::kNone;
}

}  // namespace

simulated_cluster::simulated_cluster(std::uint64_t seed,
                                     std::string_view defect)
    : random_(seed), defect_(defect) {
  for (const char* data_centre : kDataCentres) {
    for (std::size_t i = 1; i <= kMembersPerDataCentre; ++i) {
      const std::string name = data_centre + std::to_string(i);
      daemon& added = daemons_[name];
      added.name = name;
      added.data_centre = data_centre;
      added.backend = {
          .service = "s0", .slots = 20, .state = backend_state::kReady};
    }
  }
}

// --- Time -------------------------------------------------------------------

void simulated_cluster::ScheduleAt(instant when, std::function<void()> run) {
  events_.push({std::max(when, now_), next_order_++, std::move(run)});
}

void simulated_cluster::RunFor(duration span) {
  RunUntil([] { return false; }, span);
}

bool simulated_cluster::RunUntil(const std::function<bool()>& condition,
                                 duration limit) {
  const instant end = now_ + limit;
  while (!condition()) {
    const instant next =
        events_.empty() ? next_tick_ : std::min(next_tick_, events_.top().at);
    if (next > end) {
      now_ = end;
      return condition();
    }
    now_ = next;
    if (!events_.empty() && events_.top().at <= now_) {
      const auto run = events_.top().run;
      events_.pop();
      run();
    } else {
      next_tick_ = now_ + kTickInterval;
      TickAll();
    }
  }
  return true;
}

duration simulated_cluster::Random(duration limit) {
  return duration(static_cast<duration::rep>(
      random_.Below(static_cast<std::uint64_t>(limit.count()))));
}

// --- Processes --------------------------------------------------------------

void simulated_cluster::Start() {
  for (const auto& name : Members()) StartProcess(name);
}

void simulated_cluster::StartProcess(const std::string& member) {
  daemon& target = daemons_.at(member);
  if (target.table) return;
  membership_options options;
  options.cluster = "matrix";
  options.self.name = member;
  options.self.data_centre = target.data_centre;
  options.self.peer_address = std::string(kAddressPrefix) + member;
  options.self.incarnation =
      kStartUnixMs +
      static_cast<std::uint64_t>(now_.time_since_epoch().count()) / 1000;
  options.seeds = {"addr-a1", "addr-a2", "addr-b1", "addr-b2"};
  options.defect = MembershipDefect(defect_);
  distribution_options distribution_settings;
  distribution_settings.defect = DistributionDefect(defect_);
  ++target.epoch;
  target.table = std::make_unique<membership>(options, random_.Next());
  target.config_distribution =
      std::make_unique<distribution>(distribution_settings, random_.Next());
  target.routing = {};
  ExecuteAll(target, target.config_distribution->OnMembership(
                         target.table->View(now_), now_));
  ExecuteAll(target, target.table->SetBackend(target.backend, now_));
}

void simulated_cluster::StopProcess(daemon& target) {
  target.table.reset();
  target.config_distribution.reset();
  target.routing = {};
  target.frozen_until.reset();
  target.inbox.clear();
}

void simulated_cluster::Kill(const std::string& member) {
  StopProcess(daemons_.at(member));
  ExtendFaults({});
}

void simulated_cluster::Restart(const std::string& member, duration down_for) {
  StopProcess(daemons_.at(member));
  ExtendFaults(down_for);
  ScheduleAt(now_ + down_for, [this, member] { StartProcess(member); });
}

void simulated_cluster::Freeze(const std::string& member, duration span) {
  daemon& target = daemons_.at(member);
  if (!target.table) return;
  target.frozen_until =
      std::max(target.frozen_until.value_or(now_), now_ + span);
  ExtendFaults(span);
}

void simulated_cluster::Resume(daemon& target) {
  target.frozen_until.reset();
  auto inputs = std::exchange(target.inbox, {});
  for (const auto& input : inputs) {
    if (target.table) input(target);
  }
}

void simulated_cluster::TickAll() {
  for (auto& [name, target] : daemons_) {
    if (!target.table) continue;
    if (target.frozen_until) {
      if (now_ < *target.frozen_until) continue;
      Resume(target);
    }
    ExecuteAll(target, target.table->Tick(now_));
    ExecuteAll(target, target.config_distribution->Tick(now_));
    checker_.CheckRouting(name, target.routing, *target.table, now_);
  }
}

void simulated_cluster::RunAtProcess(const std::string& member,
                                     std::uint64_t epoch,
                                     std::function<void(daemon&)> input) {
  daemon& target = daemons_.at(member);
  if (!target.table || target.epoch != epoch) return;
  if (target.frozen_until) {
    target.inbox.push_back(std::move(input));
  } else {
    input(target);
  }
}

// --- Actions ----------------------------------------------------------------

void simulated_cluster::ExecuteAll(daemon& from,
                                   const membership_actions& actions) {
  for (const auto& action : actions) {
    std::visit([&](const auto& item) { Execute(from, item); }, action);
  }
}

void simulated_cluster::ExecuteAll(daemon& from,
                                   const distribution_actions& actions) {
  for (const auto& action : actions) {
    std::visit([&](const auto& item) { Execute(from, item); }, action);
  }
}

void simulated_cluster::Execute(daemon& from, const send_to_member& action) {
  SendMessage(from.name, action.member, action.body);
}

void simulated_cluster::Execute(daemon& from, const send_to_address& action) {
  SendMessage(from.name, action.address.substr(kAddressPrefix.size()),
              action.body);
}

void simulated_cluster::Execute(daemon& from,
                                const membership_changed& /*action*/) {
  from.routing = BuildRouting(from.routing.image, *from.table);
  ExecuteAll(from, from.config_distribution->OnMembership(
                       from.table->View(now_), now_));
}

void simulated_cluster::Execute(daemon& from, const put_in_force& action) {
  checker_.OnPutInForce(from.name, *action.image, platform_.Accepted(), now_);
  from.routing = BuildRouting(action.image, *from.table);
  ExecuteAll(from, from.config_distribution->OnImageInForce(
                       action.image->head.version, now_));
}

// --- Network ----------------------------------------------------------------

void simulated_cluster::AddLinkFault(link_fault which, duration span,
                                     std::string data_centre) {
  link_faults_.push_back({which, now_ + span, std::move(data_centre)});
  ExtendFaults(which == link_fault::kDelayed || which == link_fault::kDuplicated
                   ? span + kMaxMessageDelay
                   : span);
}

bool simulated_cluster::HasLinkFault(link_fault which) const {
  return std::any_of(link_faults_.begin(), link_faults_.end(),
                     [&](const auto& item) {
                       return item.which == which && now_ < item.until;
                     });
}

bool simulated_cluster::IsPartitioned(const std::string& data_centre) const {
  return std::any_of(
      link_faults_.begin(), link_faults_.end(), [&](const auto& item) {
        return item.which == link_fault::kPartition && now_ < item.until &&
               item.data_centre == data_centre;
      });
}

void simulated_cluster::SlowMembers(duration span) {
  slow_until_ = now_ + span;
  slow_members_.clear();
  for (const auto& member : Members()) {
    if (random_.Below(2) == 0)
      slow_members_[member] = Random(kMaxSlowMemberDelay);
  }
  ExtendFaults(span);
}

void simulated_cluster::SendMessage(const std::string& from,
                                    const std::string& to,
                                    const peer_message& message) {
  if (HasLinkFault(link_fault::kLost) &&
      random_.NextDouble() < kLossProbability)
    return;
  instant when = now_ + kLinkLatency + Random(kLinkJitter);
  const auto slow = slow_members_.find(to);
  if (slow != slow_members_.end() && now_ < slow_until_ &&
      CarriesVersion(message)) {
    when += slow->second;
  }
  if (HasLinkFault(link_fault::kDelayed)) when += Random(kMaxMessageDelay);
  if (HasLinkFault(link_fault::kReordered)) {
    when += Random(kMaxReorderDelay);
  } else if (now_ >= slow_until_) {
    // A connection delivers its frames in order.
    instant& last = last_delivery_[{from, to}];
    when = last = std::max(when, last);
  }
  Deliver(from, to, message, when);
  if (HasLinkFault(link_fault::kDuplicated) &&
      random_.NextDouble() < kDuplicateProbability) {
    Deliver(from, to, message, when + Random(kMaxMessageDelay));
  }
}

void simulated_cluster::Deliver(const std::string& from, const std::string& to,
                                const peer_message& message, instant when) {
  // Shared because the event queue copies its events.
  const auto shared = std::make_shared<const peer_message>(message);
  ScheduleAt(when, [this, from, to, shared] {
    const daemon& sender = daemons_.at(from);
    daemon& target = daemons_.at(to);
    const bool crosses = sender.data_centre != target.data_centre;
    if (crosses && (IsPartitioned(sender.data_centre) ||
                    IsPartitioned(target.data_centre)))
      return;
    RunAtProcess(to, target.epoch, [this, from, shared](daemon& receiver) {
      ExecuteAll(receiver, receiver.table->OnMessage(from, *shared, now_));
      ExecuteAll(receiver,
                 receiver.config_distribution->OnMessage(from, *shared, now_));
      checker_.CheckRouting(receiver.name, receiver.routing, *receiver.table,
                            now_);
    });
  });
}

// --- Platform ---------------------------------------------------------------

void simulated_cluster::AddPlatformFault(fake_platform::fault_mode which,
                                         duration span) {
  platform_.AddFault(which, now_, now_ + span);
  ExtendFaults(span);
}

bool simulated_cluster::PlatformFails(const std::string& data_centre) const {
  return platform_.IsFaultActive(fake_platform::fault_mode::kDown, now_) ||
         platform_.IsFaultActive(fake_platform::fault_mode::kLoseAnswers,
                                 now_) ||
         IsPartitioned(data_centre);
}

duration simulated_cluster::PlatformDelayFor(const std::string& member) const {
  const auto slow = slow_members_.find(member);
  const bool is_slow = slow != slow_members_.end() && now_ < slow_until_;
  return PlatformDelay() + (is_slow ? slow->second : duration{});
}

duration simulated_cluster::PlatformDelay() const {
  return platform_.IsFaultActive(fake_platform::fault_mode::kSlow, now_)
             ? kPlatformLatency + kSlowPlatformDelay
             : kPlatformLatency;
}

void simulated_cluster::Execute(daemon& from, const read_head& /*action*/) {
  const instant started = now_;
  ScheduleAt(now_ + PlatformDelayFor(from.name),
             [this, member = from.name, epoch = from.epoch, started] {
               AnswerHead(member, epoch, head_source::kRead, started);
             });
}

void simulated_cluster::AnswerHead(const std::string& member,
                                   std::uint64_t epoch, head_source source,
                                   instant started) {
  const bool fails = PlatformFails(daemons_.at(member).data_centre);
  const result<config_head> head =
      fails ? Fail(error_kind::kPlatformUnavailable, "no answer")
            : platform_.Head();
  // A platform that is down refuses connections at once, whereas a lost answer
  // leads to a timeout.
  const bool refused =
      platform_.IsFaultActive(fake_platform::fault_mode::kDown, now_);
  const instant when = fails && !refused ? now_ + kPlatformTimeout : now_;
  ScheduleAt(when, [this, member, epoch, source, started, head] {
    RunAtProcess(member, epoch, [this, source, started, head](daemon& target) {
      ExecuteAll(target, target.config_distribution->OnPlatformHead(
                             source, head, started, now_));
    });
  });
}

void simulated_cluster::Execute(daemon& from, const watch_head& action) {
  WaitForHead(from.name, from.epoch, action.known, now_, now_ + kWatchTimeout);
}

void simulated_cluster::WaitForHead(const std::string& member,
                                    std::uint64_t epoch, config_version known,
                                    instant started, instant deadline) {
  const bool done = platform_.Version() > known || now_ >= deadline ||
                    PlatformFails(daemons_.at(member).data_centre);
  if (done) {
    ScheduleAt(now_ + PlatformDelayFor(member), [this, member, epoch, started] {
      AnswerHead(member, epoch, head_source::kWatch, started);
    });
    return;
  }
  ScheduleAt(now_ + kWatchPollInterval,
             [this, member, epoch, known, started, deadline] {
               WaitForHead(member, epoch, known, started, deadline);
             });
}

void simulated_cluster::Execute(daemon& from, const read_sections& action) {
  ScheduleAt(now_ + PlatformDelayFor(from.name), [this, member = from.name,
                                                  epoch = from.epoch, action] {
    using sections = result<std::vector<config_delta::item>>;
    const bool fails = PlatformFails(daemons_.at(member).data_centre);
    const sections items =
        fails ? sections(Fail(error_kind::kPlatformUnavailable, "no answer"))
              : platform_.Sections(action.head, action.indexes);
    RunAtProcess(member, epoch,
                 [this, version = action.head.version, items](daemon& target) {
                   ExecuteAll(target,
                              target.config_distribution->OnPlatformSections(
                                  version, items, now_));
                 });
  });
}

// --- Operators --------------------------------------------------------------

void simulated_cluster::ApplyChange() {
  ++pending_changes_;
  WriteChange("c" + std::to_string(++changes_));
}

void simulated_cluster::ApplyConflictingChanges() {
  ApplyChange();
  ApplyChange();
}

// Reads the head, then updates it conditionally. Operators that apply changes
// at the same time read the same head, so that one of them gets a conflict and
// gives up.
void simulated_cluster::WriteChange(const std::string& id) {
  if (platform_.IsFaultActive(fake_platform::fault_mode::kDown, now_)) {
    ScheduleAt(now_ + kOperatorRetryDelay, [this, id] { WriteChange(id); });
    return;
  }
  const config_version base = platform_.Version();
  const config_image* previous =
      base == 0 ? nullptr : platform_.Accepted().at(base).get();
  const auto image = BuildImage(
      MakeConfiguration(changes_ + random_.Below(1000)), previous, id);
  ScheduleAt(now_ + 2 * PlatformDelay(), [this, id, base, image = *image] {
    if (platform_.IsFaultActive(fake_platform::fault_mode::kDown, now_)) {
      ScheduleAt(now_ + kOperatorRetryDelay, [this, id] { WriteChange(id); });
      return;
    }
    const auto written = platform_.UpdateHead(base, image);
    if (platform_.IsFaultActive(fake_platform::fault_mode::kLoseAnswers,
                                now_)) {
      ScheduleAt(now_ + kPlatformTimeout, [this, id] { ResolveChange(id); });
    } else {
      --pending_changes_;
    }
  });
}

// Handles a lost answer: reads the change ids of the head and writes the change
// again only if it is not among them.
void simulated_cluster::ResolveChange(const std::string& id) {
  if (platform_.IsFaultActive(fake_platform::fault_mode::kDown, now_) ||
      platform_.IsFaultActive(fake_platform::fault_mode::kLoseAnswers, now_)) {
    ScheduleAt(now_ + kOperatorRetryDelay, [this, id] { ResolveChange(id); });
    return;
  }
  const auto head = platform_.Head();
  const std::vector<std::string> ids =
      head ? head->recent_change_ids : std::vector<std::string>{};
  if (std::find(ids.begin(), ids.end(), id) == ids.end()) {
    WriteChange(id);
  } else {
    --pending_changes_;
  }
}

// --- Backend servers and queries --------------------------------------------

void simulated_cluster::SetBackend(const std::string& member,
                                   backend_state state) {
  daemon& target = daemons_.at(member);
  if (!target.table) return;
  target.backend.state = state;
  ExecuteAll(target, target.table->SetBackend(target.backend, now_));
}

void simulated_cluster::Leave(const std::string& member) {
  daemon& target = daemons_.at(member);
  if (!target.table) return;
  ExecuteAll(target, target.table->Leave(now_));
}

void simulated_cluster::ExtendFaults(duration span) {
  faults_end_ = std::max(faults_end_, now_ + span);
}

std::vector<std::string> simulated_cluster::Members() const {
  std::vector<std::string> names;
  for (const auto& [name, target] : daemons_) names.push_back(name);
  return names;
}

std::vector<std::string> simulated_cluster::Running() const {
  std::vector<std::string> names;
  for (const auto& [name, target] : daemons_) {
    if (target.table) names.push_back(name);
  }
  return names;
}

bool simulated_cluster::IsFrozen(const std::string& member) const {
  return daemons_.at(member).frozen_until.has_value();
}

bool simulated_cluster::AllInForce() const {
  if (pending_changes_ > 0) return false;
  return std::all_of(daemons_.begin(), daemons_.end(), [&](const auto& item) {
    const daemon& target = item.second;
    return !target.table ||
           (target.config_distribution->InForce() != nullptr &&
            target.config_distribution->InForce()->head.version ==
                platform_.Version());
  });
}

bool simulated_cluster::IsStagedAnywhere(config_version version) const {
  return std::any_of(daemons_.begin(), daemons_.end(), [&](const auto& item) {
    return item.second.table &&
           item.second.config_distribution->StagedVersion() >= version;
  });
}

std::optional<std::string> simulated_cluster::FirstInForce(
    config_version version) const {
  for (const auto& [name, target] : daemons_) {
    if (target.table && target.config_distribution->InForce() != nullptr &&
        target.config_distribution->InForce()->head.version >= version) {
      return name;
    }
  }
  return std::nullopt;
}

const membership* simulated_cluster::MemberTable(
    const std::string& member) const {
  return daemons_.at(member).table.get();
}

const routing_state* simulated_cluster::Routing(
    const std::string& member) const {
  const daemon& target = daemons_.at(member);
  return target.table ? &target.routing : nullptr;
}

std::string simulated_cluster::Describe() const {
  std::string text = "head " + std::to_string(platform_.Version());
  for (const auto& [name, target] : daemons_) {
    text += ", " + name + " ";
    if (!target.table) {
      text += "down";
      continue;
    }
    const auto& in_force = target.config_distribution->InForce();
    text +=
        "staged " +
        std::to_string(target.config_distribution->StagedVersion()) +
        " committed " +
        std::to_string(target.config_distribution->CommittedVersion()) +
        " in force " + std::to_string(in_force ? in_force->head.version : 0) +
        " quorum members " + std::to_string(target.table->QuorumMembers(now_)) +
        (target.table->Complete() ? "" : " incomplete") +
        (target.config_distribution->Recovered() ? "" : " not recovered");
  }
  return text;
}

}  // namespace pomelohall::matrix
