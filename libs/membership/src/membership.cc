#include "membership/membership.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

#include "membership/overlay.h"

namespace pomelohall {
namespace {

// Larger tables are handed out by full syncs with admission.
constexpr std::size_t kSmallTable = 64;
constexpr std::size_t kBootstrapMembers = 16;
constexpr std::size_t kLargeSync = 512;      // records
constexpr std::size_t kFullSyncsAtOnce = 2;  // within kFullSyncTime
constexpr duration kFullSyncTime = std::chrono::seconds(1);
constexpr std::size_t kIndirectProbes = 2;
constexpr duration kForwardedProbeTime = std::chrono::seconds(2);
constexpr duration kForgetInterval = std::chrono::seconds(1);
constexpr duration kReportInterval = std::chrono::seconds(10);
// Three report intervals, so that one lost report changes nothing.
constexpr duration kReportLifetime = std::chrono::seconds(30);
// One repetition of each own change covers a lost message.
constexpr duration kAnnounceAgain = std::chrono::seconds(1);

bool Contains(const std::vector<std::string>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

membership::membership(membership_options options, std::uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      self_(options_.self),
      table_(options_.tombstone),
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
  HeardFrom(from, now);
  std::visit([&](const auto& body) { On(from, body, now); }, message);
  return Finish(from, now);
}

membership_actions membership::Tick(instant now) {
  if (!started_) {
    started_ = now;
    next_digest_ = now + Jitter(options_.digest_interval);
  }
  DetectPause(now);
  RefreshTopology(now);
  ForgetOld(now);
  if (!left_) {
    Heartbeat(now);
    ExpireSuspects(now);
    ContactSeeds(now);
    Settle(now);
    ExchangeDigests(now);
    WatchDataCentres(now);
    if (announce_again_ && now >= *announce_again_) {
      announce_again_.reset();
      events_.push_back(self_);
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
  ChangeSelf(now);
  return Finish({}, now);
}

membership_actions membership::Leave(instant now) {
  if (left_) return {};
  self_.state = member_state::kLeft;
  self_.backend.state = backend_state::kGone;
  left_ = true;
  ChangeSelf(now);
  // The process ends soon: more receivers replace the repetition.
  for (const auto& reader : topology_.readers) {
    Send(reader, member_event_message{{self_}});
  }
  return Finish({}, now);
}

std::vector<std::string> membership::OtherReaders() const {
  std::vector<std::string> names;
  for (const auto& [data_centre, readers] : topology_.other_readers) {
    names.insert(names.end(), readers.begin(), readers.end());
  }
  return names;
}

bool membership::IsReader() const {
  return Contains(topology_.readers, self_.name);
}

std::size_t membership::QuorumMembers(instant now) const {
  const auto recent = [&](const auto& item) {
    return now - item.second < options_.quorum_memory;
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
                       .other_readers = OtherReaders(),
                       .members = {{self_.name, self_.incarnation}},
                       .quorum_members = QuorumMembers(now),
                       .complete = complete_,
                       .absences = absences_};
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
  const bool whole = table_.DigestCount() <= kSmallTable;
  Send(from, member_sync_message{BootstrapRecords(message.data_centre),
                                 whole && complete_});
}

void membership::On(const std::string& from, const ping_message& message,
                    instant /*now*/) {
  Send(from, ping_ack_message{.seq = message.seq, .member = self_.name});
  const member_record* sender = table_.Find(from);
  if (sender == nullptr) {
    GreetStranger(from);
  } else if (!IsLive(sender->state)) {
    // A sender that is held for dead learns it here and refutes it.
    Send(from, member_event_message{{*sender}});
  }
}

// A member that this daemon does not know pings the daemon's earlier process.
// Its table has the members that the seeds may have lost in a restart.
void membership::GreetStranger(const std::string& member) {
  pinged_by_stranger_ = true;
  Send(member, member_sync_message{{self_}, false});
  Send(member, member_digest_message{.digest = table_.Digest(),
                                     .count = table_.DigestCount(),
                                     .reply = false});
}

void membership::On(const std::string& /*from*/,
                    const ping_ack_message& message, instant now) {
  detector_.OnAnswer(message.member, now);
  const auto found = forwarded_.find(message.seq);
  if (found == forwarded_.end()) return;
  Send(found->second.requester,
       ping_ack_message{.seq = found->second.seq, .member = message.member});
  forwarded_.erase(found);
}

void membership::On(const std::string& from,
                    const probe_request_message& message, instant now) {
  const std::uint64_t seq = next_seq_++;
  forwarded_[seq] = {.requester = from,
                     .seq = message.seq,
                     .expiry = now + kForwardedProbeTime};
  Send(message.target, ping_message{.seq = seq});
}

void membership::On(const std::string& /*from*/,
                    const member_event_message& message, instant now) {
  LearnAll(message.records, now);
}

void membership::On(const std::string& from,
                    const member_digest_message& message, instant now) {
  auto records = table_.DifferingRecords(message.digest);
  const bool differs = !records.empty() || message.digest != table_.Digest();
  if (records.size() > kLargeSync && !AdmitFullSync(now)) return;
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
  const std::size_t known_events = events_.size();
  LearnAll(message.records, now);
  // A joiner that reads a large table learns what the others know already.
  if (!complete_ && message.records.size() > kSmallTable) {
    events_.resize(std::min(events_.size(), known_events));
  }
  if (message.complete && !complete_) {
    complete_ = true;
    NoteChange();
  }
  const member_record* sender = table_.Find(from);
  if (sender != nullptr) seeds_answered_.insert(sender->peer_address);
}

void membership::On(const std::string& from,
                    const reachability_message& message, instant now) {
  if (message.reader == self_.name) return;
  reader_report& known = reports_[message.reader];
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

void membership::LearnAll(const std::vector<member_record>& records,
                          instant now) {
  for (const auto& record : records) {
    if (Learn(record, now)) events_.push_back(*table_.Find(record.name));
  }
}

bool membership::Learn(const member_record& record, instant now) {
  if (record.name.empty()) return false;
  if (record.name == self_.name) {
    LearnAboutSelf(record, now);
    return false;
  }
  if (!table_.Merge(record, now)) return false;
  NoteState(*table_.Find(record.name), now);
  return true;
}

// A record of this daemon that it did not make itself comes from an earlier
// process or from a suspicion. A higher incarnation replaces it everywhere.
void membership::LearnAboutSelf(const member_record& record, instant now) {
  const bool newer = std::pair(record.incarnation, record.sequence) >
                     std::pair(self_.incarnation, self_.sequence);
  const bool accused = record.state != member_state::kAlive &&
                       record.incarnation >= self_.incarnation;
  if (left_ || (!newer && !accused)) return;
  if (accused && !IsLive(record.state)) ++absences_;
  self_.incarnation = std::max(self_.incarnation, record.incarnation) + 1;
  ChangeSelf(now);
}

void membership::NoteState(const member_record& record, instant now) {
  const bool silent = options_.defect == membership_defect::kSilentRemoval &&
                      !IsLive(record.state);
  if (!silent) NoteChange();
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

void membership::ChangeSelf(instant now) {
  ++self_.sequence;
  table_.Merge(self_, now);
  NoteChange();
  events_.push_back(self_);
  announce_again_ = now + kAnnounceAgain;
}

void membership::ForgetOld(instant now) {
  if (now < next_forget_) return;
  next_forget_ = now + kForgetInterval;
  if (table_.DropExpired(now)) NoteChange();
  std::erase_if(departed_, [&](const auto& item) {
    return now - item.second >= options_.quorum_memory;
  });
  std::erase_if(forwarded_,
                [&](const auto& item) { return now >= item.second.expiry; });
  std::erase_if(reports_, [&](const auto& item) {
    return now - item.second.received >= kReportLifetime;
  });
}

// --- Failure detection ------------------------------------------------------

void membership::DetectPause(instant now) {
  const bool paused = last_tick_ && now - *last_tick_ > options_.pause_limit;
  last_tick_ = now;
  if (!paused) return;
  // Nothing was heard because this process did not run.
  ++absences_;
  detector_.Reset(now);
  table_.RestartSuspicions(now);
  for (auto& [data_centre, heard] : heard_) heard = now;
  NoteChange();
}

void membership::Heartbeat(instant now) {
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
    NoteState(*table_.Find(member), now);
    events_.push_back(*table_.Find(member));
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
    const auto found = table_.All().find(name);
    if (found == table_.All().end()) continue;
    if (now - found->second.state_since < options_.suspicion) continue;
    table_.SetState(name, member_state::kDead, now);
    NoteState(*table_.Find(name), now);
    events_.push_back(*table_.Find(name));
  }
}

// --- Starting ---------------------------------------------------------------

void membership::ContactSeeds(instant now) {
  if (now < next_seed_) return;
  if (complete_) {
    next_seed_ = now + Jitter(options_.seed_check_interval);
    return CheckSeed();
  }
  next_seed_ = now + Jitter(options_.seed_interval);
  for (const auto& address : options_.seeds) {
    if (!seeds_answered_.contains(address)) SendHello(address);
  }
  AskForTable();
}

// The record travels first, so that the answer to the hello has an address.
void membership::SendHello(const std::string& address) {
  actions_.push_back(
      send_to_address{address, member_sync_message{{self_}, false}});
  actions_.push_back(
      send_to_address{address, hello_message{.cluster = options_.cluster,
                                             .member = self_.name,
                                             .incarnation = self_.incarnation,
                                             .data_centre = self_.data_centre,
                                             .protocol = kPeerProtocol}});
}

// A seed that restarted knows nobody; it is found by its address.
void membership::CheckSeed() {
  std::set<std::string_view> live;
  for (const auto& [name, item] : table_.All()) {
    if (IsLive(item.record.state)) live.insert(item.record.peer_address);
  }
  std::vector<std::string> missing;
  for (const auto& address : options_.seeds) {
    if (!live.contains(address)) missing.push_back(address);
  }
  if (!missing.empty()) SendHello(missing[random_.Below(missing.size())]);
}

// Asks an ordinary member for the records that this table lacks.
void membership::AskForTable() {
  std::vector<std::string> candidates;
  for (const auto& name : topology_.ring) {
    if (!Contains(topology_.readers, name)) candidates.push_back(name);
  }
  if (candidates.empty()) candidates = topology_.ring;
  if (candidates.empty()) candidates = OtherReaders();
  if (candidates.empty()) return;
  Send(candidates[random_.Below(candidates.size())],
       member_digest_message{.digest = table_.Digest(),
                             .count = table_.DigestCount(),
                             .reply = false});
}

void membership::Settle(instant now) {
  if (complete_) return;
  const duration age = now - *started_;
  const bool all_answered = std::all_of(
      options_.seeds.begin(), options_.seeds.end(),
      [&](const auto& seed) { return seeds_answered_.contains(seed); });
  if ((all_answered && !pinged_by_stranger_ &&
       age >= options_.settle_with_seeds) ||
      age >= options_.settle_alone) {
    complete_ = true;
    NoteChange();
  }
}

std::vector<member_record> membership::BootstrapRecords(
    const std::string& data_centre) {
  if (table_.DigestCount() <= kSmallTable) return table_.DifferingRecords({});
  std::vector<member_record> records{self_};
  const auto members = LiveMembers(data_centre);
  for (std::size_t i = 0; i < kBootstrapMembers && !members.empty(); ++i) {
    records.push_back(*table_.Find(members[random_.Below(members.size())]));
  }
  return records;
}

bool membership::AdmitFullSync(instant now) {
  while (!full_syncs_.empty() && now - full_syncs_.front() >= kFullSyncTime) {
    full_syncs_.pop_front();
  }
  if (full_syncs_.size() >= kFullSyncsAtOnce) return false;
  full_syncs_.push_back(now);
  return true;
}

// --- Repair and other data centres ------------------------------------------

void membership::ExchangeDigests(instant now) {
  if (now < next_digest_) return;
  next_digest_ = now + Jitter(options_.digest_interval);
  const member_digest_message digest{
      .digest = table_.Digest(), .count = table_.DigestCount(), .reply = false};
  const auto& neighbours = topology_.neighbours;
  if (!neighbours.empty()) {
    Send(neighbours[random_.Below(neighbours.size())], digest);
  }
  if (!IsReader()) return;
  for (const auto& [data_centre, readers] : topology_.other_readers) {
    if (!readers.empty()) {
      Send(readers[random_.Below(readers.size())], digest);
    }
  }
}

void membership::HeardFrom(const std::string& member, instant now) {
  const member_record* record = table_.Find(member);
  if (record == nullptr || record->data_centre == self_.data_centre) return;
  const auto [heard, is_new] = heard_.try_emplace(record->data_centre, now);
  const duration silence = now - std::exchange(heard->second, now);
  if (!IsReader() || silence <= options_.data_centre_timeout) return;
  // The link has healed: both sides repair their tables at once.
  Send(member, member_digest_message{.digest = table_.Digest(),
                                     .count = table_.DigestCount(),
                                     .reply = false});
}

void membership::WatchDataCentres(instant now) {
  if (!IsReader() || now < next_data_centre_ping_) return;
  next_data_centre_ping_ = now + options_.ping_interval;
  for (const auto& [data_centre, readers] : topology_.other_readers) {
    PingDataCentre(data_centre, readers, now);
  }
  ReportReachability(now);
}

void membership::PingDataCentre(const std::string& data_centre,
                                const std::vector<std::string>& readers,
                                instant now) {
  heard_.try_emplace(data_centre, now);
  for (const auto& reader : readers) {
    Send(reader, ping_message{.seq = next_seq_++});
  }
  if (!Contains(unreachable_, data_centre)) return;
  // Its readers may have changed during the cut.
  const auto members = LiveMembers(data_centre);
  if (members.empty()) return;
  Send(members[random_.Below(members.size())],
       ping_message{.seq = next_seq_++});
}

void membership::ReportReachability(instant now) {
  std::vector<std::string> silent;
  for (const auto& [data_centre, readers] : topology_.other_readers) {
    if (now - heard_[data_centre] > options_.data_centre_timeout) {
      silent.push_back(data_centre);
    }
  }
  reader_report& own = reports_[self_.name];
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

// A data centre is unreachable if every reader that reported says so.
void membership::UpdateUnreachable(instant now) {
  std::optional<std::vector<std::string>> common;
  for (const auto& reader : topology_.readers) {
    const auto found = reports_.find(reader);
    if (found == reports_.end() ||
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
  NoteChange();
}

// --- Topology and output ----------------------------------------------------

std::vector<std::string> membership::LiveMembers(
    std::string_view data_centre) const {
  std::vector<std::string> names;
  for (const auto& [name, item] : table_.All()) {
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
  for (const auto& [name, item] : table_.All()) {
    if (IsLive(item.record.state)) {
      live[item.record.data_centre].push_back(name);
    }
  }
  topology next;
  next.ring = RingAfter(self_.name, live[self_.data_centre]);
  next.neighbours = OverlayLinks(self_.name, next.ring);
  next.readers = RankReaders(std::move(live[self_.data_centre]));
  live.erase(self_.data_centre);
  for (auto& [data_centre, names] : live) {
    next.other_readers[data_centre] = RankReaders(std::move(names));
  }
  topology_ = std::move(next);
  // Suspects on the way are watched in addition, so that a group of failed
  // successors is found in one pass.
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
  if (!events_.empty()) {
    Flood(member_event_message{events_}, from);
    std::erase_if(events_, [&](const auto& record) {
      return record.data_centre != self_.data_centre;
    });
    if (IsReader() && !events_.empty()) {
      for (const auto& reader : OtherReaders()) {
        if (reader != from) Send(reader, member_event_message{events_});
      }
    }
    events_.clear();
  }
  const std::size_t quorum = QuorumMembers(now);
  if (changed_ || quorum != last_quorum_) {
    actions_.emplace_back(membership_changed{});
  }
  changed_ = false;
  last_quorum_ = quorum;
  return std::exchange(actions_, {});
}

// Returns 75% to 125% of `span`, so that daemons that started together do not
// stay in step.
duration membership::Jitter(duration span) {
  const double factor = 0.75 + random_.Unit() / 2;
  return std::chrono::duration_cast<duration>(span * factor);
}

}  // namespace pomelohall
