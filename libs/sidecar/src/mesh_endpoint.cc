#include "mesh_endpoint.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string>
#include <utility>

#include "backend/buffered_body.h"
#include "caller/body_prefix.h"
#include "caller/error_response.h"
#include "caller/prefixed_body.h"
#include "crash_codec.h"
#include "load_codec.h"
#include "logging/log_event.h"
#include "mesh_fields.h"
#include "quota_exchange.h"
#include "rollout_coordinator.h"

namespace pomelohall {
namespace {

// Longest time of a stop notice: far above the grace of any stop.
constexpr std::uint64_t kMaxStopMillis = 600'000;

// Share of the time left to the deadline for which an answer is held to learn
// its length. After that it is forwarded with the next part that arrives. The
// rest is for the wait for the link, and for the first bytes to reach the
// caller's daemon before the time-out of the route.
constexpr double kMaxHeldShare = 0.5;

std::string TakeField(http_fields& fields, std::string_view name) {
  const auto* value = FindField(fields, name);
  std::string text = value == nullptr ? std::string() : *value;
  RemoveField(fields, name);
  return text;
}

duration ParseMillis(std::string_view text) {
  std::int64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return std::chrono::milliseconds(value);
}

}  // namespace

mesh_endpoint::mesh_endpoint(local_dispatcher& dispatcher,
                             answer_sender& sender,
                             peer_config_sync& config_sync,
                             crash_history& crashes, header_field_names fields)
    : dispatcher_(dispatcher),
      sender_(sender),
      config_sync_(config_sync),
      crashes_(crashes),
      fields_(std::move(fields)) {}

void mesh_endpoint::OnRequest(std::shared_ptr<incoming_request> request) {
  if (FindField(request->Head().fields, kMeshFetchField) != nullptr) {
    config_sync_.Serve(request);
    return;
  }
  if (FindField(request->Head().fields, kMeshStopField) != nullptr) {
    OnPeerStopping(*request);
    return;
  }
  if (quotas_ != nullptr &&
      FindField(request->Head().fields, kMeshQuotaField) != nullptr) {
    quotas_->Serve(request);
    return;
  }
  if (rollouts_ != nullptr &&
      FindField(request->Head().fields, kMeshRolloutNoticeField) != nullptr) {
    rollouts_->OnNotice(*request);
    return;
  }
  outgoing_request outgoing;
  outgoing.head = request->Head();
  RemoveHopByHopFields(outgoing.head.fields);
  const auto body = request->Body();
  if (!body) {
    Forward(request, std::move(outgoing),
            {.bytes = std::make_shared<const std::string>(), .complete = true});
    return;
  }
  // The body is buffered before the request is queued, so that a closed
  // connection is detected while the request waits.
  ReadBodyPrefix(
      body, kMaxBufferedBodyBytes,
      [this, request, body, outgoing = std::move(outgoing)](
          const result<body_prefix>& start) mutable {
        if (!start) return;  // The sender has disconnected.
        if (start->complete) {
          outgoing.head.framing = body_framing::kLength;
          outgoing.head.length = start->bytes->size();
          outgoing.body = std::make_shared<buffered_body>(start->bytes);
        } else {
          outgoing.body = std::make_shared<prefixed_body>(start->bytes, body);
        }
        Forward(request, std::move(outgoing), *start);
      });
}

void mesh_endpoint::OnPeerStopping(incoming_request& request) {
  const auto& fields = request.Head().fields;
  const auto* sender = FindField(fields, kMeshSenderField);
  const auto millis = ParseNumber(*FindField(fields, kMeshStopField));
  if (sender == nullptr || sender->empty() || !millis ||
      *millis > kMaxStopMillis) {
    request.Respond(
        MakeErrorResponse({error_kind::kInvalidRequest,
                           "a stop notice needs a sender and up to " +
                               std::to_string(kMaxStopMillis) +
                               " milliseconds until its deadline"}),
        nullptr);
    return;
  }
  log_event(log_level::kInfo, "peer_stopping")
      .With("peer", *sender)
      .With("deadline_left_ms", *millis);
  const auto now = request.ReceivedAt();
  const auto latest = now + std::chrono::milliseconds(*millis);
  stop_notices_.Add(*sender, latest, now);
  dispatcher_.LimitDeadlinesOf(*sender, latest);
  sender_.LimitDeadlinesOf(*sender, latest);
  incoming_response answer;
  answer.head.status = 204;
  if (const auto* id = FindField(fields, fields_.attempt_id)) {
    answer.head.fields.push_back({fields_.attempt_id, *id});
  }
  request.Respond(std::move(answer), nullptr);
}

void mesh_endpoint::Forward(const std::shared_ptr<incoming_request>& request,
                            outgoing_request outgoing,
                            const body_prefix& body) {
  auto& fields = outgoing.head.fields;
  const auto now = request->ReceivedAt();
  const auto sender = TakeField(fields, kMeshSenderField);
  config_sync_.OnPeerState(fields, sender, std::nullopt);
  if (rollouts_ != nullptr) rollouts_->OnPeerState(fields);
  RemoveField(fields, kMeshVersionField);
  RemoveField(fields, kMeshConfirmedField);
  if (const auto* loads = FindField(fields, kMeshLoadsField);
      loads != nullptr && directory_ != nullptr) {
    for (const auto& load : DecodeLoads(*loads))
      directory_->OnLoadSummary(load, now);
  }
  local_request local;
  local.sender = sender;
  local.fingerprint = FingerprintOf(outgoing.head, body, fields_);
  TakeCrashes(fields, crashes_, local.fingerprint);
  local.on_trial = !TakeField(fields, kMeshTrialField).empty();
  local.instance = TakeField(fields, kMeshInstanceField);
  local.work_class = TakeField(fields, kMeshClassField);
  local.kind = kRequestKindNames.Find(TakeField(fields, kMeshKindField))
                   .value_or(request_kind::kUnsafe);
  local.priority = static_cast<int>(
      ParseNumber(TakeField(fields, kMeshPriorityField)).value_or(0));
  const auto limit = stop_notices_.LatestDeadline(sender, now);
  local.sender_stops =
      limit != instant::max() || !TakeField(fields, kMeshStoppingField).empty();
  local.target_at = now + ParseMillis(TakeField(fields, kMeshTargetField));
  local.deadline =
      std::min(now + ParseMillis(TakeField(fields, fields_.deadline)), limit);
  if (const auto* id = FindField(fields, fields_.attempt_id)) {
    local.attempt_id = *id;
  }
  if (const auto text = TakeField(fields, kMeshMaxWaitField); !text.empty()) {
    local.max_wait = ParseMillis(text);
  }
  RemoveMeshFields(fields);
  local.request = std::move(outgoing);
  const answer_times times{.target_at = local.target_at,
                           .deadline = local.deadline,
                           .receiver_stops = local.sender_stops,
                           .receiver = sender};
  const auto fingerprint = local.fingerprint;
  const auto kind = local.kind;
  const auto started = dispatcher_.Start(
      std::move(local),
      {.on_sent = nullptr,
       .on_response = [this, request, times, fingerprint,
                       kind](result<incoming_response> answer) {
         if (!answer) {
           Refuse(request, times, fingerprint, answer.error());
         } else {
           OnResponse(request, times, kind, std::move(*answer));
         }
       }});
  request->SetDisconnectHandler([started] { started->Cancel(); });
}

// The daemon that sent the request may offer it to other servers.
void mesh_endpoint::Refuse(const std::shared_ptr<incoming_request>& request,
                           const answer_times& times, std::uint64_t fingerprint,
                           const error& failure) {
  auto answer = MakeErrorResponse(failure);
  SetCrashes(answer.head.fields, crashes_, fingerprint);
  Send(request, times, std::move(answer));
}

void mesh_endpoint::OnResponse(const std::shared_ptr<incoming_request>& request,
                               const answer_times& times, request_kind kind,
                               incoming_response answer) {
  // A download that does not tell its length is read to learn it: sent while it
  // arrives, it would share the link with those that wait their turn.
  const auto assumed_length =
      kind == request_kind::kDownload ? kMaxBufferedAnswerBytes : 0;
  if (answer.body &&
      sender_.Queue().IsPaced(answer.head.length.value_or(assumed_length))) {
    BufferAnswer(request, times, std::move(answer));
  } else {
    Answer(request, times, std::move(answer));
  }
}

void mesh_endpoint::BufferAnswer(
    const std::shared_ptr<incoming_request>& request, const answer_times& times,
    incoming_response answer) {
  const auto body = answer.body;
  const auto now = MonotonicNow();
  const auto until = answer.head.length
                         ? instant::max()
                         : now + std::chrono::duration_cast<duration>(
                                     kMaxHeldShare * (times.deadline - now));
  ReadBodyPrefix(
      body, kMaxBufferedAnswerBytes,
      [this, request, times,
       answer = std::move(answer)](const result<body_prefix>& start) mutable {
        if (!start) {
          Send(request, times,
               MakeErrorResponse(
                   {error_kind::kBackendFailed, start.error().message}));
          return;
        }
        if (start->complete) {
          answer.body = start->bytes->empty()
                            ? nullptr
                            : std::make_shared<buffered_body>(start->bytes);
          answer.head.framing = body_framing::kLength;
          answer.head.length = start->bytes->size();
        } else {
          answer.body = std::make_shared<prefixed_body>(start->bytes,
                                                        std::move(answer.body));
        }
        Answer(request, times, std::move(answer));
      },
      nullptr, until);
}

void mesh_endpoint::Answer(const std::shared_ptr<incoming_request>& request,
                           const answer_times& times,
                           incoming_response answer) {
  RemoveField(answer.head.fields, kErrorField);
  Send(request, times, std::move(answer));
}

void mesh_endpoint::Send(const std::shared_ptr<incoming_request>& request,
                         const answer_times& times, incoming_response answer) {
  auto& fields = answer.head.fields;
  const auto load = dispatcher_.Load();
  SetField(fields, kMeshLoadField, EncodeLoad(load));
  if (load.work_percent)
    SetField(fields, kMeshSpeedField, EncodePercent(*load.work_percent));
  SetField(fields, kMeshHeldField,
           EncodeHeldTime(MonotonicNow() - request->ReceivedAt()));
  // A sender of this data centre has attached its own.
  if (directory_ != nullptr &&
      FindField(request->Head().fields, kMeshLoadsField) != nullptr) {
    SetField(fields, kMeshLoadsField,
             EncodeLoads(directory_->RecentLoads(MonotonicNow())));
  }
  config_sync_.AddState(fields);
  if (rollouts_ != nullptr) {
    rollouts_->AddState(fields);
    rollouts_->AddReport(fields);
  }
  // The notice may have arrived while the request ran.
  auto limited = times;
  const auto limit =
      stop_notices_.LatestDeadline(times.receiver, request->ReceivedAt());
  if (limit != instant::max()) LimitToStop(limited, limit);
  sender_.Send(request, std::move(answer), limited);
}

}  // namespace pomelohall
