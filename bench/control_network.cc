#include "control_network.h"

#include <algorithm>

namespace pomelohall::bench {
namespace {

constexpr duration kTickInterval = std::chrono::milliseconds(100);
constexpr duration kPlatformLatency = std::chrono::milliseconds(3);
constexpr std::uint64_t kIncarnation = 1'700'000'000'000;
constexpr int kServices = 830;
constexpr int kClassesPerService = 6;
constexpr int kRoutesPerClass = 3;

std::string MemberName(std::size_t index) {
  return "vm-" + std::to_string(100'000 + index);
}

}  // namespace

configuration DesignCapacityConfiguration(int change) {
  configuration config;
  for (int i = 0; i < kServices; ++i) {
    const std::string name = "service-" + std::to_string(i);
    config.services.push_back({name});
    for (int j = 0; j < kClassesPerService; ++j) {
      const std::string work = name + "-class-" + std::to_string(j);
      const bool changed = i == 7 && j == 0;
      config.classes.push_back(
          {.name = work,
           .service = name,
           .kind = class_kind::kLookup,
           .target = {.within_ms = 100 + (changed ? change : 0)}});
      for (int k = 0; k < kRoutesPerClass; ++k) {
        config.routes.push_back(
            {.path_prefix = "/" + work + "/path-" + std::to_string(k),
             .method = "GET",
             .work_class = work});
      }
    }
  }
  return config;
}

control_network::control_network(std::size_t members,
                                 network_conditions conditions,
                                 std::uint64_t seed)
    : conditions_(conditions), random_(seed) {
  for (std::size_t i = 0; i < members; ++i) {
    daemons_[MemberName(i)].name = MemberName(i);
  }
}

void control_network::StartAll() {
  std::vector<std::string> names;
  for (const auto& [name, target] : daemons_) names.push_back(name);
  for (const auto& name : names) Join(name);
}

void control_network::Join(const std::string& name) {
  daemon& target = daemons_[name];
  target.name = name;
  membership_options options;
  options.cluster = "bench";
  options.self.name = name;
  options.self.region = "luzon";
  options.self.data_centre = "dc-1";
  options.self.forward_address = "10.0.0.1:7001";
  options.self.peer_address = name;
  options.self.incarnation = kIncarnation;
  options.seeds = {MemberName(0), MemberName(1), MemberName(2)};
  target.table = std::make_unique<membership>(options, random_.Next());
  target.config_distribution =
      std::make_unique<distribution>(distribution_options{}, random_.Next());
  ExecuteAll(target, target.config_distribution->OnMembership(
                         target.table->View(now_), now_));
  ExecuteAll(target, target.table->SetBackend({.service = "service-1",
                                               .slots = 20,
                                               .state = backend_state::kReady},
                                              now_));
}

void control_network::ScheduleAt(instant when, std::function<void()> run) {
  events_.push({when, next_order_++, std::move(run)});
}

void control_network::RunFor(duration span) {
  RunUntil([] { return false; }, span);
}

duration control_network::RunUntil(const std::function<bool()>& condition,
                                   duration limit) {
  const instant start = now_;
  const instant end = now_ + limit;
  while (!condition()) {
    const instant next =
        events_.empty() ? next_tick_ : std::min(next_tick_, events_.top().at);
    if (next > end) {
      now_ = end;
      break;
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
  return now_ - start;
}

void control_network::TickAll() {
  for (auto& [name, target] : daemons_) {
    ExecuteAll(target, target.table->Tick(now_));
    ExecuteAll(target, target.config_distribution->Tick(now_));
  }
}

void control_network::Send(daemon& from, const std::string& to,
                           const peer_message& message) {
  auto frame = std::make_shared<const std::string>(
      EncodeEnvelope({.from = from.name,
                      .incarnation = from.table->Self().incarnation,
                      .body = message}));
  ++counts_.messages;
  counts_.bytes += frame->size();
  const auto send_time =
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(
          static_cast<double>(frame->size()) / conditions_.egress_bytes_per_s));
  from.egress_free_at = std::max(from.egress_free_at, now_) + send_time;
  if (random_.NextDouble() < conditions_.loss) return;
  ScheduleAt(from.egress_free_at + conditions_.hop,
             [this, to, frame] { Receive(to, *frame); });
}

void control_network::Receive(const std::string& to, const std::string& frame) {
  const auto found = daemons_.find(to);
  if (found == daemons_.end() || !found->second.table) return;
  daemon& target = found->second;
  const auto message = DecodeEnvelope(frame);
  if (!message) return;
  ExecuteAll(target,
             target.table->OnMessage(message->from, message->body, now_));
  ExecuteAll(target, target.config_distribution->OnMessage(
                         message->from, message->body, now_));
}

void control_network::ExecuteAll(daemon& from,
                                 const membership_actions& actions) {
  for (const auto& action : actions) {
    std::visit([&](const auto& item) { Execute(from, item); }, action);
  }
}

void control_network::ExecuteAll(daemon& from,
                                 const distribution_actions& actions) {
  for (const auto& action : actions) {
    std::visit([&](const auto& item) { Execute(from, item); }, action);
  }
}

void control_network::Execute(daemon& from, const send_to_member& action) {
  Send(from, action.member, action.body);
}

void control_network::Execute(daemon& from, const send_to_address& action) {
  Send(from, action.address, action.body);
}

void control_network::Execute(daemon& from,
                              const membership_changed& /*action*/) {
  ExecuteAll(from, from.config_distribution->OnMembership(
                       from.table->View(now_), now_));
}

result<config_head> control_network::AcceptedHead() const {
  if (accepted_image_ == nullptr) return Fail(error_kind::kNotFound, "no head");
  return accepted_image_->head;
}

void control_network::Execute(daemon& from, const read_head& /*action*/) {
  ++counts_.platform_calls;
  ScheduleAt(now_ + kPlatformLatency, [this, name = from.name, started = now_] {
    daemon& target = daemons_.at(name);
    ExecuteAll(target, target.config_distribution->OnPlatformHead(
                           head_source::kRead, AcceptedHead(), started, now_));
  });
}

void control_network::Execute(daemon& from, const watch_head& action) {
  ++counts_.platform_calls;
  watches_.emplace_back(from.name, now_);
  if (accepted_image_ != nullptr &&
      accepted_image_->head.version > action.known) {
    AnswerWatches();
  }
}

void control_network::AnswerWatches() {
  for (const auto& [name, started] : std::exchange(watches_, {})) {
    ScheduleAt(now_ + kPlatformLatency, [this, name = name, started = started] {
      daemon& target = daemons_.at(name);
      ExecuteAll(target,
                 target.config_distribution->OnPlatformHead(
                     head_source::kWatch, AcceptedHead(), started, now_));
    });
  }
}

void control_network::Execute(daemon& from, const read_sections& action) {
  counts_.platform_calls += action.indexes.size();
  std::vector<config_delta::item> items;
  for (const std::size_t index : action.indexes) {
    items.push_back(
        {.index = index, .bytes = accepted_image_->sections[index]});
  }
  ScheduleAt(now_ + kPlatformLatency, [this, name = from.name,
                                       version = action.head.version, items] {
    daemon& target = daemons_.at(name);
    ExecuteAll(target, target.config_distribution->OnPlatformSections(
                           version, items, now_));
  });
}

void control_network::Execute(daemon& from, const put_in_force& action) {
  ExecuteAll(from, from.config_distribution->OnImageInForce(
                       action.image->head.version, now_));
}

void control_network::Execute(daemon& /*from*/,
                              const write_status& /*action*/) {
  ++counts_.platform_calls;
}

void control_network::AcceptVersion(config_image_ptr image) {
  accepted_image_ = std::move(image);
  AnswerWatches();
}

bool control_network::AllStaged() const {
  return std::all_of(daemons_.begin(), daemons_.end(), [&](const auto& item) {
    return item.second.config_distribution->StagedVersion() ==
           accepted_image_->head.version;
  });
}

bool control_network::AllInForce() const {
  return std::all_of(daemons_.begin(), daemons_.end(), [&](const auto& item) {
    const auto& image = item.second.config_distribution->InForce();
    return image != nullptr &&
           image->head.version == accepted_image_->head.version;
  });
}

}  // namespace pomelohall::bench
