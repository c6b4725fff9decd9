#include "mesh_endpoint.h"

#include <charconv>
#include <string>
#include <utility>

#include "backend/buffered_body.h"
#include "caller/body_tools.h"
#include "caller/error_answer.h"
#include "caller/prefixed_body.h"
#include "load_codec.h"

namespace pomelohall {
namespace {

std::string TakeField(http_fields& fields, std::string_view name) {
  const auto* value = FindField(fields, name);
  std::string text = value == nullptr ? std::string() : *value;
  RemoveField(fields, name);
  return text;
}

// Larger answers are passed on as they arrive. Bounds the memory for answers
// that wait for the link: a backend server has a few tens of slots.
constexpr std::size_t kMaxHeldBytes = 1024UL * 1024;

duration Millis(std::string_view text) {
  std::int64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return std::chrono::milliseconds(value);
}

}  // namespace

mesh_endpoint::mesh_endpoint(server_gate& gate, answer_sender& sender,
                             config_exchange& configs, exchange_fields fields)
    : gate_(gate),
      sender_(sender),
      configs_(configs),
      fields_(std::move(fields)) {}

void mesh_endpoint::OnRequest(std::shared_ptr<incoming_request> request) {
  if (FindField(request->Head().fields, kMeshFetchField) != nullptr) {
    configs_.Serve(request);
    return;
  }
  outgoing_request outgoing;
  outgoing.head = request->Head();
  RemoveHopByHopFields(outgoing.head.fields);
  const auto body = request->Body();
  if (!body) {
    Forward(request, std::move(outgoing));
    return;
  }
  // The request waits with its body in memory, so that the end of the
  // connection is noticed while it waits.
  ReadBodyPrefix(
      body, kMaxBufferedBodyBytes,
      [this, request, body, outgoing = std::move(outgoing)](
          const result<body_prefix>& start) mutable {
        if (!start) return;  // The connection is gone.
        if (start->complete) {
          outgoing.head.framing = body_framing::kLength;
          outgoing.head.length = start->bytes->size();
          outgoing.body = std::make_shared<buffered_body>(start->bytes);
        } else {
          outgoing.body = std::make_shared<prefixed_body>(start->bytes, body);
        }
        Forward(request, std::move(outgoing));
      });
}

void mesh_endpoint::Forward(const std::shared_ptr<incoming_request>& request,
                            outgoing_request outgoing) {
  auto& fields = outgoing.head.fields;
  const auto now = request->ReceivedAt();
  const auto version = TakeField(fields, kMeshVersionField);
  configs_.OnPeerVersion(version, TakeField(fields, kMeshSenderField));
  gate_request call;
  call.instance = TakeField(fields, kMeshInstanceField);
  call.work_class = TakeField(fields, kMeshClassField);
  call.kind = kRequestKindNames.Find(TakeField(fields, kMeshKindField))
                  .value_or(request_kind::kUnsafe);
  call.priority = static_cast<int>(
      ParseNumber(TakeField(fields, kMeshPriorityField)).value_or(0));
  call.target_at = now + Millis(TakeField(fields, kMeshTargetField));
  call.give_up_at = now + Millis(TakeField(fields, fields_.deadline));
  if (const auto* id = FindField(fields, fields_.attempt_id)) {
    call.attempt_id = *id;
  }
  if (const auto text = TakeField(fields, kMeshMaxWaitField); !text.empty()) {
    call.max_wait = Millis(text);
  }
  call.over_link = true;
  call.request = std::move(outgoing);
  const auto target_at = call.target_at;
  const auto started = gate_.Start(
      std::move(call), {.on_sent = nullptr,
                        .on_response = [this, request, target_at](
                                           result<incoming_response> answer) {
                          OnAnswer(request, target_at, std::move(answer));
                        }});
  request->SetDisconnectHandler([started] { started->Cancel(); });
}

void mesh_endpoint::OnAnswer(const std::shared_ptr<incoming_request>& request,
                             instant target_at,
                             result<incoming_response> answer) {
  if (answer && answer->body && answer->head.length &&
      sender_.Queue().IsPaced(*answer->head.length)) {
    Hold(request, target_at, std::move(*answer));
  } else {
    Answer(request, target_at, std::move(answer));
  }
}

void mesh_endpoint::Hold(const std::shared_ptr<incoming_request>& request,
                         instant target_at, incoming_response answer) {
  const auto body = answer.body;
  ReadBodyPrefix(
      body, kMaxHeldBytes,
      [this, request, target_at,
       answer = std::move(answer)](const result<body_prefix>& start) mutable {
        if (!start) {
          Answer(request, target_at,
                 Fail(error_kind::kBackendFailed, start.error().message));
          return;
        }
        if (start->complete) {
          answer.body = std::make_shared<buffered_body>(start->bytes);
        } else {
          answer.body = std::make_shared<prefixed_body>(start->bytes,
                                                        std::move(answer.body));
        }
        Answer(request, target_at, std::move(answer));
      });
}

void mesh_endpoint::Answer(const std::shared_ptr<incoming_request>& request,
                           instant target_at,
                           result<incoming_response> answer) {
  auto outgoing =
      answer ? std::move(*answer) : MakeErrorResponse(answer.error());
  auto& fields = outgoing.head.fields;
  if (answer) {
    RemoveHopByHopFields(fields);
    RemoveField(fields, kErrorField);
  }
  SetField(fields, kMeshLoadField, EncodeLoad(gate_.Load()));
  SetField(fields, kMeshVersionField, std::to_string(configs_.OwnVersion()));
  sender_.Send(request, std::move(outgoing), target_at);
}

}  // namespace pomelohall
