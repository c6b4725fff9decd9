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
#include "caller/error_answer.h"
#include "caller/observed_body.h"
#include "key_home.h"
#include "owner.h"

namespace pomelohall {
namespace {

// Longest deadline that callers may set: 1 h.
constexpr std::uint64_t kMaxDeadlineMs = 3'600'000;
// Error bodies of daemons are far smaller.
constexpr std::size_t kMaxErrorBodyBytes = 4096;
// Calls are at most 16 daemons deep; the attempts of all of them add up.
constexpr std::uint64_t kMaxAttempt = 1'000;

std::string Hex(std::uint64_t value) {
  std::array<char, 16> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
  return {digits.data(), end.ptr};
}

// Reads a number from a header field; `fallback` if the field is absent.
result<std::uint64_t> NumberField(const http_fields& fields,
                                  std::string_view name, std::uint64_t fallback,
                                  std::uint64_t max) {
  const auto* text = FindField(fields, name);
  if (text == nullptr) return fallback;
  const auto value = ParseNumber(*text);
  if (value && *value <= max) return *value;
  return Fail(error_kind::kInvalidRequest,
              std::string(name) + " is \"" + *text +
                  "\"; allowed are whole numbers from 0 to " +
                  std::to_string(max));
}

// Message of a JSON error body.
std::string MessageOf(const std::string& body) {
  const auto value = nlohmann::json::parse(body, nullptr, false);
  const bool found = value.is_object() && value.contains("message") &&
                     value["message"].is_string();
  return found ? value["message"].get<std::string>()
               : std::string("the owner daemon answered with an error");
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

entry_call::entry_call(context_ptr context,
                       std::shared_ptr<incoming_request> request)
    : context_(std::move(context)),
      request_(std::move(request)),
      head_(request_->Head()),
      call_id_(context_->NewCallId()),
      timer_(context_->io) {
  ++context_->entry_calls;
}

entry_call::~entry_call() { --context_->entry_calls; }

void entry_call::Start() {
  request_->SetDisconnectHandler([call = weak_from_this()] {
    if (const auto self = call.lock()) self->OnCallerGone();
  });
  if (const auto prepared = Prepare(); !prepared) {
    AnswerError(prepared.error());
    return;
  }
  const auto body = request_->Body();
  if (!body) {
    buffered_ = std::make_shared<const std::string>();
    Begin({});
    return;
  }
  ReadBodyStart(body, kMaxBufferedBodyBytes,
                [self = shared_from_this()](result<body_start> start) {
                  self->OnBodyStart(std::move(start));
                });
}

result<void> entry_call::Prepare() {
  if (auto parsed = ParseFields(); !parsed) return parsed;
  snapshot_ = context_->current;
  if (!snapshot_) {
    return Fail(error_kind::kConfigUnknown,
                "this daemon has no configuration in force yet");
  }
  const auto found = FindClass(*snapshot_, head_.method, PathOf(head_.target));
  if (!found) return tl::unexpected(found.error());
  class_ = *found;
  service_ = snapshot_->services[class_->service].name;
  return {};
}

result<void> entry_call::ParseFields() {
  auto& fields = head_.fields;
  if (const auto* id = FindField(fields, kCallIdField)) caller_call_id_ = *id;
  if (const auto* key = FindField(fields, kIdempotencyKeyField)) key_ = *key;
  const auto default_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          context_->options.default_deadline)
          .count());
  const auto deadline_ms =
      NumberField(fields, kDeadlineField, default_ms, kMaxDeadlineMs);
  if (!deadline_ms) return tl::unexpected(deadline_ms.error());
  const auto attempt = NumberField(fields, kAttemptField, 0, kMaxAttempt);
  if (!attempt) return tl::unexpected(attempt.error());
  deadline_ = request_->ReceivedAt() + std::chrono::milliseconds(*deadline_ms);
  inbound_attempt_ = static_cast<std::uint32_t>(*attempt);
  RemoveHopFields(fields);
  RemoveMeshFields(fields);
  return {};
}

void entry_call::OnBodyStart(result<body_start> start) {
  if (!start) {
    AnswerError(
        {start.error().kind, start.error().message, run_state::kNotRun});
    return;
  }
  if (start->whole) {
    buffered_ = start->bytes;
    head_.framing =
        buffered_->empty() ? body_framing::kNone : body_framing::kLength;
    head_.length = buffered_->size();
  } else {
    streamed_ = std::make_shared<prefixed_body>(start->bytes, request_->Body());
  }
  Begin(*start->bytes);
}

void entry_call::Begin(std::string_view body_start) {
  // The length of a large chunked body is not known in advance.
  const auto length = streamed_ && head_.framing == body_framing::kChunked
                          ? std::numeric_limits<std::uint64_t>::max()
                          : head_.length;
  fingerprint_ =
      RequestFingerprint(head_.method, head_.target, length, body_start);
  plan_.emplace(plan_request{.service = service_,
                             .work_class = class_->definition.name,
                             .kind = class_->definition.kind,
                             .call_id = call_id_,
                             .inbound_attempt = inbound_attempt_,
                             .has_idempotency_key = !key_.empty(),
                             .deadline = deadline_},
                context_->options.plan, context_->selector, context_->retries);
  Run(plan_->Start(MonotonicNow()));
}

void entry_call::Run(call_plan::actions actions) {
  for (auto& action : actions) actions_.push_back(std::move(action));
  if (running_actions_ || waiting_for_release_) return;
  const auto keep_alive = shared_from_this();
  running_actions_ = true;
  while (!actions_.empty() && !waiting_for_release_) {
    const auto action = std::move(actions_.front());
    actions_.pop_front();
    RunOne(action);
  }
  running_actions_ = false;
  ScheduleTimer();
}

void entry_call::RunOne(const plan_action& action) {
  switch (action.kind) {
    case plan_action_kind::kAskGrant:
      AskGrant();
      break;
    case plan_action_kind::kSend:
      Send(action.attempt, *action.server);
      break;
    case plan_action_kind::kCancelAttempt:
      CancelAttempt(action.attempt);
      break;
    case plan_action_kind::kAnswerError:
      AnswerError(*action.failure);
      break;
    case plan_action_kind::kAnswerKept:
      AnswerKept(*action.answer);
      break;
    case plan_action_kind::kDeliver:
      Deliver(action.attempt);
      break;
    case plan_action_kind::kCompleteKey:
      CompleteKey(std::move(attempts_[action.attempt].kept));
      break;
    case plan_action_kind::kCompleteKeyNotKept:
      CompleteKey({.complete = false});
      break;
    case plan_action_kind::kReleaseKey:
      ReleaseKey();
      break;
    case plan_action_kind::kEndDelivery:
    case plan_action_kind::kAbortDelivery:
      break;  // The delivered body itself shows how it ended.
  }
}

void entry_call::AskGrant() {
  context_->keys->Grant(
      context_, key_, call_id_,
      [self = shared_from_this()](const grant_result& grant) {
        self->Run(self->plan_->OnGrant(grant, MonotonicNow()));
      });
}

void entry_call::Send(std::uint32_t number, const server_entry& server) {
  ++context_->counters.attempts;
  auto& entry = attempts_[number];
  entry = {};
  if (const auto refusal = RefusalBeforeSending()) {
    Run(plan_->OnRefused(number, *refusal, MonotonicNow()));
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
  if (streamed_ && streamed_->Consumed()) {
    // Of all kinds, this one blames no server and is not retried.
    return error(error_kind::kCancelled,
                 "the request body was sent already and is not kept",
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
  request.head = head_;
  auto& fields = request.head.fields;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline_ - MonotonicNow());
  const auto add = [&fields](std::string_view name, std::string value) {
    fields.push_back({std::string(name), std::move(value)});
  };
  add(kCallIdField, call_id_);
  add(kDeadlineField, std::to_string(std::max<std::int64_t>(left.count(), 0)));
  add(kAttemptField, std::to_string(plan_->AttemptHeader(number)));
  if (streamed_) {
    request.body = streamed_;
  } else if (!buffered_->empty()) {
    request.body = std::make_shared<buffered_body>(buffered_);
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
  attempts_[number].call = context_->owner_side->Start(
      context_, std::move(call), EventsOf(number, true));
}

void entry_call::SendToPeer(std::uint32_t number, const server_entry& server,
                            outgoing_request request) {
  auto& fields = request.head.fields;
  fields.push_back({std::string(kClassField), class_->definition.name});
  fields.push_back({std::string(kFingerprintField), Hex(fingerprint_)});
  const auto verdict =
      context_->quarantine.Check(service_, fingerprint_, MonotonicNow());
  if (verdict == quarantine_verdict::kExclusive) {
    fields.push_back({std::string(kSuspectField),
                      std::string(SuspectStateName(suspect_state::kSuspect))});
  }
  attempts_[number].call = context_->peers.Start(
      server.forward_address, std::move(request), EventsOf(number, false));
}

exchange_events entry_call::EventsOf(std::uint32_t number, bool local) {
  return {.on_sent = [self = shared_from_this(),
                      number] { self->plan_->OnSent(number); },
          .on_answer =
              [self = shared_from_this(), number,
               local](result<incoming_answer> answer) {
                self->OnAnswer(number, local, std::move(answer));
              }};
}

void entry_call::CancelAttempt(std::uint32_t number) {
  // The entry stays, for an attempt that is answered later.
  if (const auto call = attempts_[number].call) call->Cancel();
}

void entry_call::OnAnswer(std::uint32_t number, bool local,
                          result<incoming_answer> answer) {
  if (!answer) {
    OnFailure(number, local, answer.error());
    return;
  }
  if (!local && FindField(answer->head.fields, kErrorField) != nullptr) {
    OnOwnerError(number, answer->head, answer->body);
    return;
  }
  const auto* echoed = FindField(answer->head.fields, kCallIdField);
  // The local owner has checked the echo of the backend server.
  const std::string call_id =
      local ? call_id_ : (echoed == nullptr ? std::string() : *echoed);
  RemoveHopFields(answer->head.fields);
  RemoveMeshFields(answer->head.fields);
  auto& entry = attempts_[number];
  entry.body = std::move(answer->body);
  entry.kept.status = answer->head.status;
  for (const auto& field : answer->head.fields) {
    entry.kept.headers.emplace_back(field.name, field.value);
  }
  entry.head = std::move(answer->head);
  Run(plan_->OnResponseStarted(number, call_id, MonotonicNow()));
  if (call_id != call_id_) {
    CancelAttempt(number);
  } else if (!entry.delivering) {
    Drain(number);
  }
}

// `from_owner` tells that the owner itself said whether the request ran; the
// pool knows it only if no byte was written.
void entry_call::OnFailure(std::uint32_t number, bool from_owner,
                           const error& failure) {
  last_failure_ = failure;
  const auto now = MonotonicNow();
  if (from_owner || failure.ran == run_state::kNotRun) {
    Run(plan_->OnRefused(number, failure, now));
  } else {
    Run(plan_->OnConnectionFailed(number, failure.kind, now));
  }
}

void entry_call::OnOwnerError(std::uint32_t number, const answer_head& head,
                              const std::shared_ptr<body_source>& body) {
  ApplySuspect(head);
  auto failure = *ErrorFromAnswer(head);
  if (!body) {
    OnFailure(number, true, failure);
    return;
  }
  ReadBodyStart(body, kMaxErrorBodyBytes,
                [self = shared_from_this(), number,
                 failure](const result<body_start>& start) mutable {
                  if (start) failure.message = MessageOf(*start->bytes);
                  self->OnFailure(number, true, failure);
                });
}

void entry_call::ApplySuspect(const answer_head& head) {
  const auto* name = FindField(head.fields, kSuspectField);
  const auto state = name == nullptr ? std::nullopt : FindSuspectState(*name);
  if (!state) return;
  context_->quarantine.Apply({service_, fingerprint_, *state}, MonotonicNow());
}

void entry_call::Deliver(std::uint32_t number) {
  auto& entry = attempts_[number];
  entry.delivering = true;
  incoming_answer answer{std::move(*entry.head), nullptr};
  if (!entry.body) {
    OnEnded(number);
  } else {
    answer.body = std::make_shared<observed_body>(
        entry.body,
        [self = shared_from_this(), number](
            result<body_part> part, const body_source::callback& pass_on) {
          self->OnPart(number, std::move(part), pass_on);
        },
        [self = shared_from_this(), number](bool reading) {
          self->attempts_[number].delivering = false;
          self->OnCallerGone();
          if (!reading) self->Drain(number);
        });
  }
  SetField(answer.head.fields, kOutcomeField,
           std::string(RunStateName(run_state::kRan)));
  Answer(std::move(answer), run_state::kRan, std::nullopt);
}

void entry_call::OnPart(std::uint32_t number, result<body_part> part,
                        const body_source::callback& pass_on) {
  if (!IsRunning(number)) return;
  if (!part) {
    Run(plan_->OnResponseTruncated(number, MonotonicNow()));
    pass_on(std::move(part));
    return;
  }
  auto& entry = attempts_[number];
  Keep(entry.kept, part->bytes);
  if (part->last) OnEnded(number);
  if (!entry.delivering && !part->last) {
    Drain(number);
  } else {
    pass_on(std::move(part));
  }
}

void entry_call::OnEnded(std::uint32_t number) {
  Run(plan_->OnResponseEnded(number, MonotonicNow()));
}

// Reads an answer that nobody waits for any more, because its outcome counts.
void entry_call::Drain(std::uint32_t number) {
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

void entry_call::Keep(stored_response& kept, std::string_view bytes) const {
  if (key_.empty() || !kept.complete) return;
  if (kept.body.size() + bytes.size() > kMaxStoredBodyBytes) {
    kept.complete = false;
    kept.body.clear();
    return;
  }
  kept.body.append(bytes);
}

bool entry_call::IsRunning(std::uint32_t number) const {
  return plan_ && !plan_->Finished() && attempts_.contains(number);
}

void entry_call::CompleteKey(stored_response kept) {
  context_->keys->Complete(context_, key_, call_id_, std::move(kept));
}

void entry_call::ReleaseKey() {
  // The caller may resend at once when it is told "not run", so the key must be
  // free before.
  waiting_for_release_ = true;
  context_->keys->Release(context_, key_, call_id_,
                          [self = shared_from_this()] {
                            self->waiting_for_release_ = false;
                            self->Run({});
                          });
}

void entry_call::ScheduleTimer() {
  auto next = plan_->NextTimer();
  if (!next) next = run_on_until_;
  if (plan_->Finished()) next.reset();
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
  if (run_on_until_ && now >= *run_on_until_) {
    GiveUp();
  } else {
    Run(plan_->OnTimer(now));
  }
}

// Ends attempts whose outcome did not come in time; it stays unknown.
void entry_call::GiveUp() {
  for (const auto& [number, entry] : attempts_) {
    CancelAttempt(number);
    Run(plan_->OnConnectionFailed(number, error_kind::kDeadlineExceeded,
                                  MonotonicNow()));
  }
}

void entry_call::OnCallerGone() {
  if (!plan_) return;  // The reader of the request body reports it.
  StartRunOn();
  Observe({}, run_state::kUnknown, error_kind::kCancelled);
  Run(plan_->OnCallerGone(MonotonicNow()));
}

void entry_call::StartRunOn() {
  if (!run_on_until_) {
    run_on_until_ = MonotonicNow() + context_->options.run_on_limit;
  }
}

void entry_call::AnswerError(error failure) {
  if (failure.kind == error_kind::kCancelled && last_failure_) {
    // The retry was not possible; the caller is told why it was needed.
    failure.kind = last_failure_->kind;
    failure.message = last_failure_->message;
  }
  StartRunOn();
  Answer(ErrorAnswer(failure), failure.ran, failure.kind);
}

void entry_call::AnswerKept(const stored_response& kept) {
  auto answer = TextAnswer(kept.status, {}, kept.body);
  answer.head.fields.clear();
  for (const auto& [name, value] : kept.headers) {
    answer.head.fields.push_back({name, value});
  }
  SetField(answer.head.fields, kOutcomeField,
           std::string(RunStateName(run_state::kRan)));
  StartRunOn();
  Answer(std::move(answer), run_state::kRan, std::nullopt);
}

void entry_call::Answer(incoming_answer answer, run_state ran,
                        std::optional<error_kind> failure) {
  SetField(answer.head.fields, kCallIdField,
           caller_call_id_.empty() ? call_id_ : caller_call_id_);
  request_->Answer(std::move(answer), [self = shared_from_this(), ran,
                                       failure](answer_written written) {
    self->Observe(written, ran, failure);
  });
}

void entry_call::Observe(const answer_written& written, run_state ran,
                         std::optional<error_kind> failure) {
  if (std::exchange(observed_, true)) return;
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
       .whole_answer = written.whole && !failure,
       .ran = ran,
       .failure = failure});
}

}  // namespace pomelohall
