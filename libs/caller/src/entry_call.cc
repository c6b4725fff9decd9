#include "entry_call.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/system/error_code.hpp>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "backend/buffered_body.h"
#include "caller/error_response.h"
#include "caller/observed_body.h"
#include "key_claim_client.h"
#include "owner_dispatcher.h"

namespace pomelohall {
namespace {

// Longest deadline that callers may request: 1 h.
constexpr std::uint64_t kMaxDeadlineMs = 3'600'000;
// Limit of an error body of a daemon; actual ones are far smaller.
constexpr std::size_t kMaxErrorBodyBytes = 4096;
// Calls are nested at most 16 daemons deep; the attempt numbers of all levels
// add up.
constexpr std::uint64_t kMaxAttempt = 1'000;

std::string ToHex(std::uint64_t value) {
  std::array<char, 16> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
  return {digits.data(), end.ptr};
}

// Parses the number in a header field. Returns `fallback` if there is no such
// field.
result<std::uint64_t> ParseNumberField(const http_fields& fields,
                                       std::string_view name,
                                       std::uint64_t fallback,
                                       std::uint64_t max) {
  const auto* text = FindField(fields, name);
  if (text == nullptr) return fallback;
  const auto value = ParseNumber(*text);
  if (value && *value <= max) return *value;
  return Fail(error_kind::kInvalidRequest,
              std::string(name) + " is \"" + *text +
                  "\"; it must be an integer from 0 to " + std::to_string(max));
}

// Returns the message of a JSON error body.
std::string ParseErrorMessage(const std::string& body) {
  const auto value = nlohmann::json::parse(body, nullptr, false);
  const bool found = value.is_object() && value.contains("message") &&
                     value["message"].is_string();
  return found ? value["message"].get<std::string>()
               : std::string("the owner daemon returned an error");
}

std::string_view StripQuery(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

entry_call::entry_call(context_ptr context,
                       std::shared_ptr<incoming_request> request)
    : context_(std::move(context)),
      request_(std::move(request)),
      request_head_(request_->Head()),
      call_id_(context_->NewCallId()),
      timer_(context_->io) {
  context_->entry_calls.insert(this);
}

entry_call::~entry_call() { context_->entry_calls.erase(this); }

void entry_call::Start() {
  request_->SetDisconnectHandler([call = weak_from_this()] {
    if (const auto self = call.lock()) self->OnCallerDisconnected();
  });
  if (const auto prepared = Prepare(); !prepared) {
    RespondWithError(prepared.error());
    return;
  }
  const auto body = request_->Body();
  if (!body) {
    buffered_body_ = std::make_shared<const std::string>();
    StartCall({});
    return;
  }
  ReadBodyPrefix(body, kMaxBufferedBodyBytes,
                 [self = shared_from_this()](result<body_prefix> prefix) {
                   self->OnBodyPrefix(std::move(prefix));
                 });
}

result<void> entry_call::Prepare() {
  if (auto parsed = ParseFields(); !parsed) return parsed;
  snapshot_ = context_->snapshot;
  if (!snapshot_) {
    return tl::unexpected(error(error_kind::kConfigUnknown,
                                "this daemon has no configuration yet",
                                OutcomeBeforeGrant()));
  }
  const auto found = FindClass(*snapshot_, request_head_.method,
                               StripQuery(request_head_.target));
  if (!found) return tl::unexpected(found.error());
  class_ = *found;
  service_ = snapshot_->services[class_->service].name;
  return {};
}

result<void> entry_call::ParseFields() {
  auto& fields = request_head_.fields;
  if (const auto* id = FindField(fields, kCallIdField)) caller_call_id_ = *id;
  if (const auto* key = FindField(fields, kIdempotencyKeyField)) key_ = *key;
  const auto default_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          context_->options.default_deadline)
          .count());
  const auto deadline_ms =
      ParseNumberField(fields, kDeadlineField, default_ms, kMaxDeadlineMs);
  if (!deadline_ms) return tl::unexpected(deadline_ms.error());
  const auto attempt = ParseNumberField(fields, kAttemptField, 0, kMaxAttempt);
  if (!attempt) return tl::unexpected(attempt.error());
  deadline_ = request_->ReceivedAt() + std::chrono::milliseconds(*deadline_ms);
  inbound_attempt_ = static_cast<std::uint32_t>(*attempt);
  RemoveHopByHopFields(fields);
  RemovePomelohallFields(fields);
  return {};
}

void entry_call::OnBodyPrefix(result<body_prefix> prefix) {
  if (responded_) return;  // EndForStop() has refused the request.
  if (!prefix) {
    RespondWithError(
        {prefix.error().kind, prefix.error().message, run_state::kNotRun});
    return;
  }
  if (prefix->complete) {
    buffered_body_ = prefix->bytes;
    request_head_.framing =
        buffered_body_->empty() ? body_framing::kNone : body_framing::kLength;
    request_head_.length = buffered_body_->size();
  } else {
    streamed_body_ =
        std::make_shared<prefixed_body>(prefix->bytes, request_->Body());
  }
  StartCall(*prefix->bytes);
}

void entry_call::StartCall(std::string_view prefix) {
  // The length of a streamed chunked body is not known in advance.
  const auto length =
      streamed_body_ && request_head_.framing == body_framing::kChunked
          ? std::numeric_limits<std::uint64_t>::max()
          : request_head_.length;
  fingerprint_ = RequestFingerprint(request_head_.method, request_head_.target,
                                    length, prefix);
  state_machine_.emplace(call_request{.service = service_,
                                      .work_class = class_->definition.name,
                                      .kind = class_->definition.kind,
                                      .call_id = call_id_,
                                      .inbound_attempt = inbound_attempt_,
                                      .has_idempotency_key = !key_.empty(),
                                      .deadline = deadline_},
                         context_->options.call, context_->selector,
                         context_->retries);
  if (context_->stop) LimitToStop();
  RunActions(state_machine_->Start(MonotonicNow()));
}

void entry_call::LimitToStop() {
  // StartCall() applies the limit if the request is still incomplete.
  if (!state_machine_) return;
  deadline_ = std::min(deadline_, context_->stop->request_deadline);
  state_machine_->LimitDeadline(deadline_);
  for (const auto& [number, entry] : attempts_) {
    if (entry.body) entry.body->LimitDeadline(context_->stop->body_deadline);
  }
  ScheduleTimer();
}

void entry_call::EndForStop() {
  // An error that was sent without a state machine may still wait for earlier
  // responses of the connection.
  if (responded_) return;
  if (!state_machine_) {
    RespondWithError({error_kind::kDraining,
                      "the daemon stops, and the request is incomplete",
                      OutcomeBeforeGrant()});
  } else if (waiting_for_release_) {
    // The response is due. Until the key is released, the caller is told that
    // its outcome is unknown if it sends the request again.
    waiting_for_release_ = false;
    RunActions({});
  }
}

run_state entry_call::OutcomeBeforeGrant() const {
  const bool safe = class_ != nullptr && IsIdempotent(class_->definition.kind);
  return key_.empty() || safe ? run_state::kNotRun : run_state::kUnknown;
}

void entry_call::RunActions(call_state_machine::actions actions) {
  for (auto& action : actions) actions_.push_back(std::move(action));
  if (running_actions_ || waiting_for_release_) return;
  const auto keep_alive = shared_from_this();
  running_actions_ = true;
  while (!actions_.empty() && !waiting_for_release_) {
    const auto action = std::move(actions_.front());
    actions_.pop_front();
    RunAction(action);
  }
  running_actions_ = false;
  ScheduleTimer();
}

void entry_call::RunAction(const call_action& action) {
  switch (action.kind) {
    case call_action_kind::kAskGrant:
      AskGrant();
      break;
    case call_action_kind::kSend:
      Send(action.attempt, *action.server);
      break;
    case call_action_kind::kCancelAttempt:
      CancelAttempt(action.attempt);
      break;
    case call_action_kind::kAnswerError:
      RespondWithError(*action.failure);
      break;
    case call_action_kind::kAnswerKept:
      RespondWithStoredResponse(*action.response);
      break;
    case call_action_kind::kDeliver:
      Deliver(action.attempt);
      break;
    case call_action_kind::kCompleteKey:
      CompleteKey(std::move(attempts_[action.attempt].stored));
      break;
    case call_action_kind::kCompleteKeyNotKept:
      CompleteKey({.complete = false});
      break;
    case call_action_kind::kReleaseKey:
      ReleaseKey();
      break;
    case call_action_kind::kEndDelivery:
    case call_action_kind::kAbortDelivery:
      break;  // The observed body has already passed the end to the caller.
  }
}

void entry_call::AskGrant() {
  context_->key_claims->Grant(
      context_, key_, call_id_,
      [self = shared_from_this()](const grant_result& grant) {
        self->RunActions(self->state_machine_->OnGrant(grant, MonotonicNow()));
      });
}

void entry_call::Send(std::uint32_t number, const server_entry& server) {
  ++context_->counters.attempts;
  auto& entry = attempts_[number];
  entry = {};
  if (const auto refusal = RefusalBeforeSending()) {
    RunActions(state_machine_->OnRefused(number, *refusal, MonotonicNow()));
    return;
  }
  auto request = BuildRequest(number);
  if (server.member == context_->options.member) {
    SendToOwner(number, std::move(request));
  } else {
    SendToPeer(number, server, std::move(request));
  }
}

std::optional<error> entry_call::RefusalBeforeSending() const {
  if (streamed_body_ && streamed_body_->Consumed()) {
    // kCancelled is neither counted against a server nor retried.
    return error(error_kind::kCancelled,
                 "the request body was already sent and is not buffered",
                 run_state::kNotRun);
  }
  const auto verdict =
      context_->quarantine.Check(service_, fingerprint_, MonotonicNow());
  if (verdict != quarantine_verdict::kRefuse) return std::nullopt;
  return error(error_kind::kPoisonSuspected,
               "this request crashed backend servers", run_state::kNotRun);
}

outgoing_request entry_call::BuildRequest(std::uint32_t number) const {
  outgoing_request request;
  request.head = request_head_;
  auto& fields = request.head.fields;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline_ - MonotonicNow());
  const auto add = [&fields](std::string_view name, std::string value) {
    fields.push_back({std::string(name), std::move(value)});
  };
  add(kCallIdField, call_id_);
  add(kDeadlineField, std::to_string(std::max<std::int64_t>(left.count(), 0)));
  add(kAttemptField, std::to_string(state_machine_->AttemptHeader(number)));
  if (streamed_body_) {
    request.body = streamed_body_;
  } else if (!buffered_body_->empty()) {
    request.body = std::make_shared<buffered_body>(buffered_body_);
  }
  return request;
}

