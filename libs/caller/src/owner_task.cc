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

// Whether the backend server says that it did not run the request.
bool IsServerRefusal(const answer_head& head) {
  const auto* outcome = FindField(head.fields, kOutcomeField);
  return head.status == kServiceUnavailable && outcome != nullptr &&
         FindRunState(*outcome) == run_state::kNotRun;
}

}  // namespace

owner_task::owner_task(context_ptr context, request_id id,
                       owner_request request, exchange_events events)
    : context_(std::move(context)),
      owner_(*context_->owner_side),
      id_(id),
      request_(std::move(request)),
      events_(std::move(events)),
      run_on_(context_->io) {}

void owner_task::Submit() {
  const auto verdict = owner_.Accept(request_);
  if (!verdict) {
    OnRefused(verdict.error());
    return;
  }
  owner_.Submit({.id = id_,
                 .kind = request_.kind,
                 .work_class = request_.work_class,
                 .deadline = request_.deadline,
                 .exclusive = *verdict == quarantine_verdict::kExclusive});
}

void owner_task::OnRefused(error reason) {
  owner_.Forget(id_);
  ended_ = true;
  // Not inline: the starter must have the exchange before its first event.
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
  call_ = context_->backend.Start(
      view.address, std::move(request_.request),
      {.on_sent = [self = shared_from_this()] { self->OnSent(); },
       .on_answer =
           [self = shared_from_this()](result<incoming_answer> answer) {
             self->OnAnswer(std::move(answer));
           }});
}

// The request may have waited for a while.
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

void owner_task::OnAnswer(result<incoming_answer> answer) {
  if (!answer) {
    OnFailure(answer.error());
    return;
  }
  if (IsServerRefusal(answer->head)) {
    OnServerRefused(*answer);
    return;
  }
  state_.OnResponseStarted();
  RemoveHopFields(answer->head.fields);
  RemoveMeshFields(answer->head.fields);
  if (!answer->body) {
    End(true);
    Deliver(std::move(answer));
    return;
  }
  body_ = answer->body;
  answer->body = std::make_shared<observed_body>(
      body_,
      [self = shared_from_this()](result<body_part> part,
                                  body_source::callback pass_on) {
        self->OnPart(std::move(part), std::move(pass_on));
      },
      [self = shared_from_this()](bool reading) { self->Cancel(reading); });
  if (detached_) {
    Drain();
  } else {
    Deliver(std::move(answer));
  }
}

void owner_task::OnServerRefused(const incoming_answer& answer) {
  state_.OnRefusedByServer();
  if (answer.body) call_->Cancel();
  End(false);
  Fail(error_kind::kOverloaded, "the backend server refused the request");
}

void owner_task::OnPart(result<body_part> part, body_source::callback pass_on) {
  if (!part) {
    owner_.CheckCrash(context_, shared_from_this(),
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
    // Nothing was learnt about the speed of the backend server.
    Release();
    Deliver(tl::unexpected(std::move(failure)));
    return;
  }
  if (failure.kind != error_kind::kBackendFailed) {
    End(false);
    Fail(failure.kind, failure.message);
    return;
  }
  owner_.CheckCrash(context_, shared_from_this(),
                    [self = shared_from_this(), failure] {
                      self->End(false);
                      self->Fail(failure.kind, failure.message);
                    });
}

void owner_task::Fail(error_kind kind, std::string message) {
  Deliver(tl::unexpected(state_.Failure(kind, std::move(message))));
}

void owner_task::Deliver(result<incoming_answer> answer) {
  const auto events = std::exchange(events_, {});
  if (events.on_answer) events.on_answer(std::move(answer));
}

void owner_task::Cancel(bool reading) {
  if (ended_ || detached_) return;
  events_ = {};
  if (state_.Sent() && !IsIdempotent(request_.kind)) {
    RunOn(reading);
    return;
  }
  Abort();
}

void owner_task::Abort() {
  const auto keep_alive = shared_from_this();
  events_ = {};
  run_on_.cancel();
  if (call_) call_->Cancel();
  Release();
}

// Waits for the outcome in place of the other side.
void owner_task::RunOn(bool reading) {
  detached_ = true;
  run_on_.expires_after(context_->options.run_on_limit);
  run_on_.async_wait(
      [self = shared_from_this()](boost::system::error_code cancelled) {
        if (cancelled || self->ended_) return;
        self->call_->Cancel();
        self->End(false);
      });
  if (body_ && !reading) Drain();
}

void owner_task::Drain() {
  body_->Read([self = shared_from_this()](result<body_part> part) {
    if (!self->ended_) {
      self->OnPart(std::move(part), [](const result<body_part>&) {});
    }
  });
}

// Ends a call that was sent.
void owner_task::End(bool ok) {
  if (ended_) return;
  const auto keep_alive = shared_from_this();
  ended_ = true;
  run_on_.cancel();
  owner_.Forget(id_);
  if (ok) {
    context_->Emit(context_->quarantine.OnSuccess(
        request_.service, request_.fingerprint, MonotonicNow()));
  }
  owner_.Finish(id_, MonotonicNow() - started_at_, ok);
}

// Ends a call that was not sent, or whose end says nothing.
void owner_task::Release() {
  if (ended_) return;
  ended_ = true;
  owner_.Forget(id_);
  owner_.Cancel(id_);
}

}  // namespace pomelohall
