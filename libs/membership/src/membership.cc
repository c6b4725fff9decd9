#include "membership/membership.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

#include "membership/overlay.h"

namespace pomelohall {
namespace {

// Maximum number of records in a table that is sent whole in answer to a hello.
// A joining daemon gets a larger table by digest exchange, as a full sync.
constexpr std::size_t kSmallTable = 64;
constexpr std::size_t kBootstrapSampleSize = 16;
// A sync of more records is a full sync, which is rate limited.
constexpr std::size_t kLargeSyncRecords = 512;
constexpr std::size_t kMaxFullSyncs = 2;  // per kFullSyncWindow
constexpr duration kFullSyncWindow = std::chrono::seconds(1);
constexpr std::size_t kIndirectProbes = 2;
constexpr duration kForwardedProbeTimeout = std::chrono::seconds(2);
constexpr duration kPurgeInterval = std::chrono::seconds(1);
constexpr duration kReportInterval = std::chrono::seconds(10);
// Three report intervals, so that a lost report has no effect.
constexpr duration kReportLifetime = std::chrono::seconds(30);
// Each change of this daemon's record is sent a second time in case the first
// message was lost.
constexpr duration kReannounceDelay = std::chrono::seconds(1);

bool Contains(const std::vector<std::string>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

membership::membership(membership_options options, std::uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      self_(options_.self),
      table_(options_.tombstone_lifetime),
      detector_(options_) {
  assert(!self_.name.empty());
  self_.sequence = 0;
  self_.state = member_state::kAlive;
  std::erase(options_.seeds, self_.peer_address);
  table_.Merge(self_, instant{});
}

membership_actions membership::OnMessage(const std::string& from,
                                         const peer_message& message,
                                         instant now) {
  RecordContact(from, now);
  std::visit([&](const auto& body) { On(from, body, now); }, message);
  return Finish(from, now);
}

membership_actions membership::Tick(instant now) {
  if (!started_at_) {
    started_at_ = now;
    next_digest_exchange_ = now + Jitter(options_.digest_interval);
  }
  DetectPause(now);
  RefreshTopology(now);
  PurgeExpired(now);
  if (!left_) {
    RunFailureDetector(now);
    ExpireSuspects(now);
    ContactSeeds(now);
    CheckBootstrapTimeout(now);
    ExchangeDigests(now);
    MonitorDataCentres(now);
    if (reannounce_at_ && now >= *reannounce_at_) {
      reannounce_at_.reset();
      pending_events_.push_back(self_);
    }
  }
  UpdateUnreachable(now);
  return Finish({}, now);
}

membership_actions membership::SetBackend(const backend_record& backend,
                                          instant now) {
  backend_record announced = backend;
  if (options_.defect == membership_defect::kKeepReadyOnDrain &&
      announced.state == backend_state::kDraining) {
    announced.state = backend_state::kReady;
  }
  if (announced == self_.backend) return {};
  self_.backend = std::move(announced);
  PublishOwnRecord(now);
  return Finish({}, now);
}

membership_actions membership::Leave(instant now) {
  if (left_) return {};
  self_.state = member_state::kLeft;
  self_.backend.state = backend_state::kGone;
  left_ = true;
  PublishOwnRecord(now);
  // The process exits before the change could be sent again, so it is also
  // sent to the readers.
  for (const auto& reader : topology_.readers) {
    Send(reader, member_event_message{{self_}});
  }
  return Finish({}, now);
}

std::vector<std::string> membership::RemoteReaders() const {
  std::vector<std::string> names;
  for (const auto& [data_centre, readers] : topology_.remote_readers) {
    names.insert(names.end(), readers.begin(), readers.end());
  }
  return names;
}

bool membership::IsReader() const {
  return Contains(topology_.readers, self_.name);
}

std::size_t membership::QuorumMembers(instant now) const {
  const auto recent = [&](const auto& item) {
    return now - item.second < options_.departed_quorum_time;
  };
  const auto departed =
      std::count_if(departed_.begin(), departed_.end(), recent);
  return topology_.ring.size() + 1 + static_cast<std::size_t>(departed);
}

membership_view membership::View(instant now) const {
  membership_view view{.self = self_.name,
                       .incarnation = self_.incarnation,
                       .data_centre = self_.data_centre,
                       .neighbours = topology_.neighbours,
                       .readers = topology_.readers,
                       .remote_readers = RemoteReaders(),
                       .members = {{self_.name, self_.incarnation}},
                       .quorum_members = QuorumMembers(now),
                       .complete = complete_,
                       .interruptions = interruptions_};
  for (const auto& name : topology_.ring) {
    view.members[name] = table_.Find(name)->incarnation;
  }
  return view;
}

// --- Messages ---------------------------------------------------------------

void membership::On(const std::string& from, const hello_message& message,
                    instant /*now*/) {
  if (message.cluster != options_.cluster || table_.Find(from) == nullptr) {
    return;
  }
  const bool small_table = table_.DigestCount() <= kSmallTable;
  Send(from, member_sync_message{BootstrapRecords(message.data_centre),
                                 small_table && complete_});
}

void membership::On(const std::string& from, const ping_message& message,
                    instant /*now*/) {
  Send(from, ping_ack_message{.seq = message.seq, .member = self_.name});
  const member_record* sender = table_.Find(from);
  if (sender == nullptr) {
    SyncWithUnknownMember(from);
  } else if (!IsLive(sender->state)) {
    // Sends the record to a sender marked as dead or left, which then refutes
    // that state.
    Send(from, member_event_message{{*sender}});
  }
}

// The sender knows this daemon from before this daemon restarted. Its table may
// list members that are unknown to the seeds, which may have restarted too.
void membership::SyncWithUnknownMember(const std::string& member) {
  pinged_by_unknown_member_ = true;
  Send(member, member_sync_message{{self_}, false});
  Send(member, member_digest_message{.digest = table_.Digest(),
                                     .count = table_.DigestCount(),
                                     .reply = false});
}

void membership::On(const std::string& /*from*/,
                    const ping_ack_message& message, instant now) {
  detector_.OnAnswer(message.member, now);
  const auto found = forwarded_probes_.find(message.seq);
  if (found == forwarded_probes_.end()) return;
  Send(found->second.requester,
       ping_ack_message{.seq = found->second.seq, .member = message.member});
  forwarded_probes_.erase(found);
}

void membership::On(const std::string& from,
                    const probe_request_message& message, instant now) {
  const std::uint64_t seq = next_seq_++;
  forwarded_probes_[seq] = {.requester = from,
                            .seq = message.seq,
                            .expiry = now + kForwardedProbeTimeout};
  Send(message.target, ping_message{.seq = seq});
}

void membership::On(const std::string& /*from*/,
                    const member_event_message& message, instant now) {
  MergeRecords(message.records, now);
}

void membership::On(const std::string& from,
                    const member_digest_message& message, instant now) {
  auto records = table_.DifferingRecords(message.digest);
  const bool differs = !records.empty() || message.digest != table_.Digest();
  if (records.size() > kLargeSyncRecords && !AdmitFullSync(now)) return;
  if (!differs && message.reply) return;
  Send(from, member_sync_message{std::move(records), complete_});
  if (differs && !message.reply) {
    Send(from, member_digest_message{.digest = table_.Digest(),
                                     .count = table_.DigestCount(),
                                     .reply = true});
  }
}

void membership::On(const std::string& from, const member_sync_message& message,
                    instant now) {
  const std::size_t events_before = pending_events_.size();
  MergeRecords(message.records, now);
  // The records of a large table that a joining daemon receives are known to
  // the other members, so they are not relayed.
  if (!complete_ && message.records.size() > kSmallTable) {
    pending_events_.resize(std::min(pending_events_.size(), events_before));
  }
  if (message.complete && !complete_) {
    complete_ = true;
    MarkChanged();
  }
  const member_record* sender = table_.Find(from);
  if (sender != nullptr) answered_seeds_.insert(sender->peer_address);
}

void membership::On(const std::string& from,
                    const reachability_message& message, instant now) {
  if (message.reader == self_.name) return;
  reader_report& known = reader_reports_[message.reader];
  if (std::pair(message.incarnation, message.seq) <=
      std::pair(known.incarnation, known.seq)) {
    return;
  }
  known = {.incarnation = message.incarnation,
           .seq = message.seq,
           .unreachable = message.unreachable,
           .received = now};
  Flood(message, from);
  UpdateUnreachable(now);
}

// --- Records ----------------------------------------------------------------

void membership::MergeRecords(const std::vector<member_record>& records,
                              instant now) {
  for (const auto& record : records) {
    if (MergeRecord(record, now))
      pending_events_.push_back(*table_.Find(record.name));
  }
}

bool membership::MergeRecord(const member_record& record, instant now) {
  if (record.name.empty()) return false;
  if (record.name == self_.name) {
    HandleOwnRecord(record, now);
    return false;
  }
  if (!table_.Merge(record, now)) return false;
  TrackState(*table_.Find(record.name), now);
  return true;
}

// A record of this daemon that differs from its own was created by an earlier
// process or by a suspicion. A higher incarnation overrides it everywhere.
void membership::HandleOwnRecord(const member_record& record, instant now) {
  const bool newer = std::pair(record.incarnation, record.sequence) >
                     std::pair(self_.incarnation, self_.sequence);
  const bool must_refute = record.state != member_state::kAlive &&
                           record.incarnation >= self_.incarnation;
  if (left_ || (!newer && !must_refute)) return;
  if (must_refute && !IsLive(record.state)) ++interruptions_;
  self_.incarnation = std::max(self_.incarnation, record.incarnation) + 1;
  PublishOwnRecord(now);
}

void membership::TrackState(const member_record& record, instant now) {
  const bool suppress_report =
      options_.defect == membership_defect::kSilentRemoval &&
      !IsLive(record.state);
  if (!suppress_report) MarkChanged();
  if (record.data_centre != self_.data_centre) return;
  if (record.state == member_state::kSuspect) {
    suspects_.insert(record.name);
  } else {
    suspects_.erase(record.name);
  }
  if (IsLive(record.state)) {
    departed_.erase(record.name);
  } else {
    departed_.try_emplace(record.name, now);
  }
}

void membership::PublishOwnRecord(instant now) {
  ++self_.sequence;
  table_.Merge(self_, now);
  MarkChanged();
  pending_events_.push_back(self_);
  reannounce_at_ = now + kReannounceDelay;
}

void membership::PurgeExpired(instant now) {
  if (now < next_purge_) return;
  next_purge_ = now + kPurgeInterval;
  if (table_.DropExpired(now)) MarkChanged();
  std::erase_if(departed_, [&](const auto& item) {
    return now - item.second >= options_.departed_quorum_time;
  });
  std::erase_if(forwarded_probes_,
                [&](const auto& item) { return now >= item.second.expiry; });
  std::erase_if(reader_reports_, [&](const auto& item) {
    return now - item.second.received >= kReportLifetime;
  });
}

// --- Failure detection ------------------------------------------------------

void membership::DetectPause(instant now) {
  const bool paused = last_tick_ && now - *last_tick_ > options_.pause_limit;
  last_tick_ = now;
  if (!paused) return;
  // Missing messages mean nothing, as this process did not run.
  ++interruptions_;
  detector_.Reset(now);
  table_.RestartSuspicionTimers(now);
  for (auto& [data_centre, last_contact] : last_contacts_) last_contact = now;
  MarkChanged();
}

void membership::RunFailureDetector(instant now) {
  const auto plan = detector_.Tick(now);
  for (const auto& member : plan.ping) {
    Send(member, ping_message{.seq = next_seq_++});
  }
  for (const auto& member : plan.probe_indirectly) {
    ProbeIndirectly(member, now);
  }
  for (const auto& member : plan.suspect) {
    const member_record* record = table_.Find(member);
    if (record == nullptr || record->state != member_state::kAlive) continue;
    table_.SetState(member, member_state::kSuspect, now);
    TrackState(*table_.Find(member), now);
    pending_events_.push_back(*table_.Find(member));
  }
}

void membership::ProbeIndirectly(const std::string& target, instant /*now*/) {
  std::vector<std::string> helpers;
  for (const auto& name : topology_.neighbours) {
    const member_record* record = table_.Find(name);
    if (name != target && record->state == member_state::kAlive) {
      helpers.push_back(name);
    }
  }
  for (std::size_t i = 0; i < kIndirectProbes && !helpers.empty(); ++i) {
    const auto chosen = helpers.begin() + static_cast<std::ptrdiff_t>(
                                              random_.Below(helpers.size()));
    Send(*chosen, probe_request_message{.target = target, .seq = next_seq_++});
    helpers.erase(chosen);
  }
}

void membership::ExpireSuspects(instant now) {
  const auto names = suspects_;
  for (const auto& name : names) {
    const auto found = table_.Entries().find(name);
    if (found == table_.Entries().end()) continue;
    if (now - found->second.state_since < options_.suspicion_timeout) continue;
    table_.SetState(name, member_state::kDead, now);
    TrackState(*table_.Find(name), now);
    pending_events_.push_back(*table_.Find(name));
  }
}

// --- Bootstrap --------------------------------------------------------------

void membership::ContactSeeds(instant now) {
  if (now < next_seed_contact_) return;
  if (complete_) {
    next_seed_contact_ = now + Jitter(options_.seed_check_interval);
    return ContactMissingSeed();
  }
  next_seed_contact_ = now + Jitter(options_.seed_interval);
  for (const auto& address : options_.seeds) {
    if (!answered_seeds_.contains(address)) SendHello(address);
  }
  RequestTable();
}

// Sends the record of this daemon first, as the receiver takes from it the
// address to which it answers the hello.
void membership::SendHello(const std::string& address) {
  actions_.push_back(
      send_to_address{address, member_sync_message{{self_}, false}});
  actions_.push_back(send_to_address{
      address, hello_message{.cluster = options_.cluster,
                             .member = self_.name,
                             .incarnation = self_.incarnation,
                             .data_centre = self_.data_centre,
                             .protocol = kPeerProtocolVersion}});
}

// A seed that restarted has an empty table and is contacted by its address.
void membership::ContactMissingSeed() {
  std::set<std::string_view> live;
  for (const auto& [name, item] : table_.Entries()) {
    if (IsLive(item.record.state)) live.insert(item.record.peer_address);
  }
  std::vector<std::string> missing;
  for (const auto& address : options_.seeds) {
    if (!live.contains(address)) missing.push_back(address);
  }
  if (!missing.empty()) SendHello(missing[random_.Below(missing.size())]);
}

// Requests missing records, preferably from a member that is not a reader.
void membership::RequestTable() {
  std::vector<std::string> candidates;
  for (const auto& name : topology_.ring) {
    if (!Contains(topology_.readers, name)) candidates.push_back(name);
  }
  if (candidates.empty()) candidates = topology_.ring;
  if (candidates.empty()) candidates = RemoteReaders();
  if (candidates.empty()) return;
  Send(candidates[random_.Below(candidates.size())],
       member_digest_message{.digest = table_.Digest(),
                             .count = table_.DigestCount(),
                             .reply = false});
}

void membership::CheckBootstrapTimeout(instant now) {
  if (complete_) return;
  const duration age = now - *started_at_;
  const bool all_answered = std::all_of(
      options_.seeds.begin(), options_.seeds.end(),
      [&](const auto& seed) { return answered_seeds_.contains(seed); });
  if ((all_answered && !pinged_by_unknown_member_ &&
       age >= options_.bootstrap_time_seeds_answered) ||
      age >= options_.bootstrap_time_seeds_silent) {
    complete_ = true;
    MarkChanged();
  }
}

std::vector<member_record> membership::BootstrapRecords(
    const std::string& data_centre) {
  if (table_.DigestCount() <= kSmallTable) return table_.DifferingRecords({});
  std::vector<member_record> records{self_};
  const auto members = LiveMembers(data_centre);
  for (std::size_t i = 0; i < kBootstrapSampleSize && !members.empty(); ++i) {
    records.push_back(*table_.Find(members[random_.Below(members.size())]));
  }
  return records;
}

bool membership::AdmitFullSync(instant now) {
  while (!full_syncs_.empty() && now - full_syncs_.front() >= kFullSyncWindow) {
    full_syncs_.pop_front();
  }
  if (full_syncs_.size() >= kMaxFullSyncs) return false;
  full_syncs_.push_back(now);
  return true;
}

// --- Anti-entropy and other data centres ------------------------------------

void membership::ExchangeDigests(instant now) {
  if (now < next_digest_exchange_) return;
  next_digest_exchange_ = now + Jitter(options_.digest_interval);
  const member_digest_message digest{
      .digest = table_.Digest(), .count = table_.DigestCount(), .reply = false};
  const auto& neighbours = topology_.neighbours;
  if (!neighbours.empty()) {
    Send(neighbours[random_.Below(neighbours.size())], digest);
  }
  if (!IsReader()) return;
  for (const auto& [data_centre, readers] : topology_.remote_readers) {
    if (!readers.empty()) {
      Send(readers[random_.Below(readers.size())], digest);
    }
  }
}

void membership::RecordContact(const std::string& member, instant now) {
  const member_record* record = table_.Find(member);
  if (record == nullptr || record->data_centre == self_.data_centre) return;
  const auto [last_contact, is_new] =
      last_contacts_.try_emplace(record->data_centre, now);
  const duration silence = now - std::exchange(last_contact->second, now);
  if (!IsReader() || silence <= options_.data_centre_timeout) return;
  // The connection was restored, so the tables are synchronised immediately.
  Send(member, member_digest_message{.digest = table_.Digest(),
                                     .count = table_.DigestCount(),
                                     .reply = false});
}

void membership::MonitorDataCentres(instant now) {
  if (!IsReader() || now < next_data_centre_ping_) return;
  next_data_centre_ping_ = now + options_.ping_interval;
  for (const auto& [data_centre, readers] : topology_.remote_readers) {
    PingDataCentre(data_centre, readers, now);
  }
  ReportReachability(now);
}

void membership::PingDataCentre(const std::string& data_centre,
                                const std::vector<std::string>& readers,
                                instant now) {
  last_contacts_.try_emplace(data_centre, now);
  for (const auto& reader : readers) {
    Send(reader, ping_message{.seq = next_seq_++});
  }
  if (!Contains(unreachable_, data_centre)) return;
  // Its readers may have changed while it was unreachable.
  const auto members = LiveMembers(data_centre);
  if (members.empty()) return;
  Send(members[random_.Below(members.size())],
       ping_message{.seq = next_seq_++});
}

void membership::ReportReachability(instant now) {
  std::vector<std::string> silent;
  for (const auto& [data_centre, readers] : topology_.remote_readers) {
    if (now - last_contacts_[data_centre] > options_.data_centre_timeout) {
      silent.push_back(data_centre);
    }
  }
  reader_report& own = reader_reports_[self_.name];
  if (silent == own.unreachable && now < next_report_) return;
  next_report_ = now + kReportInterval;
  own = {.incarnation = self_.incarnation,
         .seq = own.seq + 1,
         .unreachable = std::move(silent),
         .received = now};
  Flood(reachability_message{.reader = self_.name,
                             .incarnation = own.incarnation,
                             .seq = own.seq,
                             .unreachable = own.unreachable},
        {});
}

// A data centre is unreachable if it is so in the reports of all readers.
// Readers without a current report are ignored.
void membership::UpdateUnreachable(instant now) {
  std::optional<std::vector<std::string>> common;
  for (const auto& reader : topology_.readers) {
    const auto found = reader_reports_.find(reader);
    if (found == reader_reports_.end() ||
        now - found->second.received >= kReportLifetime) {
      continue;
    }
    if (!common) {
      common = found->second.unreachable;
    } else {
      std::erase_if(*common, [&](const auto& name) {
        return !Contains(found->second.unreachable, name);
      });
    }
  }
  auto next = common.value_or(std::vector<std::string>{});
  if (next == unreachable_) return;
  unreachable_ = std::move(next);
  MarkChanged();
}

// --- Topology and output ----------------------------------------------------

std::vector<std::string> membership::LiveMembers(
    std::string_view data_centre) const {
  std::vector<std::string> names;
  for (const auto& [name, item] : table_.Entries()) {
    if (IsLive(item.record.state) && item.record.data_centre == data_centre) {
      names.push_back(name);
    }
  }
  return names;
}

void membership::RefreshTopology(instant now) {
  if (topology_revision_ == table_.Revision()) return;
  topology_revision_ = table_.Revision();
  std::map<std::string, std::vector<std::string>> live;
  for (const auto& [name, item] : table_.Entries()) {
    if (IsLive(item.record.state)) {
      live[item.record.data_centre].push_back(name);
    }
  }
  topology next;
  next.ring = RingAfter(self_.name, live[self_.data_centre]);
  next.neighbours = OverlayLinks(self_.name, next.ring);
  next.readers = ChooseReaders(std::move(live[self_.data_centre]));
  live.erase(self_.data_centre);
  for (auto& [data_centre, names] : live) {
    next.remote_readers[data_centre] = ChooseReaders(std::move(names));
  }
  topology_ = std::move(next);
  // Suspects among the successors are watched in addition, so that consecutive
  // failed successors are all detected at once.
  std::vector<std::string> watched;
  std::size_t alive = 0;
  for (const auto& name : topology_.ring) {
    if (alive == kSuccessors) break;
    if (!suspects_.contains(name)) ++alive;
    watched.push_back(name);
  }
  detector_.Watch(watched, now);
}

void membership::Flood(const peer_message& message, const std::string& except) {
  for (const auto& name : topology_.neighbours) {
    if (name != except) Send(name, message);
  }
}

void membership::Send(const std::string& member, peer_message message) {
  if (member == self_.name) return;
  actions_.push_back(send_to_member{member, std::move(message)});
}

membership_actions membership::Finish(const std::string& from, instant now) {
  RefreshTopology(now);
  if (!pending_events_.empty()) {
    Flood(member_event_message{pending_events_}, from);
    std::erase_if(pending_events_, [&](const auto& record) {
      return record.data_centre != self_.data_centre;
    });
    if (IsReader() && !pending_events_.empty()) {
      for (const auto& reader : RemoteReaders()) {
        if (reader != from) Send(reader, member_event_message{pending_events_});
      }
    }
    pending_events_.clear();
  }
  const std::size_t quorum = QuorumMembers(now);
  if (changed_ || quorum != last_quorum_members_) {
    actions_.emplace_back(membership_changed{});
  }
  changed_ = false;
  last_quorum_members_ = quorum;
  return std::exchange(actions_, {});
}

// Returns 75% to 125% of `span`, so that daemons that started together spread
// their periodic messages.
duration membership::Jitter(duration span) {
  const double factor = 0.75 + random_.NextDouble() / 2;
  return std::chrono::duration_cast<duration>(span * factor);
}

}  // namespace pomelohall