void entry_call::SendToOwner(std::uint32_t number, outgoing_request request) {
  owner_request call{.request = std::move(request),
                     .service = service_,
                     .work_class = class_->definition.name,
                     .kind = class_->definition.kind,
                     .fingerprint = fingerprint_,
                     .deadline = deadline_};
  attempts_[number].call = context_->dispatcher->Start(
      context_, std::move(call), MakeEvents(number, true));
}

void entry_call::SendToPeer(std::uint32_t number, const server_entry& server,
                            outgoing_request request) {
  auto& fields = request.head.fields;
  fields.push_back({std::string(kClassField), class_->definition.name});
  fields.push_back({std::string(kFingerprintField), ToHex(fingerprint_)});
  const auto verdict =
      context_->quarantine.Check(service_, fingerprint_, MonotonicNow());
  if (verdict == quarantine_verdict::kExclusive) {
    fields.push_back({std::string(kSuspectField),
                      std::string(SuspectStateName(suspect_state::kSuspect))});
  }
  attempts_[number].call = context_->peers.Start(
      server.forward_address, std::move(request), MakeEvents(number, false));
}

exchange_events entry_call::MakeEvents(std::uint32_t number, bool local) {
  return {.on_sent = [self = shared_from_this(),
                      number] { self->state_machine_->OnSent(number); },
          .on_response =
              [self = shared_from_this(), number,
               local](result<incoming_response> response) {
                self->OnResponse(number, local, std::move(response));
              }};
}

