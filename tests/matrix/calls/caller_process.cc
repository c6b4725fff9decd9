#include "caller_process.h"

namespace pomelohall::matrix::calls {
namespace {

/// Enough attempts, with their delays, to outlast every fault even if every
/// second attempt goes to a dead entry daemon.
constexpr std::size_t kMaxAttempts = 30;
constexpr duration kRetryDelay{300'000};
constexpr duration kRequestDeadline{2'000'000};
constexpr duration kResponseTimeout{2'500'000};

}  // namespace

void caller_process::Begin(std::size_t request) {
  if (pending_requests_.size() <= request)
    pending_requests_.resize(request + 1);
  SendAttempt(request);
}

void caller_process::SendAttempt(std::size_t request) {
  auto& state = pending_requests_[request];
  if (state.attempt_number >= kMaxAttempts) return;
  ++state.attempt_number;
  state.entry = context_.entries[(request + state.attempt_number + 1) %
                                 context_.entries.size()];
  state.epoch = context_.sim.EpochOf(state.entry);
  state.body.clear();
  state.waiting = true;
  const caller_attempt origin{
      .request = request,
      .number = state.attempt_number,
      .deadline = context_.sim.Now() + kRequestDeadline};
  // A caller with an idempotency key may send a request twice.
  const bool keyed = context_.history.Request(request).HasKey();
  context_.sim.Send({.from = context_.caller,
                     .to = state.entry,
                     .connection = std::to_string(request) + "/" +
                                   std::to_string(origin.number),
                     .request = request,
                     .delivery = keyed ? message_delivery::kRepeatable
                                       : message_delivery::kOnce,
                     .deliver = [this, origin, entry = state.entry] {
                       send(entry, origin);
                     }});
  context_.sim.RunAtProcess(kResponseTimeout, context_.caller, [this, origin] {
    if (FindCurrent(origin))
      RetryIfAllowed(origin.request, run_state::kUnknown);
  });
}

void caller_process::OnPart(const caller_attempt& origin,
                            const std::string& part) {
  if (auto* state = FindCurrent(origin)) state->body += part;
}

void caller_process::OnEnd(const caller_attempt& origin) {
  auto* state = FindCurrent(origin);
  if (state == nullptr) return;
  state->waiting = false;
  context_.history.OnAnswer(origin.request, state->body);
}

void caller_process::OnAborted(const caller_attempt& origin) {
  if (FindCurrent(origin)) RetryIfAllowed(origin.request, run_state::kUnknown);
}

void caller_process::OnError(const caller_attempt& origin,
                             const error& reason) {
  if (reason.ran == run_state::kNotRun) {
    context_.history.OnReportedNotRun(origin.request, origin.number);
  }
  auto* state = FindCurrent(origin);
  if (state == nullptr) return;
  if (reason.kind == error_kind::kPoisonSuspected) {
    state->waiting = false;
    context_.history.Request(origin.request).refused_as_poison = true;
    return;
  }
  RetryIfAllowed(origin.request, reason.ran);
}

void caller_process::OnPeerDied(process_id dead, std::uint64_t epoch) {
  for (std::size_t i = 0; i < pending_requests_.size(); ++i) {
    const auto& state = pending_requests_[i];
    if (state.waiting && state.entry == dead && state.epoch == epoch) {
      RetryIfAllowed(i, run_state::kUnknown);
    }
  }
}

void caller_process::RetryIfAllowed(std::size_t request, run_state ran) {
  pending_requests_[request].waiting = false;
  const auto& record = context_.history.Request(request);
  const bool allowed =
      ran == run_state::kNotRun || record.HasKey() || IsIdempotent(record.kind);
  if (!allowed) return;
  context_.sim.RunAtProcess(kRetryDelay, context_.caller,
                            [this, request] { SendAttempt(request); });
}

caller_process::pending_request* caller_process::FindCurrent(
    const caller_attempt& origin) {
  if (origin.request >= pending_requests_.size()) return nullptr;
  auto& state = pending_requests_[origin.request];
  const bool current = state.waiting && state.attempt_number == origin.number;
  return current ? &state : nullptr;
}

}  // namespace pomelohall::matrix::calls
