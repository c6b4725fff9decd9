#include "daemon/control_core.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>

namespace pomelohall {
namespace {

// Bounds the memory for senders without a member record. A data centre that
// restarts as a whole has 917 of them at the design size.
constexpr std::size_t kMaxUnknownSenders = 2048;

// Number of event ids kept for deduplication, so that each daemon relays an
// event only once.
constexpr std::size_t kMaxSeenEvents = 4096;

bool IsLive(const member_record& record) {
  return record.state == member_state::kAlive ||
         record.state == member_state::kSuspect;
}

}  // namespace

control_core::control_core(const control_options& options,
                           control_effects& effects, std::uint64_t seed)
    : options_(options),
      effects_(effects),
      random_(seed),
      name_(options.membership.self.name),
      membership_(options.membership, random_.Next()),
      distribution_(options.distribution, random_.Next()) {}

void control_core::OnMessage(const std::string& from_address,
                             const envelope& message, instant now) {
  if (membership_.Find(message.from) == nullptr &&
      unknown_sender_addresses_.size() < kMaxUnknownSenders) {
    unknown_sender_addresses_[message.from] = from_address;
  }
  Deliver(message.from, message.body, now);
}

void control_core::Deliver(const std::string& from, const peer_message& body,
                           instant now) {
  if (const auto* event = std::get_if<suspect_event_message>(&body)) {
    return OnSuspectEvent(from, *event, now);
  }
  if (const auto* window = std::get_if<slo_window_message>(&body)) {
    return effects_.OnSloWindow(window->payload);
  }
  Run(membership_.OnMessage(from, body, now), now);
  Run(distribution_.OnMessage(from, body, now), now);
}

void control_core::Tick(instant now) {
  Run(membership_.Tick(now), now);
  Run(distribution_.Tick(now), now);
  PublishIfChanged(now);
}

void control_core::OnHead(head_source source, const result<config_head>& head,
                          instant read_started_at, instant now) {
  Run(distribution_.OnPlatformHead(source, head, read_started_at, now), now);
}

void control_core::OnSections(
    config_version version,
    const result<std::vector<config_delta::item>>& items, instant now) {
  Run(distribution_.OnPlatformSections(version, items, now), now);
}

void control_core::OnPublished(config_version version, instant now) {
  Run(distribution_.OnImageInForce(version, now), now);
}

void control_core::SetBackend(const backend_record& backend, instant now) {
  Run(membership_.SetBackend(backend, now), now);
}

void control_core::Leave(instant now) { Run(membership_.Leave(now), now); }

void control_core::ReportSuspect(const suspect_event& event, instant now) {
  suspect_event_message message{
      .service = event.service,
      .fingerprint = event.fingerprint,
      .state = static_cast<std::uint64_t>(event.state),
      .id = random_.Next()};
  MarkEventSeen(message.id);
  Relay(message, name_, now);
}

void control_core::ReportSloWindow(const std::string& payload) {
  if (IsAggregator()) effects_.OnSloWindow(payload);
  for (const auto& aggregator : membership_.Readers()) {
    if (aggregator == name_) continue;
    // Only a message to this daemon itself needs the time, and the loop skips
    // this daemon.
    Run(send_to_member{.member = aggregator,
                       .body = slo_window_message{.payload = payload}},
        instant{});
  }
}

bool control_core::IsAggregator() const {
  const auto& aggregators = membership_.Readers();
  return aggregators.empty() ||
         std::find(aggregators.begin(), aggregators.end(), name_) !=
             aggregators.end();
}

bool control_core::IsFirstAggregator() const {
  const auto& aggregators = membership_.Readers();
  return aggregators.empty() || aggregators.front() == name_;
}

control_status control_core::Status(instant /*now*/) const {
  control_status status;
  if (const auto& image = distribution_.InForce()) {
    status.version_in_force = image->head.version;
  }
  status.staged_version = distribution_.StagedVersion();
  status.recovered = distribution_.Recovered();
  status.reader = membership_.IsReader();
  status.unreachable_data_centres = membership_.UnreachableDataCentres();
  status.deltas_refused = deltas_refused_;
  for (const auto& record : membership_.Records()) {
    if (!IsLive(record)) continue;
    ++status.members_alive;
    ++status.members_by_data_centre[record.data_centre];
    if (record.backend.state == backend_state::kReady) {
      ++status.backend_servers[record.backend.service];
    }
  }
  return status;
}

void control_core::Run(const membership_actions& actions, instant now) {
  for (const auto& action : actions) {
    std::visit([this, now](const auto& item) { Run(item, now); }, action);
  }
}

void control_core::Run(const distribution_actions& actions, instant now) {
  for (const auto& action : actions) {
    std::visit([this, now](const auto& item) { Run(item, now); }, action);
  }
}

void control_core::Run(const send_to_member& action, instant now) {
  if (action.member == name_) return Deliver(name_, action.body, now);
  const std::string address = PeerAddressOf(action.member);
  if (!address.empty()) effects_.SendFrame(address, Encode(action.body));
}

void control_core::Run(const send_to_address& action, instant /*now*/) {
  effects_.SendFrame(action.address, Encode(action.body));
}

void control_core::Run(const membership_changed& /*action*/, instant now) {
  members_changed_ = true;
  std::erase_if(unknown_sender_addresses_, [this](const auto& item) {
    return membership_.Find(item.first) != nullptr;
  });
  Run(distribution_.OnMembership(membership_.View(now), now), now);
}

void control_core::Run(const read_head& /*action*/, instant /*now*/) {
  effects_.ReadHead(head_source::kRead);
}

void control_core::Run(const watch_head& /*action*/, instant /*now*/) {
  effects_.ReadHead(head_source::kWatch);
}

void control_core::Run(const read_sections& action, instant /*now*/) {
  effects_.ReadSections(action.head, action.indexes);
}

void control_core::Run(const put_in_force& action, instant now) {
  auto document = ImageDocument(*action.image);
  if (!document) return;  // ApplyDelta() has validated it already.
  configuration_ = std::move(*document);
  configuration_version_ = action.image->head.version;
  members_changed_ = true;
  next_publish_ = now;
  PublishIfChanged(now);
}

void control_core::Run(const write_status& action, instant /*now*/) {
  effects_.WriteStatus(action.status);
}

void control_core::Run(const delta_refused& /*action*/, instant /*now*/) {
  ++deltas_refused_;
}

void control_core::OnSuspectEvent(const std::string& from,
                                  const suspect_event_message& message,
                                  instant now) {
  if (message.state > static_cast<std::uint64_t>(suspect_state::kCleared)) {
    return;
  }
  if (!MarkEventSeen(message.id)) return;
  effects_.ApplySuspect({.service = message.service,
                         .fingerprint = message.fingerprint,
                         .state = static_cast<suspect_state>(message.state)});
  Relay(message, from, now);
}

bool control_core::MarkEventSeen(std::uint64_t id) {
  if (!seen_event_ids_.insert(id).second) return false;
  seen_event_order_.push_back(id);
  if (seen_event_order_.size() > kMaxSeenEvents) {
    seen_event_ids_.erase(seen_event_order_.front());
    seen_event_order_.pop_front();
  }
  return true;
}

void control_core::Relay(const suspect_event_message& message,
                         const std::string& except, instant now) {
  std::set<std::string> receivers(membership_.Neighbours().begin(),
                                  membership_.Neighbours().end());
  if (membership_.IsReader()) {
    for (const auto& reader : membership_.RemoteReaders()) {
      receivers.insert(reader);
    }
  }
  receivers.erase(except);
  receivers.erase(name_);
  for (const auto& receiver : receivers) {
    Run(send_to_member{.member = receiver, .body = message}, now);
  }
}

std::string control_core::PeerAddressOf(const std::string& member) const {
  if (const auto* record = membership_.Find(member)) {
    return record->peer_address;
  }
  const auto found = unknown_sender_addresses_.find(member);
  return found == unknown_sender_addresses_.end() ? std::string()
                                                  : found->second;
}

std::string control_core::Encode(const peer_message& body) const {
  return EncodeEnvelope({.from = name_,
                         .incarnation = membership_.Self().incarnation,
                         .body = body});
}

void control_core::PublishIfChanged(instant now) {
  if (!members_changed_ || now < next_publish_) return;
  members_changed_ = false;
  next_publish_ = now + options_.publish_interval;
  const auto records = membership_.Records();
  auto directory = std::make_shared<member_directory>();
  for (const auto& record : records) {
    if (IsLive(record)) directory->emplace(record.name, record);
  }
  published_state state{.routes = nullptr, .members = std::move(directory)};
  if (configuration_version_ > 0) {
    state.routes = BuildSnapshot(configuration_version_, configuration_,
                                 records, membership_.UnreachableDataCentres());
  }
  effects_.Publish(state);
}

}  // namespace pomelohall
