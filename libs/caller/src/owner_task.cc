#include "owner_task.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/system/error_code.hpp>
#include <utility>

#include "backend/http_message.h"
#include "caller/observed_body.h"

namespace pomelohall {
namespace {

constexpr int kServiceUnavailable = 503;

}  // namespace

bool IsNotRunResponse(const response_head& head) {
  const auto* outcome = FindField(head.fields, kOutcomeField);
  return head.status == kServiceUnavailable && outcome != nullptr &&
         FindRunState(*outcome) == run_state::kNotRun;
}

owner_task::owner_task(context_ptr context, request_id id,
                       owner_request request, exchange_events events)
    : context_(std::move(context)),
      dispatcher_(*context_->dispatcher),
      id_(id),
      request_(std::move(request)),
      events_(std::move(events)),
      detached_timer_(context_->io) {}

void owner_task::Submit() {
  const auto verdict = dispatcher_.CheckAcceptable(request_);
  if (!verdict) {
    OnRefused(verdict.error());
    return;
  }
  dispatcher_.Submit({.id = id_,
                      .kind = request_.kind,
                      .work_class = request_.work_class,
                      .deadline = request_.deadline,
                      .exclusive = *verdict == quarantine_verdict::kExclusive});
}

void owner_task::OnRefused(error reason) {
  dispatcher_.RemoveTask(id_);
  ended_ = true;
  // Posted, because Start() must return the exchange before its first event.
  boost::asio::post(context_->io,
                    [self = shared_from_this(), reason = std::move(reason)] {
                      self->Deliver(tl::unexpected(reason));
                    });
}

void owner_task::OnAdmitted() {
  admitted_ = true;
  started_at_ = MonotonicNow();
  const auto view = context_->options.backend();
  UpdateDeadline();
  backend_exchange_ = context_->backend.Start(
      view.address, std::move(request_.request),
      {.on_sent = [self = shared_from_this()] { self->OnSent(); },
       .on_response =
           [self = shared_from_this()](result<incoming_response> response) {
             self->OnResponse(std::move(response));
           }});
}

// Subtracts the time that the request spent in the queue.
void owner_task::UpdateDeadline() {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      request_.deadline - started_at_);
  SetField(request_.request.head.fields, kDeadlineField,
           std::to_string(std::max<std::int64_t>(left.count(), 0)));
}

void owner_task::OnSent() {
  state_.OnFirstByteSent();
  if (events_.on_sent) events_.on_sent();
}

void owner_task::OnResponse(result<incoming_response> response) {
  if (!response) {
    OnFailure(response.error());
    return;
  }
  if (IsNotRunResponse(response->head)) {
    OnServerRefused(*response);
    return;
  }
  state_.OnResponseStarted();
  RemoveHopByHopFields(response->head.fields);
  RemovePomelohallFields(response->head.fields);
  if (!response->body) {
    End(true);
    Deliver(std::move(response));
    return;
  }
  body_ = response->body;
  response->body = std::make_shared<observed_body>(
      body_,
      [self = shared_from_this()](result<body_part> part,
                                  body_source::callback pass_on) {
        self->OnPart(std::move(part), std::move(pass_on));
      },
      [self = shared_from_this()](bool read_pending) {
        self->Cancel(read_pending);
      });
  if (detached_) {
    Drain();
  } else {
    Deliver(std::move(response));
  }
}

void owner_task::OnServerRefused(const incoming_response& response) {
  state_.OnRefusedByServer();
  if (response.body) backend_exchange_->Cancel();
  End(false);
  Fail(error_kind::kOverloaded, "the backend server refused the request");
}

void owner_task::OnPart(result<body_part> part, body_source::callback pass_on) {
  if (!part) {
    dispatcher_.CheckCrash(context_, shared_from_this(),
                           [self = shared_from_this(), failure = part.error(),
                            pass_on = std::move(pass_on)] {
                             self->End(false);
                             pass_on(tl::unexpected(self->state_.Failure(
                                 failure.kind, failure.message)));
                           });
    return;
  }
  if (part->last) End(true);
  if (detached_ && !part->last) {
    Drain();
  } else {
    pass_on(*part);
  }
}

void owner_task::OnFailure(error failure) {
  const bool never_sent = !state_.Sent() || failure.ran == run_state::kNotRun;
  if (never_sent) {
    // The failure gives no latency sample of the backend server.
    EndWithoutSample();
    Deliver(tl::unexpected(std::move(failure)));
    return;
  }
  if (failure.kind != error_kind::kBackendFailed) {
    End(false);
    Fail(failure.kind, failure.message);
    return;
  }
  dispatcher_.CheckCrash(context_, shared_from_this(),
                         [self = shared_from_this(), failure] {
                           self->End(false);
                           self->Fail(failure.kind, failure.message);
                         });
}

void owner_task::Fail(error_kind kind, std::string message) {
  Deliver(tl::unexpected(state_.Failure(kind, std::move(message))));
}

void owner_task::Deliver(result<incoming_response> response) {
  const auto events = std::exchange(events_, {});
  if (events.on_response) events.on_response(std::move(response));
}

void owner_task::Cancel(bool read_pending) {
  if (ended_ || detached_) return;
  events_ = {};
  if (state_.Sent() && !IsIdempotent(request_.kind)) {
    Detach(read_pending);
    return;
  }
  Abort();
}

void owner_task::Abort() {
  const auto keep_alive = shared_from_this();
  events_ = {};
  detached_timer_.cancel();
  if (backend_exchange_) backend_exchange_->Cancel();
  EndWithoutSample();
}

// Continues without the sender of the call, so that the outcome is recorded.
void owner_task::Detach(bool read_pending) {
  detached_ = true;
  detached_timer_.expires_after(context_->options.detached_call_timeout);
  detached_timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code cancelled) {
        if (cancelled || self->ended_) return;
        self->backend_exchange_->Cancel();
        self->End(false);
      });
  if (body_ && !read_pending) Drain();
}

void owner_task::Drain() {
  body_->Read([self = shared_from_this()](result<body_part> part) {
    if (!self->ended_) {
      self->OnPart(std::move(part), [](const result<body_part>&) {});
    }
  });
}

// Ends a call that was sent and reports its latency to the admission.
void owner_task::End(bool ok) {
  if (ended_) return;
  const auto keep_alive = shared_from_this();
  ended_ = true;
  detached_timer_.cancel();
  dispatcher_.RemoveTask(id_);
  if (ok) {
    context_->NotifySuspects(context_->quarantine.OnSuccess(
        request_.service, request_.fingerprint, MonotonicNow()));
  }
  dispatcher_.Finish(id_, MonotonicNow() - started_at_, ok);
}

// Ends a call without a latency sample: it was not sent or was cancelled.
void owner_task::EndWithoutSample() {
  if (ended_) return;
  ended_ = true;
  dispatcher_.RemoveTask(id_);
  dispatcher_.Cancel(id_);
}

}  // namespace pomelohall