void entry_call::CancelAttempt(std::uint32_t number) {
  // The entry in attempts_ stays for events that still arrive.
  if (const auto call = attempts_[number].call) call->Cancel();
}

void entry_call::OnResponse(std::uint32_t number, bool local,
                            result<incoming_response> response) {
  if (!response) {
    OnFailure(number, local, response.error());
    return;
  }
  if (!local && FindField(response->head.fields, kErrorField) != nullptr) {
    OnOwnerError(number, response->head, response->body);
    return;
  }
  const auto* echoed = FindField(response->head.fields, kCallIdField);
  // The local owner has already checked the call ID that the backend server
  // echoed.
  const std::string call_id =
      local ? call_id_ : (echoed == nullptr ? std::string() : *echoed);
  RemoveHopByHopFields(response->head.fields);
  RemovePomelohallFields(response->head.fields);
  auto& entry = attempts_[number];
  if (response->body) {
    entry.body = time_limited_body::Create(
        context_->io, std::move(response->body),
        {.deadline =
             context_->stop ? context_->stop->body_deadline : instant::max()});
  }
  entry.stored.status = response->head.status;
  for (const auto& field : response->head.fields) {
    entry.stored.headers.emplace_back(field.name, field.value);
  }
  entry.head = std::move(response->head);
  RunActions(
      state_machine_->OnResponseStarted(number, call_id, MonotonicNow()));
  if (call_id != call_id_) {
    CancelAttempt(number);
  } else if (!entry.delivering) {
    DrainResponse(number);
  }
}

