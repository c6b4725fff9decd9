#include "rollout_coordinator.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>
#include <vector>

#include "backend/http_message.h"
#include "base/backoff.h"
#include "caller/body_prefix.h"
#include "caller/error_response.h"
#include "logging/log_event.h"
#include "rollout_codec.h"
#include "sidecar_metrics.h"

namespace pomelohall {
namespace {

// Time for which one of them gets all canary requests, so that its load is
// comparable with that of other servers: some faults show under load only.
constexpr duration kCanaryTurn = std::chrono::seconds(2);
// Responses of the target version without which it is not trusted.
constexpr std::uint64_t kMinTargetResponses = 12;
constexpr duration kJudgementInterval = std::chrono::milliseconds(50);
// A member answers a notice within milliseconds, or on a slow VM within some
// hundred.
constexpr duration kNoticeTimeout = std::chrono::milliseconds(500);
// Time after a decision in which the daemon that made it stores the outcome.
// From then on others do so, each after a further random time, so that one or
// two of them call the store.
constexpr duration kTakeOverTime = std::chrono::seconds(3);
constexpr duration kStoreRetryPause = std::chrono::milliseconds(200);
constexpr duration kMaxStoreRetryPause = std::chrono::seconds(1);
constexpr duration kWatchWait = std::chrono::seconds(10);
// A backend server whose order cannot be read is offered after this time all
// the same; that is as long as it would be without a store.
constexpr duration kMaxClearanceTime = std::chrono::seconds(9);

duration RandomPart(duration span, random_source& random) {
  return std::chrono::duration_cast<duration>(span * random.NextDouble());
}

}  // namespace

rollout_coordinator::rollout_coordinator(
    boost::asio::io_context& io, watched_store& store,
    const rollout_format& format, connection_pool& peers,
    server_directory& directory, sidecar_metrics& metrics,
    rollout_coordinator_options options, std::uint64_t seed)
    : io_(io),
      store_(store),
      format_(format),
      peers_(peers),
      directory_(directory),
      metrics_(metrics),
      options_(std::move(options)),
      random_(seed),
      registry_(options_.bounds.expose_share) {}

rollout_coordinator::~rollout_coordinator() = default;

void rollout_coordinator::Stop() {
  stopped_ = true;
  if (watch_) watch_->Stop();
  for (auto& [service, work] : tasks_) {
    for (const auto& [name, question] : work.questions) question->Cancel();
    work.questions.clear();
  }
}

version_choice rollout_coordinator::Choose(const std::string& service) {
  auto choice = registry_.Choose(service, MonotonicNow());
  return choice.is_canary ? choice : ChooseAgain(service);
}

version_choice rollout_coordinator::ChooseAgain(
    const std::string& service) const {
  const auto now = MonotonicNow();
  auto choice = registry_.ChooseAgain(service, now);
  if (choice.rule != version_rule::kExceptTarget) return choice;
  // Without an order, a service whose only servers are of the version that it
  // named has to use them.
  const auto record = registry_.Find(service, now);
  const bool withdrawn = record && record->state == rollout_state::kWithdrawn;
  if (withdrawn && directory_.CountServers(service, choice) == 0) return {};
  return choice;
}

std::uint64_t rollout_coordinator::CanaryTurn(
    const std::string& service) const {
  const auto record = registry_.Find(service, MonotonicNow());
  return record ? static_cast<std::uint64_t>(record->elapsed / kCanaryTurn) : 0;
}

void rollout_coordinator::OnOffered(const std::string& service,
                                    const std::string& version) {
  ++outstanding_[service][version];
}

void rollout_coordinator::OnEnded(const std::string& service,
                                  const std::string& version) {
  auto& by_version = outstanding_[service];
  const auto found = by_version.find(version);
  if (found != by_version.end() && --found->second == 0)
    by_version.erase(found);
}

void rollout_coordinator::OnReached(const std::string& service,
                                    const std::string& version) {
  const auto record = registry_.Find(service, MonotonicNow());
  if (!record) return;
  const bool is_target = version == record->order.target_version;
  if (!is_target) registry_.OnReachedOther(service);
  metrics_.OnRolloutRequest(service, is_target);
}

void rollout_coordinator::AddState(http_fields& fields) const {
  if (registry_.IsEmpty()) return;
  const auto records = registry_.RecentRecords(MonotonicNow());
  if (records.empty()) return;
  SetField(fields, kMeshRolloutField, EncodeRollouts(records));
}

void rollout_coordinator::AddReport(http_fields& fields) const {
  if (!own_server_ || !registry_.IsActive(own_server_->service)) return;
  SetField(fields, kMeshVersionReportField,
           EncodeVersionReport(counter_.Report()));
}

void rollout_coordinator::OnPeerState(const http_fields& fields) {
  const auto* text = FindField(fields, kMeshRolloutField);
  if (text == nullptr) return;
  for (const auto& record : DecodeRollouts(*text)) Merge(record);
}

void rollout_coordinator::OnPeerReport(const http_fields& fields,
                                       const std::string& service) {
  const auto* text = FindField(fields, kMeshVersionReportField);
  if (text == nullptr) return;
  const auto report = DecodeVersionReport(*text);
  if (!report) return;
  comparisons_[service].OnReport(*report);
  Judge(service, MonotonicNow());
}

void rollout_coordinator::OnNotice(incoming_request& request) {
  const auto& fields = request.Head().fields;
  const auto records =
      DecodeRollouts(*FindField(fields, kMeshRolloutNoticeField));
  if (records.size() != 1) {
    request.Respond(
        MakeErrorResponse({error_kind::kInvalidRequest,
                           "a notice needs the state of one roll-out"}),
        nullptr);
    return;
  }
  Merge(records.front());
  incoming_response answer;
  answer.head.status = 204;
  if (const auto* id = FindField(fields, options_.attempt_id_field))
    answer.head.fields.push_back({options_.attempt_id_field, *id});
  SetField(answer.head.fields, kMeshRolloutNoticeField,
           std::to_string(RequestsAtOthers(records.front())));
  request.Respond(std::move(answer), nullptr);
}

std::size_t rollout_coordinator::RequestsAtOthers(
    const rollout_record& record) const {
  const auto found = outstanding_.find(record.order.service);
  if (found == outstanding_.end()) return 0;
  std::size_t count = 0;
  for (const auto& [version, requests] : found->second) {
    if (version != record.order.target_version) count += requests;
  }
  return count;
}

void rollout_coordinator::Merge(const rollout_record& record) {
  const auto& service = record.order.service;
  const auto known = registry_.Find(service, MonotonicNow());
  if (!registry_.Merge(record, MonotonicNow())) return;
  if (!known || !known->order.IsSameAs(record.order)) {
    log_event(log_level::kInfo, "rollout_known")
        .With("service", service)
        .With("target", record.order.target_version)
        .With("created", record.order.created)
        .With("limit_ms",
              static_cast<std::uint64_t>(ToMillis(record.order.time_limit)))
        .With("elapsed_ms",
              static_cast<std::uint64_t>(ToMillis(record.elapsed)))
        .With("replaced", known ? known->order.target_version : "");
    comparisons_.erase(service);
    tasks_.erase(service);
    if (own_server_ && own_server_->service == service) counter_.Clear();
  }
  OnStateChanged(service);
}

void rollout_coordinator::Advance(const std::string& service,
                                  rollout_state state) {
  if (registry_.Advance(service, state, MonotonicNow()))
    OnStateChanged(service);
}

void rollout_coordinator::OnStateChanged(const std::string& service) {
  const auto now = MonotonicNow();
  const auto record = registry_.Find(service, now);
  if (!record) return;
  log_event(log_level::kInfo, "rollout_state")
      .With("service", service)
      .With("target", record->order.target_version)
      .With("state", kRolloutStateNames.Name(record->state))
      .With("elapsed_ms",
            static_cast<std::uint64_t>(ToMillis(record->elapsed)));
  metrics_.SetRolloutState(service, static_cast<int>(record->state));
  auto& work = tasks_[service];
  work.take_over_at = now + kTakeOverTime + RandomPart(kTakeOverTime, random_);
  if (record->state != rollout_state::kSwitching) work.round.reset();
  if (IsFinal(record->state)) {
    work.decided_here = false;
    comparisons_.erase(service);
  }
  options_.on_own_server_changed();
}

std::size_t rollout_coordinator::TargetServersInUse(
    const rollout_record& record) const {
  const auto all = directory_.CountServers(
      record.order.service, {.rule = version_rule::kOnlyTarget,
                             .target_version = record.order.target_version});
  return record.state == rollout_state::kCanary ? std::min(all, kCanaryServers)
                                                : all;
}

void rollout_coordinator::Judge(const std::string& service, instant now) {
  const auto record = registry_.Find(service, now);
  if (!record || record->state > rollout_state::kSwitching) return;
  auto& work = tasks_[service];
  if (now < work.next_judgement) return;
  work.next_judgement = now + kJudgementInterval;
  const auto verdict = comparisons_[service].Judge(record->order.target_version,
                                                   TargetServersInUse(*record));
  if (!verdict.is_bad) return;
  log_event(log_level::kWarning, "rollout_bad")
      .With("service", service)
      .With("target", record->order.target_version)
      .With("reason", verdict.reason)
      .With("responses", verdict.target.responses)
      .With("failures", verdict.target.failures)
      .With("judged_servers",
            static_cast<std::uint64_t>(verdict.judged_servers))
      .With("bad_servers", static_cast<std::uint64_t>(verdict.bad_servers));
  work.decided_here = true;
  Advance(service, rollout_state::kFailed);
  Broadcast(service);
  StoreState(service, rollout_state::kRolledBack);
}

bool rollout_coordinator::IsLeader(instant now) const {
  const auto fastest = directory_.FastestMemberOfAll(now);
  return fastest && fastest->name == options_.member;
}

void rollout_coordinator::Broadcast(const std::string& service) {
  for (const auto& member : directory_.Members()) {
    if (member.name == options_.member) continue;
    Notify(member, service, [](std::optional<std::size_t>) {});
  }
}

std::shared_ptr<exchange> rollout_coordinator::Notify(
    const mesh_member& member, const std::string& service,
    std::function<void(std::optional<std::size_t>)> done) {
  const auto record = registry_.Find(service, MonotonicNow());
  outgoing_request notice;
  notice.head.method = "POST";
  notice.head.target = "/";
  notice.head.fields = {
      {"Host", member.address},
      {std::string(kMeshRolloutNoticeField), EncodeRollouts({*record})},
      {options_.attempt_id_field, "rollout-" + std::to_string(++notices_)}};
  return peers_.Start(
      member.address, std::move(notice),
      {.on_sent = nullptr,
       .on_response = callbacks_.Bind(
           [done = std::move(done)](const result<incoming_response>& answer) {
             if (answer && answer->body) DiscardBody(answer->body, nullptr);
             const auto* text = answer ? FindField(answer->head.fields,
                                                   kMeshRolloutNoticeField)
                                       : nullptr;
             const auto count =
                 text == nullptr ? std::nullopt : ParseNumber(*text);
             if (count) {
               done(static_cast<std::size_t>(*count));
             } else {
               done(std::nullopt);
             }
           })});
}

void rollout_coordinator::Tick(instant now) {
  if (stopped_) return;
  UpdateWatch();
  ReadOwnOrder();
  for (const auto& record : registry_.Records(now)) {
    if (IsFinal(record.state) || record.state == rollout_state::kWithdrawn)
      continue;
    auto& work = tasks_[record.order.service];
    CheckSwitch(record, now);
    if (work.round) ContinueDrain(record, work, now);
    CheckOutcome(record, work, now);
  }
}

void rollout_coordinator::UpdateWatch() {
  const bool wanted = options_.is_designated_reader();
  if (wanted && !watch_) {
    watch_ = std::make_unique<collection_watch>(
        io_, store_, *this,
        collection_watch_options{.collection = store_collection::kRollouts,
                                 .consistency = read_consistency::kLatest,
                                 .wait = kWatchWait},
        random_.Next());
    watch_->Start();
  } else if (!wanted && watch_) {
    watch_->Stop();
    watch_.reset();
  }
}

void rollout_coordinator::CheckSwitch(const rollout_record& record,
                                      instant now) {
  const auto& service = record.order.service;
  if (!registry_.IsSwitchDue(service, now)) return;
  auto& work = tasks_[service];
  if (work.round) return;
  const auto verdict = comparisons_[service].Judge(record.order.target_version,
                                                   TargetServersInUse(record));
  if (verdict.is_bad || verdict.target.responses < kMinTargetResponses) return;
  // Others switch only if the fastest member does not.
  if (!IsLeader(now)) {
    constexpr duration kOthersWait = std::chrono::milliseconds(200);
    if (!work.switch_at)
      work.switch_at = now + kOthersWait + RandomPart(kOthersWait, random_);
    if (now < *work.switch_at) return;
  }
  log_event(log_level::kInfo, "rollout_switch")
      .With("service", service)
      .With("target", record.order.target_version)
      .With("responses", verdict.target.responses)
      .With("failures", verdict.target.failures)
      .With("other_responses", verdict.others.responses)
      .With("other_failures", verdict.others.failures);
  work.decided_here = true;
  Advance(service, rollout_state::kSwitching);
  work.round.emplace();
}

void rollout_coordinator::ContinueDrain(const rollout_record& record,
                                        task& work, instant now) {
  const auto& service = record.order.service;
  std::map<std::string, mesh_member> members;
  std::set<std::string> names;
  for (auto& member : directory_.Members()) {
    names.insert(member.name);
    members.emplace(member.name, std::move(member));
  }
  names.insert(options_.member);
  work.round->SetMembers(names);
  for (auto asked = work.asked_at.begin(); asked != work.asked_at.end();) {
    if (now - asked->second < kNoticeTimeout) {
      ++asked;
      continue;
    }
    if (const auto question = work.questions.extract(asked->first))
      question.mapped()->Cancel();
    work.round->OnNoAnswer(asked->first, now);
    asked = work.asked_at.erase(asked);
  }
  for (const auto& name : work.round->Due(now)) {
    if (name == options_.member) {
      work.round->OnAnswer(name, RequestsAtOthers(record), now);
      continue;
    }
    work.asked_at[name] = now;
    work.questions[name] =
        Notify(members.at(name), service,
               [this, service, name](std::optional<std::size_t> requests) {
                 auto& asking = tasks_[service];
                 asking.asked_at.erase(name);
                 // Kept until the next question: this may run within the
                 // exchange.
                 if (!asking.round) return;
                 if (requests) {
                   asking.round->OnAnswer(name, *requests, MonotonicNow());
                 } else {
                   asking.round->OnNoAnswer(name, MonotonicNow());
                 }
               });
  }
  if (!work.round->IsDrained()) return;
  StoreState(service, rollout_state::kCompleted);
}

void rollout_coordinator::CheckOutcome(const rollout_record& record, task& work,
                                       instant now) {
  const bool may_act = work.decided_here || now >= work.take_over_at;
  if (!may_act) return;
  if (record.state == rollout_state::kFailed) {
    StoreState(record.order.service, rollout_state::kRolledBack);
  } else if (record.state == rollout_state::kSwitching && !work.round) {
    work.round.emplace();
  }
}

void rollout_coordinator::StoreState(const std::string& service,
                                     rollout_state state) {
  auto& work = tasks_[service];
  if (work.calling_store || MonotonicNow() < work.next_store_call) return;
  work.calling_store = true;
  store_.Get(store_collection::kRollouts, service,
             callbacks_.Bind(
                 [this, service, state](const result<watched_object>& object) {
                   OnStatusRead(service, state, object);
                 }));
}

// Every write names the revision that it replaces and follows a read, so that
// an outcome that another daemon has stored is adopted and not overwritten.
void rollout_coordinator::OnStatusRead(const std::string& service,
                                       rollout_state state,
                                       const result<watched_object>& object) {
  auto& work = tasks_[service];
  if (!object) {
    if (object.error().kind == error_kind::kNotFound) {
      work.calling_store = false;
      const auto known = registry_.Find(service, MonotonicNow());
      if (known &&
          registry_.OnAbsent(service, known->revision, MonotonicNow())) {
        OnStateChanged(service);
      }
      return;
    }
    OnStoreFailed(service, object.error());
    return;
  }
  ApplyObject(*object);
  const auto record = registry_.Find(service, MonotonicNow());
  // Merging may have replaced the task.
  auto& current = tasks_[service];
  current.calling_store = false;
  const bool still_holds = record && !IsFinal(record->state) &&
                           (state == rollout_state::kCanary ||
                            (state == rollout_state::kRolledBack &&
                             record->state == rollout_state::kFailed) ||
                            (state == rollout_state::kCompleted &&
                             record->state == rollout_state::kSwitching));
  if (!still_holds) return;
  current.calling_store = true;
  auto replaced = *object;
  replaced.status = format_.EncodeStatus(
      {.target_version = record->order.target_version, .state = state});
  store_.ReplaceStatus(
      store_collection::kRollouts, replaced,
      callbacks_.Bind(
          [this, service, state](const result<watched_object>& written) {
            tasks_[service].calling_store = false;
            if (!written) {
              // A lost answer, or another writer: read again.
              OnStoreFailed(service, written.error());
              return;
            }
            tasks_[service].store_failures = 0;
            log_event(log_level::kInfo, "rollout_stored")
                .With("service", service)
                .With("state", kRolloutStateNames.Name(state))
                .With("revision", written->revision.number);
            Advance(service, state);
          }));
}

void rollout_coordinator::OnStoreFailed(const std::string& service,
                                        const error& failure) {
  auto& work = tasks_[service];
  work.calling_store = false;
  work.next_store_call =
      MonotonicNow() + JitteredBackoff(kStoreRetryPause, kMaxStoreRetryPause,
                                       work.store_failures++, random_);
  log_event(log_level::kInfo, "rollout_not_stored")
      .With("service", service)
      .With("reason", failure.message);
}

void rollout_coordinator::ApplyObject(const watched_object& object) {
  auto order = format_.DecodeOrder(object.spec);
  if (!order || order->service != object.name) {
    log_event(log_level::kError, "rollout_ignored")
        .With("object", object.name)
        .With("revision", object.revision.number)
        .With("reason",
              order ? "the object names another service: " + order->service
                    : order.error().message);
    return;
  }
  order->created = object.created;
  rollout_record record{.order = std::move(*order),
                        .revision = object.revision.number};
  const auto status = format_.DecodeStatus(object.status);
  if (status && status->target_version == record.order.target_version)
    record.state = status->state;
  Merge(record);
  // Whoever reads an order first says that it is being carried out.
  if (!status && IsLeader(MonotonicNow()) &&
      !tasks_[record.order.service].calling_store) {
    StoreState(record.order.service, rollout_state::kCanary);
  }
}

void rollout_coordinator::OnListed(const object_listing& listing) {
  std::set<std::string> services;
  for (const auto& object : listing.objects) {
    services.insert(object.name);
    ApplyObject(object);
  }
  for (const auto& record : registry_.Records(MonotonicNow())) {
    const auto& service = record.order.service;
    if (!services.contains(service) &&
        registry_.OnAbsent(service, listing.revision.number, MonotonicNow())) {
      OnStateChanged(service);
    }
  }
}

// Orders that the copy lacks may be written again.
void rollout_coordinator::OnRestored(const object_listing& listing) {
  for (const auto& object : listing.objects) ApplyObject(object);
}

void rollout_coordinator::OnChanged(const object_change& change) {
  if (!change.deleted) {
    ApplyObject(change.object);
  } else if (registry_.OnAbsent(change.object.name,
                                change.object.revision.number,
                                MonotonicNow())) {
    OnStateChanged(change.object.name);
  }
}

void rollout_coordinator::OnOwnServer(
    const std::optional<offered_server>& server) {
  if (server == own_server_) return;
  own_server_ = server;
  own_server_cleared_ = false;
  own_server_since_ = MonotonicNow();
  next_own_read_ = own_server_since_;
  if (!server) return;
  counter_.SetServer(server->instance, server->version, own_server_since_);
  ReadOwnOrder();
}

bool rollout_coordinator::IsCleared(const offered_server& server) const {
  return own_server_cleared_ && own_server_ == server;
}

void rollout_coordinator::ClearOwnServer() {
  own_server_cleared_ = true;
  options_.on_own_server_changed();
}

// A daemon that offered its server before it knows the order of the service
// would expose all requests to a version that is to be tried out.
void rollout_coordinator::ReadOwnOrder() {
  if (!own_server_ || own_server_cleared_ || reading_own_order_) return;
  const auto now = MonotonicNow();
  // Others have read the order already if they offer the same version.
  const auto same = directory_.CountServers(
      own_server_->service, {.rule = version_rule::kOnlyTarget,
                             .target_version = own_server_->version});
  if (same > 0 || now - own_server_since_ > kMaxClearanceTime) {
    ClearOwnServer();
    return;
  }
  if (now < next_own_read_) return;
  reading_own_order_ = true;
  store_.Get(store_collection::kRollouts, own_server_->service,
             callbacks_.Bind([this, service = own_server_->service](
                                 const result<watched_object>& object) {
               reading_own_order_ = false;
               if (!object && object.error().kind != error_kind::kNotFound) {
                 next_own_read_ = MonotonicNow() + kStoreRetryPause +
                                  RandomPart(kMaxStoreRetryPause, random_);
                 return;
               }
               if (object) ApplyObject(*object);
               if (own_server_ && own_server_->service == service)
                 ClearOwnServer();
             }));
}

bool rollout_coordinator::MayRun(const offered_server& server) const {
  return registry_.MayRun(server.service, server.version, MonotonicNow());
}

void rollout_coordinator::OnOwnResponse(const std::string& route, bool failed,
                                        std::optional<duration> run_time) {
  counter_.OnResponse(route, failed, run_time, MonotonicNow());
}

std::optional<rollout_record> rollout_coordinator::OrderOf(
    const offered_server& server) const {
  const auto record = registry_.Find(server.service, MonotonicNow());
  if (!record || record->order.target_version != server.version)
    return std::nullopt;
  // The record changes only with the order: its state travels on messages.
  return rollout_record{.order = record->order,
                        .revision = record->order.created,
                        .state = rollout_state::kCanary,
                        .elapsed = duration(0)};
}

}  // namespace pomelohall
