#include "forward_handler.h"

#include <charconv>
#include <string>
#include <string_view>

#include "backend/http_message.h"
#include "caller/body_prefix.h"
#include "caller/error_response.h"
#include "claim_codec.h"
#include "key_claim_client.h"

namespace pomelohall {
namespace {

constexpr std::string_view kClaimsTarget = "/v1/claims";
constexpr int kOk = 200;
constexpr std::size_t kMaxClaimBytes = 2 * kMaxStoredBodyBytes;

std::uint64_t ParseFingerprint(const request_head& head) {
  std::uint64_t fingerprint = 0;
  if (const auto* text = FindField(head.fields, kFingerprintField)) {
    std::from_chars(text->data(), text->data() + text->size(), fingerprint, 16);
  }
  return fingerprint;
}

// Returns the deadline on this daemon's clock. The field carries the remaining
// time, because the clocks of two daemons differ.
result<instant> ParseDeadline(const incoming_request& request) {
  const auto* text = FindField(request.Head().fields, kDeadlineField);
  const auto milliseconds = text == nullptr ? std::nullopt : ParseNumber(*text);
  if (!milliseconds || *milliseconds > 3'600'000) {
    return Fail(error_kind::kInvalidRequest, "a forwarded call must have " +
                                                 std::string(kDeadlineField) +
                                                 " from 0 to 3600000");
  }
  return request.ReceivedAt() + std::chrono::milliseconds(*milliseconds);
}

// Reports to the entry daemon that the request was in flight when a backend
// server crashed.
void AddSuspectField(service_context& context, const std::string& service,
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
    request->Respond(MakeErrorResponse({error_kind::kInvalidRequest,
                                        "a claim must have a body"}),
                     nullptr);
    return;
  }
  ReadBodyPrefix(
      body, kMaxClaimBytes,
      [context = context_, request](const result<body_prefix>& prefix) {
        if (!prefix || !prefix->complete) {
          request->Respond(MakeErrorResponse(
                               {error_kind::kBodyTooLarge,
                                "a claim must not exceed " +
                                    std::to_string(kMaxClaimBytes) + " bytes"}),
                           nullptr);
          return;
        }
        const auto claim = DecodeClaim(*prefix->bytes);
        request->Respond(
            claim ? MakeTextResponse(
                        kOk, "application/cbor",
                        EncodeGrant(context->key_claims->HandleClaim(*claim)))
                  : MakeErrorResponse(claim.error()),
            nullptr);
      });
}

result<owner_request> forward_handler::ParseCall(
    incoming_request& request) const {
  const auto& head = request.Head();
  const auto* name = FindField(head.fields, kClassField);
  if (name == nullptr) {
    return Fail(error_kind::kInvalidRequest,
                "a forwarded call must have " + std::string(kClassField));
  }
  const auto* entry = context_->FindClassByName(*name);
  if (entry == nullptr) {
    return Fail(
        error_kind::kConfigUnknown,
        "class \"" + *name + "\" is not in the configuration of this daemon");
  }
  const auto deadline = ParseDeadline(request);
  if (!deadline) return tl::unexpected(deadline.error());
  owner_request call{
      .request = {head, request.Body()},
      .service = context_->snapshot->services[entry->service].name,
      .work_class = *name,
      .kind = entry->definition.kind,
      .fingerprint = ParseFingerprint(head),
      .deadline = *deadline};
  auto& fields = call.request.head.fields;
  RemoveHopByHopFields(fields);
  RemoveField(fields, kClassField);
  RemoveField(fields, kFingerprintField);
  RemoveField(fields, kSuspectField);
  return call;
}

void forward_handler::OnCall(const std::shared_ptr<incoming_request>& request) {
  const auto* id = FindField(request->Head().fields, kCallIdField);
  const std::string call_id = id == nullptr ? std::string() : *id;
  const auto send_error = [request, call_id](incoming_response response) {
    SetField(response.head.fields, kCallIdField, call_id);
    request->Respond(std::move(response), nullptr);
  };
  auto call = ParseCall(*request);
  if (!call) {
    send_error(MakeErrorResponse(call.error()));
    return;
  }
  if (FindField(request->Head().fields, kSuspectField) != nullptr) {
    context_->quarantine.Apply(
        {call->service, call->fingerprint, suspect_state::kSuspect},
        MonotonicNow());
  }
  const auto on_response = [context = context_, request, call_id,
                            service = call->service,
                            fingerprint = call->fingerprint,
                            send_error](result<incoming_response> response) {
    if (!response) {
      auto failure = MakeErrorResponse(response.error());
      AddSuspectField(*context, service, fingerprint, failure.head.fields);
      send_error(std::move(failure));
      return;
    }
    SetField(response->head.fields, kCallIdField, call_id);
    SetField(response->head.fields, kOutcomeField,
             std::string(RunStateName(run_state::kRan)));
    request->Respond(std::move(*response), nullptr);
  };
  const auto task = context_->dispatcher->Start(
      context_, std::move(*call), {.on_sent = {}, .on_response = on_response});
  request->SetDisconnectHandler([task] { task->Cancel(); });
}

}  // namespace pomelohall
