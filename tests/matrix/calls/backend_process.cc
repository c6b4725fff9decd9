#include "backend_process.h"

namespace pomelohall::matrix::calls {
namespace {

constexpr duration kRunTime{5'000};
constexpr duration kPartInterval{1'000};
constexpr duration kRestartDelay{200'000};
constexpr duration kLateAnswerDelay{3'000'000};
constexpr std::size_t kPartCount = 3;

}  // namespace

void backend_process::OnRequest(const forwarded_call& call,
                                const answer_sink& sink) {
  context_.history.OnExecution({.request = call.origin.request,
                                .attempt_number = call.origin.number,
                                .backend = self_,
                                .sent_at = call.sent_at,
                                .at = context_.sim.Now()});
  if (context_.history.Request(call.origin.request).poison) {
    context_.sim.RunAtProcess(kCrashTime, self_, [this] {
      context_.sim.Restart(self_, kRestartDelay);
    });
    return;
  }
  context_.on_step_reached("running", call.origin, call.entry, std::nullopt);
  const duration jitter(
      static_cast<std::int64_t>(context_.sim.Random().Below(1'000)));
  context_.sim.RunAtProcess(kRunTime + jitter, self_,
                            [this, call, sink] { Answer(call, sink); });
}

void backend_process::OnCancel(const forwarded_call& call) {
  cancelled_.insert(call.Connection());
}

void backend_process::Answer(const forwarded_call& call,
                             const answer_sink& sink) {
  if (TakeAnswerFault(call, fault::kAnswerLate)) {
    context_.sim.RunAtProcess(kLateAnswerDelay, self_,
                              [this, call, sink] { Answer(call, sink); });
    return;
  }
  if (cancelled_.contains(call.Connection())) return;
  if (TakeAnswerFault(call, fault::kAnswerCrossed)) {
    sink.head("call-of-someone-else");
    SendPart(call, sink, "an answer to someone else's request", 0);
    return;
  }
  sink.head(call.call_id);
  SendPart(call, sink, call_history::ExpectedAnswer(call.origin.request), 0);
}

void backend_process::SendPart(const forwarded_call& call,
                               const answer_sink& sink, const std::string& body,
                               std::size_t number) {
  if (cancelled_.contains(call.Connection())) return;
  if (number == kPartCount) {
    sink.end();
    return;
  }
  if (number == 1 && TakeAnswerFault(call, fault::kAnswerCutShort)) {
    sink.truncated();
    return;
  }
  const bool late = number == 1 && TakeAnswerFault(call, fault::kAnswerLate);
  const auto size = body.size() / kPartCount;
  const bool last = number + 1 == kPartCount;
  sink.part(body.substr(number * size, last ? std::string::npos : size));
  context_.sim.RunAtProcess(late ? kLateAnswerDelay : kPartInterval, self_,
                            [this, call, sink, body, number] {
                              SendPart(call, sink, body, number + 1);
                            });
}

bool backend_process::TakeAnswerFault(const forwarded_call& call, fault which) {
  return call.origin.request == kObservedRequest &&
         context_.answer_faults.erase(which) > 0;
}

}  // namespace pomelohall::matrix::calls
