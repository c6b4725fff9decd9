#include "backend_process.h"

namespace pomelohall::matrix::calls {
namespace {

constexpr duration kRunTime{5'000};
constexpr duration kPartTime{1'000};
constexpr duration kRestartTime{200'000};
constexpr duration kLateTime{3'000'000};
constexpr std::size_t kParts = 3;

}  // namespace

void backend_process::OnRequest(const forwarded_call& call,
                                const answer_sink& sink) {
  net_.records.OnExecution({.request = call.origin.request,
                            .try_number = call.origin.number,
                            .backend = self_,
                            .sent_at = call.sent_at,
                            .at = net_.clock.Now()});
  if (net_.records.Request(call.origin.request).poison) {
    net_.clock.After(kCrashTime, self_,
                     [this] { net_.clock.Restart(self_, kRestartTime); });
    return;
  }
  net_.reached("running", call.origin, call.entry, std::nullopt);
  const duration jitter(
      static_cast<std::int64_t>(net_.clock.Random().Below(1'000)));
  net_.clock.After(kRunTime + jitter, self_,
                   [this, call, sink] { Answer(call, sink); });
}

void backend_process::OnCancel(const forwarded_call& call) {
  cancelled_.insert(call.Connection());
}

void backend_process::Answer(const forwarded_call& call,
                             const answer_sink& sink) {
  if (TakeAnswerFault(call, fault::kAnswerLate)) {
    net_.clock.After(kLateTime, self_,
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
  SendPart(call, sink, journal::AnswerOf(call.origin.request), 0);
}

void backend_process::SendPart(const forwarded_call& call,
                               const answer_sink& sink, const std::string& body,
                               std::size_t number) {
  if (cancelled_.contains(call.Connection())) return;
  if (number == kParts) {
    sink.end();
    return;
  }
  if (number == 1 && TakeAnswerFault(call, fault::kAnswerCutShort)) {
    sink.cut();
    return;
  }
  const bool late = number == 1 && TakeAnswerFault(call, fault::kAnswerLate);
  const auto size = body.size() / kParts;
  const bool last = number + 1 == kParts;
  sink.part(body.substr(number * size, last ? std::string::npos : size));
  net_.clock.After(late ? kLateTime : kPartTime, self_,
                   [this, call, sink, body, number] {
                     SendPart(call, sink, body, number + 1);
                   });
}

bool backend_process::TakeAnswerFault(const forwarded_call& call, fault which) {
  return call.origin.request == kObserved &&
         net_.answer_faults.erase(which) > 0;
}

}  // namespace pomelohall::matrix::calls
