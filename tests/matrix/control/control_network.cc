#include "matrix/control/control_network.h"

#include <algorithm>
#include <array>

namespace pomelohall::matrix {
namespace {

constexpr duration kTick = std::chrono::milliseconds(100);
constexpr duration kHop = std::chrono::milliseconds(1);
constexpr duration kHopJitter = std::chrono::milliseconds(2);
constexpr duration kPlatformAnswer = std::chrono::milliseconds(2);
constexpr duration kPlatformTimeout = std::chrono::seconds(2);
constexpr duration kSlowPlatform = std::chrono::milliseconds(1500);
constexpr duration kWatchTime = std::chrono::seconds(10);
constexpr duration kWatchPoll = std::chrono::milliseconds(5);
constexpr duration kOperatorRetry = std::chrono::milliseconds(500);
constexpr duration kLongestDelay = std::chrono::seconds(2);
constexpr duration kLongestCrossing = std::chrono::milliseconds(300);
constexpr duration kSlowestMember = std::chrono::seconds(3);
constexpr double kLossShare = 0.4;
constexpr double kDuplicateShare = 0.5;
// Start times of the processes, as in production.
constexpr std::uint64_t kEpochMs = 1'700'000'000'000;
constexpr std::string_view kAddressPrefix = "addr-";
constexpr std::array<const char*, 2> kDataCentres{"a", "b"};

bool CarriesVersion(const peer_message& message) {
  return std::holds_alternative<offer_message>(message) ||
         std::holds_alternative<delta_message>(message);
}

configuration Document(std::size_t change) {
  configuration document;
  for (int i = 0; i < 6; ++i) {
    const std::string name = "s" + std::to_string(i);
    document.services.push_back({name});
    document.classes.push_back(
        {.name = name + "-read",
         .service = name,
         .kind = class_kind::kLookup,
         .target = {.within_ms = 100 + static_cast<std::int64_t>(change)}});
    document.routes.push_back({.path_prefix = "/" + name,
                               .method = "",
                               .work_class = name + "-read"});
  }
  return document;
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

control_network::control_network(std::uint64_t seed, std::string_view defect)
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

void control_network::At(instant when, std::function<void()> run) {
  events_.push({std::max(when, now_), next_order_++, std::move(run)});
}

void control_network::RunFor(duration span) {
  RunUntil([] { return false; }, span);
}

bool control_network::RunUntil(const std::function<bool()>& condition,
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
      next_tick_ = now_ + kTick;
      TickAll();
    }
  }
  return true;
}

duration control_network::Random(duration limit) {
  return duration(static_cast<duration::rep>(
      random_.Below(static_cast<std::uint64_t>(limit.count()))));
}

// --- Processes --------------------------------------------------------------

void control_network::Start() {
  for (const auto& name : Members()) StartProcess(name);
}

void control_network::StartProcess(const std::string& member) {
  daemon& target = daemons_.at(member);
  if (target.table) return;
  membership_options options;
  options.cluster = "matrix";
  options.self.name = member;
  options.self.data_centre = target.data_centre;
  options.self.peer_address = std::string(kAddressPrefix) + member;
  options.self.incarnation =
      kEpochMs +
      static_cast<std::uint64_t>(now_.time_since_epoch().count()) / 1000;
  options.seeds = {"addr-a1", "addr-a2", "addr-b1", "addr-b2"};
  options.defect = MembershipDefect(defect_);
  distribution_options versions;
  versions.defect = DistributionDefect(defect_);
  ++target.process;
  target.table = std::make_unique<membership>(options, random_.Next());
  target.versions = std::make_unique<distribution>(versions, random_.Next());
  target.routing = {};
  Carry(target, target.versions->OnMembership(target.table->View(now_), now_));
  Carry(target, target.table->SetBackend(target.backend, now_));
}

void control_network::StopProcess(daemon& target) {
  target.table.reset();
  target.versions.reset();
  target.routing = {};
  target.frozen_until.reset();
  target.inbox.clear();
}

void control_network::Kill(const std::string& member) {
  StopProcess(daemons_.at(member));
  ExtendFaults({});
}

void control_network::Restart(const std::string& member, duration down_for) {
  StopProcess(daemons_.at(member));
  ExtendFaults(down_for);
  At(now_ + down_for, [this, member] { StartProcess(member); });
}

void control_network::Freeze(const std::string& member, duration span) {
  daemon& target = daemons_.at(member);
  if (!target.table) return;
  target.frozen_until =
      std::max(target.frozen_until.value_or(now_), now_ + span);
  ExtendFaults(span);
}

void control_network::Wake(daemon& target) {
  target.frozen_until.reset();
  auto inputs = std::exchange(target.inbox, {});
  for (const auto& input : inputs) {
    if (target.table) input(target);
  }
}

void control_network::TickAll() {
  for (auto& [name, target] : daemons_) {
    if (!target.table) continue;
    if (target.frozen_until) {
      if (now_ < *target.frozen_until) continue;
      Wake(target);
    }
    Carry(target, target.table->Tick(now_));
    Carry(target, target.versions->Tick(now_));
    checker_.CheckRouting(name, target.routing, *target.table, now_);
  }
}

void control_network::ToProcess(const std::string& member,
                                std::uint64_t process,
                                std::function<void(daemon&)> input) {
  daemon& target = daemons_.at(member);
  if (!target.table || target.process != process) return;
  if (target.frozen_until) {
    target.inbox.push_back(std::move(input));
  } else {
    input(target);
  }
}

// --- Actions ----------------------------------------------------------------

void control_network::Carry(daemon& from, const membership_actions& actions) {
  for (const auto& action : actions) {
    std::visit([&](const auto& item) { Do(from, item); }, action);
  }
}

void control_network::Carry(daemon& from, const distribution_actions& actions) {
  for (const auto& action : actions) {
    std::visit([&](const auto& item) { Do(from, item); }, action);
  }
}

void control_network::Do(daemon& from, const send_to_member& action) {
  Transmit(from.name, action.member, action.body);
}

void control_network::Do(daemon& from, const send_to_address& action) {
  Transmit(from.name, action.address.substr(kAddressPrefix.size()),
           action.body);
}

void control_network::Do(daemon& from, const membership_changed& /*action*/) {
  from.routing = BuildRouting(from.routing.image, *from.table);
  Carry(from, from.versions->OnMembership(from.table->View(now_), now_));
}

void control_network::Do(daemon& from, const put_in_force& action) {
  checker_.OnPutInForce(from.name, *action.image, platform_.Accepted(), now_);
  from.routing = BuildRouting(action.image, *from.table);
  Carry(from, from.versions->OnImageInForce(action.image->head.version, now_));
}

// --- Links ------------------------------------------------------------------

void control_network::AddLinkFault(link_fault which, duration span,
                                   std::string data_centre) {
  link_faults_.push_back({which, now_ + span, std::move(data_centre)});
  ExtendFaults(which == link_fault::kDelayed || which == link_fault::kDuplicated
                   ? span + kLongestDelay
                   : span);
}

bool control_network::HasLinkFault(link_fault which) const {
  return std::any_of(link_faults_.begin(), link_faults_.end(),
                     [&](const auto& item) {
                       return item.which == which && now_ < item.until;
                     });
}

bool control_network::Cut(const std::string& data_centre) const {
  return std::any_of(
      link_faults_.begin(), link_faults_.end(), [&](const auto& item) {
        return item.which == link_fault::kPartition && now_ < item.until &&
               item.data_centre == data_centre;
      });
}

void control_network::SlowMembers(duration span) {
  slow_until_ = now_ + span;
  slow_members_.clear();
  for (const auto& member : Members()) {
    if (random_.Below(2) == 0) slow_members_[member] = Random(kSlowestMember);
  }
  ExtendFaults(span);
}

void control_network::Transmit(const std::string& from, const std::string& to,
                               const peer_message& message) {
  if (HasLinkFault(link_fault::kLost) && random_.Unit() < kLossShare) return;
  instant when = now_ + kHop + Random(kHopJitter);
  const auto slow = slow_members_.find(to);
  if (slow != slow_members_.end() && now_ < slow_until_ &&
      CarriesVersion(message)) {
    when += slow->second;
  }
  if (HasLinkFault(link_fault::kDelayed)) when += Random(kLongestDelay);
  if (HasLinkFault(link_fault::kCrossed)) {
    when += Random(kLongestCrossing);
  } else if (now_ >= slow_until_) {
    // One link carries its frames in order.
    instant& last = last_delivery_[{from, to}];
    when = last = std::max(when, last);
  }
  Deliver(from, to, message, when);
  if (HasLinkFault(link_fault::kDuplicated) &&
      random_.Unit() < kDuplicateShare) {
    Deliver(from, to, message, when + Random(kLongestDelay));
  }
}

void control_network::Deliver(const std::string& from, const std::string& to,
                              const peer_message& message, instant when) {
  // Shared, because the queue copies its events.
  const auto shared = std::make_shared<const peer_message>(message);
  At(when, [this, from, to, shared] {
    const daemon& sender = daemons_.at(from);
    daemon& target = daemons_.at(to);
    const bool crosses = sender.data_centre != target.data_centre;
    if (crosses && (Cut(sender.data_centre) || Cut(target.data_centre))) return;
    ToProcess(to, target.process, [this, from, shared](daemon& receiver) {
      Carry(receiver, receiver.table->OnMessage(from, *shared, now_));
      Carry(receiver, receiver.versions->OnMessage(from, *shared, now_));
      checker_.CheckRouting(receiver.name, receiver.routing, *receiver.table,
                            now_);
    });
  });
}

// --- Platform ---------------------------------------------------------------

void control_network::AddPlatformFault(fake_platform::mode which,
                                       duration span) {
  platform_.AddFault(which, now_, now_ + span);
  ExtendFaults(span);
}

bool control_network::PlatformFails(const std::string& data_centre) const {
  return platform_.Has(fake_platform::mode::kDown, now_) ||
         platform_.Has(fake_platform::mode::kLoseAnswers, now_) ||
         Cut(data_centre);
}

duration control_network::PlatformDelayFor(const std::string& member) const {
  const auto slow = slow_members_.find(member);
  const bool is_slow = slow != slow_members_.end() && now_ < slow_until_;
  return PlatformDelay() + (is_slow ? slow->second : duration{});
}

duration control_network::PlatformDelay() const {
  return platform_.Has(fake_platform::mode::kSlow, now_)
             ? kPlatformAnswer + kSlowPlatform
             : kPlatformAnswer;
}

void control_network::Do(daemon& from, const read_head& /*action*/) {
  const instant started = now_;
  At(now_ + PlatformDelayFor(from.name),
     [this, member = from.name, process = from.process, started] {
       AnswerHead(member, process, head_source::kRead, started);
     });
}

void control_network::AnswerHead(const std::string& member,
                                 std::uint64_t process, head_source source,
                                 instant started) {
  const bool fails = PlatformFails(daemons_.at(member).data_centre);
  const result<config_head> head =
      fails ? Fail(error_kind::kPlatformUnavailable, "no answer")
            : platform_.Head();
  // A platform that is down refuses at once; lost answers run into a timeout.
  const bool refused = platform_.Has(fake_platform::mode::kDown, now_);
  const instant when = fails && !refused ? now_ + kPlatformTimeout : now_;
  At(when, [this, member, process, source, started, head] {
    ToProcess(member, process, [this, source, started, head](daemon& target) {
      Carry(target,
            target.versions->OnPlatformHead(source, head, started, now_));
    });
  });
}

void control_network::Do(daemon& from, const watch_head& action) {
  WaitForHead(from.name, from.process, action.known, now_, now_ + kWatchTime);
}

void control_network::WaitForHead(const std::string& member,
                                  std::uint64_t process, config_version known,
                                  instant started, instant deadline) {
  const bool done = platform_.Version() > known || now_ >= deadline ||
                    PlatformFails(daemons_.at(member).data_centre);
  if (done) {
    At(now_ + PlatformDelayFor(member), [this, member, process, started] {
      AnswerHead(member, process, head_source::kWatch, started);
    });
    return;
  }
  At(now_ + kWatchPoll, [this, member, process, known, started, deadline] {
    WaitForHead(member, process, known, started, deadline);
  });
}

void control_network::Do(daemon& from, const read_sections& action) {
  At(now_ + PlatformDelayFor(from.name),
     [this, member = from.name, process = from.process, action] {
       using sections = result<std::vector<config_delta::item>>;
       const bool fails = PlatformFails(daemons_.at(member).data_centre);
       const sections items =
           fails ? sections(Fail(error_kind::kPlatformUnavailable, "no answer"))
                 : platform_.Sections(action.head, action.indexes);
       ToProcess(member, process,
                 [this, version = action.head.version, items](daemon& target) {
                   Carry(target, target.versions->OnPlatformSections(
                                     version, items, now_));
                 });
     });
}

// --- Operators --------------------------------------------------------------

void control_network::Accept() {
  ++open_changes_;
  WriteChange("c" + std::to_string(++changes_));
}

void control_network::AcceptRace() {
  Accept();
  Accept();
}

// Reads the head, then updates it on condition. The two operators of a race
// read the same head, so that one of them gets a conflict and gives up.
void control_network::WriteChange(const std::string& id) {
  if (platform_.Has(fake_platform::mode::kDown, now_)) {
    At(now_ + kOperatorRetry, [this, id] { WriteChange(id); });
    return;
  }
  const config_version base = platform_.Version();
  const config_image* previous =
      base == 0 ? nullptr : platform_.Accepted().at(base).get();
  const auto image =
      BuildImage(Document(changes_ + random_.Below(1000)), previous, id);
  At(now_ + 2 * PlatformDelay(), [this, id, base, image = *image] {
    if (platform_.Has(fake_platform::mode::kDown, now_)) {
      At(now_ + kOperatorRetry, [this, id] { WriteChange(id); });
      return;
    }
    const auto written = platform_.UpdateHead(base, image);
    if (platform_.Has(fake_platform::mode::kLoseAnswers, now_)) {
      At(now_ + kPlatformTimeout, [this, id] { ResolveChange(id); });
    } else {
      --open_changes_;
    }
  });
}

// The answer was lost: the change ids of the head tell whether the write took
// effect. The change is written again only if it did not.
void control_network::ResolveChange(const std::string& id) {
  if (platform_.Has(fake_platform::mode::kDown, now_) ||
      platform_.Has(fake_platform::mode::kLoseAnswers, now_)) {
    At(now_ + kOperatorRetry, [this, id] { ResolveChange(id); });
    return;
  }
  const auto head = platform_.Head();
  const std::vector<std::string> ids =
      head ? head->recent_change_ids : std::vector<std::string>{};
  if (std::find(ids.begin(), ids.end(), id) == ids.end()) {
    WriteChange(id);
  } else {
    --open_changes_;
  }
}

// --- Backend servers and queries --------------------------------------------

void control_network::SetBackend(const std::string& member,
                                 backend_state state) {
  daemon& target = daemons_.at(member);
  if (!target.table) return;
  target.backend.state = state;
  Carry(target, target.table->SetBackend(target.backend, now_));
}

void control_network::Leave(const std::string& member) {
  daemon& target = daemons_.at(member);
  if (!target.table) return;
  Carry(target, target.table->Leave(now_));
}

void control_network::ExtendFaults(duration span) {
  faults_end_ = std::max(faults_end_, now_ + span);
}

std::vector<std::string> control_network::Members() const {
  std::vector<std::string> names;
  for (const auto& [name, target] : daemons_) names.push_back(name);
  return names;
}

std::vector<std::string> control_network::Running() const {
  std::vector<std::string> names;
  for (const auto& [name, target] : daemons_) {
    if (target.table) names.push_back(name);
  }
  return names;
}

bool control_network::IsFrozen(const std::string& member) const {
  return daemons_.at(member).frozen_until.has_value();
}

bool control_network::AllInForce() const {
  if (open_changes_ > 0) return false;
  return std::all_of(daemons_.begin(), daemons_.end(), [&](const auto& item) {
    const daemon& target = item.second;
    return !target.table ||
           (target.versions->InForce() != nullptr &&
            target.versions->InForce()->head.version == platform_.Version());
  });
}

bool control_network::AnyHolds(config_version version) const {
  return std::any_of(daemons_.begin(), daemons_.end(), [&](const auto& item) {
    return item.second.table &&
           item.second.versions->StagedVersion() >= version;
  });
}

std::optional<std::string> control_network::FirstInForce(
    config_version version) const {
  for (const auto& [name, target] : daemons_) {
    if (target.table && target.versions->InForce() != nullptr &&
        target.versions->InForce()->head.version >= version) {
      return name;
    }
  }
  return std::nullopt;
}

const membership* control_network::Table(const std::string& member) const {
  return daemons_.at(member).table.get();
}

const routing_state* control_network::Routing(const std::string& member) const {
  const daemon& target = daemons_.at(member);
  return target.table ? &target.routing : nullptr;
}

std::string control_network::Describe() const {
  std::string text = "head " + std::to_string(platform_.Version());
  for (const auto& [name, target] : daemons_) {
    text += ", " + name + " ";
    if (!target.table) {
      text += "down";
      continue;
    }
    const auto& in_force = target.versions->InForce();
    text += "staged " + std::to_string(target.versions->StagedVersion()) +
            " committed " +
            std::to_string(target.versions->CommittedVersion()) + " in force " +
            std::to_string(in_force ? in_force->head.version : 0) + " N " +
            std::to_string(target.table->QuorumMembers(now_)) +
            (target.table->Complete() ? "" : " incomplete") +
            (target.versions->Recovered() ? "" : " not recovered");
  }
  return text;
}

}  // namespace pomelohall::matrix