// With `from_owner`, the owner reported whether the request ran. Otherwise the
// error comes from the connection pool, which knows the request did not run
// only if no byte was written.
void entry_call::OnFailure(std::uint32_t number, bool from_owner,
                           const error& failure) {
  last_failure_ = failure;
  const auto now = MonotonicNow();
  if (from_owner || failure.ran == run_state::kNotRun) {
    RunActions(state_machine_->OnRefused(number, failure, now));
  } else {
    RunActions(state_machine_->OnConnectionFailed(number, failure.kind, now));
  }
}

void entry_call::OnOwnerError(std::uint32_t number, const response_head& head,
                              const std::shared_ptr<body_source>& body) {
  ApplySuspect(head);
  auto failure = *ErrorFromResponse(head);
  if (!body) {
    OnFailure(number, true, failure);
    return;
  }
  ReadBodyPrefix(body, kMaxErrorBodyBytes,
                 [self = shared_from_this(), number,
                  failure](const result<body_prefix>& prefix) mutable {
                   if (prefix)
                     failure.message = ParseErrorMessage(*prefix->bytes);
                   self->OnFailure(number, true, failure);
                 });
}

void entry_call::ApplySuspect(const response_head& head) {
  const auto* name = FindField(head.fields, kSuspectField);
  const auto state = name == nullptr ? std::nullopt : FindSuspectState(*name);
  if (!state) return;
  context_->quarantine.Apply({service_, fingerprint_, *state}, MonotonicNow());
}

void entry_call::Deliver(std::uint32_t number) {
  auto& entry = attempts_[number];
  entry.delivering = true;
  incoming_response response{std::move(*entry.head), nullptr};
  if (!entry.body) {
    OnEnded(number);
  } else {
    response.body = std::make_shared<observed_body>(
        entry.body,
        [self = shared_from_this(), number](
            result<body_part> part, const body_source::callback& pass_on) {
          self->OnPart(number, std::move(part), pass_on);
        },
        [self = shared_from_this(), number](bool read_pending) {
          self->attempts_[number].delivering = false;
          self->OnCallerDisconnected();
          if (!read_pending) self->DrainResponse(number);
        });
  }
  SetField(response.head.fields, kOutcomeField,
           std::string(RunStateName(run_state::kRan)));
  SendResponse(std::move(response), run_state::kRan, std::nullopt);
}

void entry_call::OnPart(std::uint32_t number, result<body_part> part,
                        const body_source::callback& pass_on) {
  if (!IsRunning(number)) return;
  if (!part) {
    RunActions(state_machine_->OnResponseTruncated(number, MonotonicNow()));
    pass_on(std::move(part));
    return;
  }
  auto& entry = attempts_[number];
  AppendStoredBody(entry.stored, part->bytes);
  if (part->last) OnEnded(number);
  if (!entry.delivering && !part->last) {
    DrainResponse(number);
  } else {
    pass_on(std::move(part));
  }
}

void entry_call::OnEnded(std::uint32_t number) {
  RunActions(state_machine_->OnResponseEnded(number, MonotonicNow()));
}

// Reads a response that is no longer delivered, because the state machine needs
// its outcome.
void entry_call::DrainResponse(std::uint32_t number) {
  if (!IsRunning(number)) return;
  const auto body = attempts_[number].body;
  if (!body) {
    OnEnded(number);
    return;
  }
  body->Read([self = shared_from_this(), number](result<body_part> part) {
    self->OnPart(number, std::move(part), [](const result<body_part>&) {});
  });
}

void entry_call::AppendStoredBody(stored_response& stored,
                                  std::string_view bytes) const {
  if (key_.empty() || !stored.complete) return;
  if (stored.body.size() + bytes.size() > kMaxStoredBodyBytes) {
    stored.complete = false;
    stored.body.clear();
    return;
  }
  stored.body.append(bytes);
}

