#include "caller_process.h"

namespace pomelohall::matrix::calls {
namespace {

/// With the pauses these outlast every fault, also if each second entry daemon
/// is dead.
constexpr std::size_t kMaxTries = 30;
constexpr duration kPause{300'000};
constexpr duration kDeadline{2'000'000};
constexpr duration kPatience{2'500'000};

}  // namespace

void caller_process::Begin(std::size_t request) {
  if (pending_.size() <= request) pending_.resize(request + 1);
  SendTry(request);
}

void caller_process::SendTry(std::size_t request) {
  auto& state = pending_[request];
  if (state.try_number >= kMaxTries) return;
  ++state.try_number;
  state.entry =
      net_.entries[(request + state.try_number + 1) % net_.entries.size()];
  state.epoch = net_.clock.EpochOf(state.entry);
  state.body.clear();
  state.waiting = true;
  const caller_try origin{.request = request,
                          .number = state.try_number,
                          .deadline = net_.clock.Now() + kDeadline};
  // A caller with a key may send twice in its impatience.
  const bool keyed = net_.records.Request(request).IsKeyed();
  net_.clock.Send({.from = net_.caller,
                   .to = state.entry,
                   .connection = std::to_string(request) + "/" +
                                 std::to_string(origin.number),
                   .request = request,
                   .repeat = keyed ? copies::kRepeatable : copies::kOnce,
                   .deliver = [this, origin, entry = state.entry] {
                     send(entry, origin);
                   }});
  net_.clock.After(kPatience, net_.caller, [this, origin] {
    if (Current(origin)) SendAgain(origin.request, run_state::kUnknown);
  });
}

void caller_process::OnPart(const caller_try& origin, const std::string& part) {
  if (auto* state = Current(origin)) state->body += part;
}

void caller_process::OnEnd(const caller_try& origin) {
  auto* state = Current(origin);
  if (state == nullptr) return;
  state->waiting = false;
  net_.records.OnAnswer(origin.request, state->body);
}

void caller_process::OnAborted(const caller_try& origin) {
  if (Current(origin)) SendAgain(origin.request, run_state::kUnknown);
}

void caller_process::OnError(const caller_try& origin, const error& reason) {
  if (reason.ran == run_state::kNotRun) {
    net_.records.OnToldNotRun(origin.request, origin.number);
  }
  auto* state = Current(origin);
  if (state == nullptr) return;
  if (reason.kind == error_kind::kPoisonSuspected) {
    state->waiting = false;
    net_.records.Request(origin.request).convicted = true;
    return;
  }
  SendAgain(origin.request, reason.ran);
}

void caller_process::OnPeerDied(process_id dead, std::uint64_t epoch) {
  for (std::size_t i = 0; i < pending_.size(); ++i) {
    const auto& state = pending_[i];
    if (state.waiting && state.entry == dead && state.epoch == epoch) {
      SendAgain(i, run_state::kUnknown);
    }
  }
}

void caller_process::SendAgain(std::size_t request, run_state ran) {
  pending_[request].waiting = false;
  const auto& record = net_.records.Request(request);
  const bool allowed = ran == run_state::kNotRun || record.IsKeyed() ||
                       IsIdempotent(record.kind);
  if (!allowed) return;
  net_.clock.After(kPause, net_.caller, [this, request] { SendTry(request); });
}

caller_process::pending* caller_process::Current(const caller_try& origin) {
  if (origin.request >= pending_.size()) return nullptr;
  auto& state = pending_[origin.request];
  const bool current = state.waiting && state.try_number == origin.number;
  return current ? &state : nullptr;
}

}  // namespace pomelohall::matrix::calls
