#include "quota_exchange.h"

#include <algorithm>
#include <utility>

#include "backend/http_message.h"
#include "caller/body_prefix.h"
#include "caller/error_response.h"
#include "logging/log_event.h"
#include "message_body.h"
#include "quota_codec.h"
#include "sidecar/header_field_names.h"
#include "sidecar_metrics.h"

namespace pomelohall {
namespace {

// A member that does not answer within this time is passed over: the next one
// then coordinates for this daemon before many of its requests are refused.
constexpr duration kAnswerTimeout = std::chrono::milliseconds(300);
constexpr duration kAvoidTime = std::chrono::seconds(1);
constexpr std::size_t kMaxReportBytes = 1'048'576;

}  // namespace

quota_exchange::quota_exchange(connection_pool& peers,
                               server_directory& directory,
                               sidecar_metrics& metrics,
                               quota_exchange_options options)
    : peers_(peers),
      directory_(directory),
      metrics_(metrics),
      options_(std::move(options)),
      account_(
          {.member = options_.member, .incarnation = options_.incarnation}) {}

quota_exchange::~quota_exchange() = default;

void quota_exchange::SetTenants(const std::vector<tenant>& tenants) {
  quota_limits limits;
  for (const auto& entry : tenants) {
    if (entry.rate_per_s <= 0) continue;
    limits[entry.name] = {.rate_per_s = entry.rate_per_s,
                          .burst = std::max(entry.burst, 1.0)};
  }
  is_limited_ = !limits.empty();
  account_.SetLimits(limits);
  pool_.SetLimits(limits, MonotonicNow());
}

void quota_exchange::Admit(const std::string& tenant, callback done) {
  const auto now = MonotonicNow();
  const auto decision = account_.Request(tenant, now);
  if (decision != quota_decision::kWait) {
    metrics_.OnQuota(tenant, decision);
    done(decision);
    return;
  }
  waiting_.push_back({.tenant = tenant,
                      .until = now + options_.max_wait,
                      .done = std::move(done)});
  Report(now);
}

void quota_exchange::DecideWaiting(instant now) {
  // Callbacks may add further requests.
  auto waiting = std::exchange(waiting_, {});
  for (auto& request : waiting) {
    const auto decision = account_.RequestAgain(request.tenant, now);
    if (decision == quota_decision::kWait && now < request.until) {
      waiting_.push_back(std::move(request));
      continue;
    }
    metrics_.OnQuota(request.tenant, decision);
    request.done(decision);
  }
}

std::optional<mesh_member> quota_exchange::Coordinator(instant now) const {
  return directory_.FastestMemberOfAll(now, [&](const mesh_member& member) {
    const auto found = avoided_.find(member.name);
    return found == avoided_.end() || now >= found->second;
  });
}

void quota_exchange::Report(instant now) {
  account_.SetMemberCount(directory_.Size());
  pool_.SetMemberCount(directory_.Size());
  if (!account_.IsReportDue(now)) return;
  const auto coordinator = Coordinator(now);
  if (!coordinator) return;
  const auto report = account_.TakeReport(now);
  if (coordinator->name == options_.member) {
    account_.OnAnswer(pool_.OnReport(report, now), now, now);
    DecideWaiting(now);
  } else {
    Send(*coordinator, report, now);
  }
}

void quota_exchange::Send(const mesh_member& coordinator,
                          const quota_report& report, instant now) {
  auto text = EncodeQuotaReport(report);
  outgoing_request request;
  request.head.method = "POST";
  request.head.target = "/";
  request.head.fields = {
      {"Host", coordinator.address},
      {std::string(kMeshQuotaField), "report"},
      {options_.attempt_id_field, "quota-" + std::to_string(++reports_)}};
  request.head.framing = body_framing::kLength;
  request.head.length = text.size();
  request.body = ToBody(std::move(text));
  sent_at_ = now;
  sent_to_ = coordinator.name;
  answers_.End();
  sent_ = peers_.Start(
      coordinator.address, std::move(request),
      {.on_sent = nullptr,
       .on_response = answers_.Bind([this,
                                     now](result<incoming_response> answer) {
         if (!answer || answer->head.status != 200 || !answer->body) {
           if (answer && answer->body) DiscardBody(answer->body, nullptr);
           OnFailed();
           return;
         }
         ReadBodyPrefix(
             answer->body, kMaxReportBytes,
             answers_.Bind([this, now](const result<body_prefix>& body) {
               OnBody(body && body->complete ? DecodeQuotaAnswer(*body->bytes)
                                             : std::nullopt,
                      now);
             }));
       })});
}

void quota_exchange::OnBody(const std::optional<quota_answer>& answer,
                            instant asked_at) {
  if (!answer) {
    OnFailed();
    return;
  }
  sent_ = nullptr;
  const auto now = MonotonicNow();
  account_.OnAnswer(*answer, asked_at, now);
  DecideWaiting(now);
}

void quota_exchange::OnFailed() {
  const auto now = MonotonicNow();
  log_event(log_level::kInfo, "quota_report_failed")
      .With("coordinator", sent_to_)
      .With("after_ms", static_cast<std::uint64_t>(ToMillis(now - sent_at_)));
  avoided_[sent_to_] = now + kAvoidTime;
  sent_ = nullptr;
  account_.OnFailed();
  DecideWaiting(now);
}

void quota_exchange::Tick(instant now) {
  if (!is_limited_) return;
  if (sent_ && now - sent_at_ >= kAnswerTimeout) {
    answers_.End();
    sent_->Cancel();
    OnFailed();
  }
  Report(now);
  if (!waiting_.empty()) DecideWaiting(now);
}

void quota_exchange::Stop() {
  answers_.End();
  if (const auto sent = std::exchange(sent_, nullptr)) sent->Cancel();
}

void quota_exchange::Serve(const std::shared_ptr<incoming_request>& request) {
  const auto refuse = [request] {
    request->Respond(MakeErrorResponse({error_kind::kInvalidRequest,
                                        "the quota report is malformed"}),
                     nullptr);
  };
  const auto body = request->Body();
  if (!body) {
    refuse();
    return;
  }
  ReadBodyPrefix(
      body, kMaxReportBytes,
      callbacks_.Bind([this, request, refuse](const result<body_prefix>& read) {
        if (!read) return;  // The sender has disconnected.
        const auto report =
            read->complete ? DecodeQuotaReport(*read->bytes) : std::nullopt;
        if (!report) {
          refuse();
          return;
        }
        pool_.SetMemberCount(directory_.Size());
        auto text = EncodeQuotaAnswer(pool_.OnReport(*report, MonotonicNow()));
        incoming_response answer;
        answer.head.status = 200;
        if (const auto* id =
                FindField(request->Head().fields, options_.attempt_id_field)) {
          answer.head.fields.push_back({options_.attempt_id_field, *id});
        }
        answer.head.framing = body_framing::kLength;
        answer.head.length = text.size();
        answer.body = ToBody(std::move(text));
        request->Respond(std::move(answer), nullptr);
      }));
}

}  // namespace pomelohall