bool entry_call::IsRunning(std::uint32_t number) const {
  return state_machine_ && !state_machine_->Finished() &&
         attempts_.contains(number);
}

void entry_call::CompleteKey(stored_response stored) {
  context_->key_claims->Complete(context_, key_, call_id_, std::move(stored));
}

void entry_call::ReleaseKey() {
  // The key must be free before the caller receives "not run", because the
  // caller may then resend immediately.
  waiting_for_release_ = true;
  context_->key_claims->Release(context_, key_, call_id_,
                                [self = shared_from_this()] {
                                  self->waiting_for_release_ = false;
                                  self->RunActions({});
                                });
}

void entry_call::ScheduleTimer() {
  auto next = state_machine_->NextTimer();
  if (!next) next = detached_until_;
  if (state_machine_->Finished()) next.reset();
  if (next == timer_at_) return;
  timer_at_ = next;
  if (!next) {
    timer_.cancel();
    return;
  }
  timer_.expires_at(*next);
  timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code cancelled) {
        if (!cancelled) self->OnTimer();
      });
}

void entry_call::OnTimer() {
  timer_at_.reset();
  const auto now = MonotonicNow();
  if (detached_until_ && now >= *detached_until_) {
    AbandonAttempts();
  } else {
    RunActions(state_machine_->OnTimer(now));
  }
}

// Cancels attempts whose outcome did not arrive in time and remains unknown.
void entry_call::AbandonAttempts() {
  for (const auto& [number, entry] : attempts_) {
    CancelAttempt(number);
    RunActions(state_machine_->OnConnectionFailed(
        number, error_kind::kDeadlineExceeded, MonotonicNow()));
  }
}

void entry_call::OnCallerDisconnected() {
  if (!state_machine_)
    return;  // The pending read of the request body reports it.
  StartDetachedTimeout();
  ReportObservation({}, run_state::kUnknown, error_kind::kCancelled);
  RunActions(state_machine_->OnCallerDisconnected(MonotonicNow()));
}

void entry_call::StartDetachedTimeout() {
  if (!detached_until_) {
    detached_until_ = MonotonicNow() + context_->options.detached_call_timeout;
  }
}

void entry_call::RespondWithError(error failure) {
  if (failure.kind == error_kind::kCancelled && last_failure_) {
    // The retry was not possible: report the failure that caused it.
    failure.kind = last_failure_->kind;
    failure.message = last_failure_->message;
  }
  StartDetachedTimeout();
  SendResponse(MakeErrorResponse(failure), failure.ran, failure.kind);
}

void entry_call::RespondWithStoredResponse(const stored_response& stored) {
  auto response = MakeTextResponse(stored.status, {}, stored.body);
  response.head.fields.clear();
  for (const auto& [name, value] : stored.headers) {
    response.head.fields.push_back({name, value});
  }
  SetField(response.head.fields, kOutcomeField,
           std::string(RunStateName(run_state::kRan)));
  StartDetachedTimeout();
  SendResponse(std::move(response), run_state::kRan, std::nullopt);
}

void entry_call::SendResponse(incoming_response response, run_state ran,
                              std::optional<error_kind> failure) {
  SetField(response.head.fields, kCallIdField,
           caller_call_id_.empty() ? call_id_ : caller_call_id_);
  responded_ = true;
  request_->Respond(
      std::move(response),
      [self = shared_from_this(), ran, failure](response_write_result written) {
        self->ReportObservation(written, ran, failure);
      });
}

void entry_call::ReportObservation(const response_write_result& written,
                                   run_state ran,
                                   std::optional<error_kind> failure) {
  if (std::exchange(observation_reported_, true)) return;
  auto& counters = context_->counters;
  ++counters.calls;
  if (failure) ++counters.errors[static_cast<std::size_t>(*failure)];
  if (class_ == nullptr || !context_->options.on_observation) return;
  const auto& definition = class_->definition;
  context_->options.on_observation(
      {.work_class = definition.name,
       .kind = definition.kind,
       .target = definition.target,
       .elapsed = MonotonicNow() - request_->ReceivedAt(),
       .body_bytes = written.body_bytes,
       .whole_answer = written.complete && !failure,
       .ran = ran,
       .failure = failure});
}

}  // namespace pomelohall
