#include "forward_handler.h"

#include <charconv>
#include <string>
#include <string_view>

#include "backend/http_message.h"
#include "caller/body_tools.h"
#include "caller/error_answer.h"
#include "claim_codec.h"
#include "key_home.h"

namespace pomelohall {
namespace {

constexpr std::string_view kClaimsTarget = "/v1/claims";
constexpr int kOk = 200;
constexpr std::size_t kMaxClaimBytes = 2 * kMaxStoredBodyBytes;

std::uint64_t FingerprintOf(const request_head& head) {
  std::uint64_t fingerprint = 0;
  if (const auto* text = FindField(head.fields, kFingerprintField)) {
    std::from_chars(text->data(), text->data() + text->size(), fingerprint, 16);
  }
  return fingerprint;
}

// The deadline as it is at this daemon; the clocks of two daemons differ.
result<instant> DeadlineOf(const incoming_request& request) {
  const auto* text = FindField(request.Head().fields, kDeadlineField);
  const auto milliseconds = text == nullptr ? std::nullopt : ParseNumber(*text);
  if (!milliseconds || *milliseconds > 3'600'000) {
    return Fail(error_kind::kInvalidRequest, "a forwarded call needs " +
                                                 std::string(kDeadlineField) +
                                                 " from 0 to 3600000");
  }
  return request.ReceivedAt() + std::chrono::milliseconds(*milliseconds);
}

// Tells the entry daemon if the request was in flight at a crash.
void AddSuspect(service_context& context, const std::string& service,
                std::uint64_t fingerprint, http_fields& fields) {
  const auto verdict =
      context.quarantine.Check(service, fingerprint, MonotonicNow());
  if (verdict == quarantine_verdict::kAllow) return;
  const auto state = verdict == quarantine_verdict::kRefuse
                         ? suspect_state::kCulprit
                         : suspect_state::kSuspect;
  SetField(fields, kSuspectField, std::string(SuspectStateName(state)));
}

}  // namespace

void forward_handler::OnRequest(std::shared_ptr<incoming_request> request) {
  const auto& head = request->Head();
  if (head.method == "POST" && head.target == kClaimsTarget &&
      FindField(head.fields, kClassField) == nullptr) {
    OnClaim(request);
  } else {
    OnCall(request);
  }
}

void forward_handler::OnClaim(
    const std::shared_ptr<incoming_request>& request) {
  const auto body = request->Body();
  if (!body) {
    request->Answer(
        ErrorAnswer({error_kind::kInvalidRequest, "a claim needs a body"}),
        nullptr);
    return;
  }
  ReadBodyStart(
      body, kMaxClaimBytes,
      [context = context_, request](const result<body_start>& start) {
        if (!start || !start->whole) {
          request->Answer(
              ErrorAnswer({error_kind::kBodyTooLarge,
                           "a claim is at most " +
                               std::to_string(kMaxClaimBytes) + " bytes"}),
              nullptr);
          return;
        }
        const auto claim = DecodeClaim(*start->bytes);
        request->Answer(
            claim ? TextAnswer(kOk, "application/cbor",
                               EncodeGrant(context->keys->Apply(*claim)))
                  : ErrorAnswer(claim.error()),
            nullptr);
      });
}

result<owner_request> forward_handler::TakeCall(
    incoming_request& request) const {
  const auto& head = request.Head();
  const auto* name = FindField(head.fields, kClassField);
  if (name == nullptr) {
    return Fail(error_kind::kInvalidRequest,
                "a forwarded call needs " + std::string(kClassField));
  }
  const auto* entry = context_->FindClassByName(*name);
  if (entry == nullptr) {
    return Fail(error_kind::kConfigUnknown,
                "class \"" + *name + "\" is not in force at this daemon");
  }
  const auto deadline = DeadlineOf(request);
  if (!deadline) return tl::unexpected(deadline.error());
  owner_request call{
      .request = {head, request.Body()},
      .service = context_->current->services[entry->service].name,
      .work_class = *name,
      .kind = entry->definition.kind,
      .fingerprint = FingerprintOf(head),
      .deadline = *deadline};
  auto& fields = call.request.head.fields;
  RemoveHopFields(fields);
  RemoveField(fields, kClassField);
  RemoveField(fields, kFingerprintField);
  RemoveField(fields, kSuspectField);
  return call;
}

void forward_handler::OnCall(const std::shared_ptr<incoming_request>& request) {
  const auto* id = FindField(request->Head().fields, kCallIdField);
  const std::string call_id = id == nullptr ? std::string() : *id;
  const auto answer_error = [request, call_id](incoming_answer answer) {
    SetField(answer.head.fields, kCallIdField, call_id);
    request->Answer(std::move(answer), nullptr);
  };
  auto call = TakeCall(*request);
  if (!call) {
    answer_error(ErrorAnswer(call.error()));
    return;
  }
  if (FindField(request->Head().fields, kSuspectField) != nullptr) {
    context_->quarantine.Apply(
        {call->service, call->fingerprint, suspect_state::kSuspect},
        MonotonicNow());
  }
  const auto on_answer = [context = context_, request, call_id,
                          service = call->service,
                          fingerprint = call->fingerprint,
                          answer_error](result<incoming_answer> answer) {
    if (!answer) {
      auto failure = ErrorAnswer(answer.error());
      AddSuspect(*context, service, fingerprint, failure.head.fields);
      answer_error(std::move(failure));
      return;
    }
    SetField(answer->head.fields, kCallIdField, call_id);
    SetField(answer->head.fields, kOutcomeField,
             std::string(RunStateName(run_state::kRan)));
    request->Answer(std::move(*answer), nullptr);
  };
  const auto task = context_->owner_side->Start(
      context_, std::move(*call), {.on_sent = {}, .on_answer = on_answer});
  request->SetDisconnectHandler([task] { task->Cancel(); });
}

}  // namespace pomelohall
