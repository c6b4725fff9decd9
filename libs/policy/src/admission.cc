#include "policy/admission.h"

#include <algorithm>
#include <array>
#include <utility>

namespace pomelohall {
namespace {

/// Slot time charged for a class without a sample, in us.
constexpr double kDefaultCostUs = 1'000;

/// Classes above this number are forgotten while idle. Names come from peers.
constexpr std::size_t kMaxIdleClasses = 256;

/// Kinds in the order in which they are shed: the work whose target suffers
/// least comes first.
constexpr std::array kShedOrder{class_kind::kDownload, class_kind::kLookup,
                                class_kind::kTransaction};

std::size_t ShedRank(class_kind kind) {
  const auto* found = std::find(kShedOrder.begin(), kShedOrder.end(), kind);
  return static_cast<std::size_t>(found - kShedOrder.begin());
}

error Overloaded(std::string message) {
  return {error_kind::kOverloaded, std::move(message), run_state::kNotRun};
}

error DeadlinePassed() {
  return {error_kind::kDeadlineExceeded,
          "the deadline passed before the request was sent",
          run_state::kNotRun};
}

error Draining() {
  return {error_kind::kDraining, "the backend server is draining",
          run_state::kNotRun};
}

error NoTurnAlone() {
  return Overloaded(
      "the requests in flight did not end in time to run it alone");
}

error NoServer() {
  return {error_kind::kNoBackendServer,
          "no backend server is announced beside this daemon",
          run_state::kNotRun};
}

}  // namespace

admission::admission(admission_options options)
    : options_(options), limit_(options.limit) {}

std::vector<admission_decision> admission::Submit(
    const admission_request& request, instant now) {
  decisions out;
  if (auto refusal = RefusalFor(request, now)) {
    out.push_back({request.id, std::move(refusal)});
  } else if (MayStartAtOnce(request)) {
    limit_.Advance(!running_.empty(), now);
    auto& state = ClassOf(request);
    state.virtual_time = std::max(state.virtual_time, virtual_time_);
    Start(request, state, out);
    return out;
  } else {
    Enqueue(request, out);
  }
  return Run(now, std::move(out));
}

std::vector<admission_decision> admission::Finish(ticket id, duration latency,
                                                  bool ok, instant now) {
  Settle(id, latency, ok, now);
  return Run(now, {});
}

std::vector<admission_decision> admission::Cancel(ticket id, instant now) {
  const auto found = queued_.find(id);
  if (found != queued_.end()) {
    auto* state = found->second.work_class;
    (state ? state->queue : alone_).Remove(id, found->second.deadline);
    queued_.erase(found);
  } else {
    Settle(id, std::nullopt, true, now);
  }
  return Run(now, {});
}

std::vector<admission_decision> admission::Tick(instant now) {
  DropIdleClasses();
  return Run(now, {});
}

void admission::SetSlots(std::uint32_t slots, instant now) {
  limit_.Advance(!running_.empty(), now);
  limit_.SetSlots(slots);
}

void admission::SetDraining(bool draining) {
  draining_ = draining;
  draining_since_.reset();
}

admission::decisions admission::Run(instant now, decisions out) {
  limit_.Advance(!running_.empty(), now);
  if (queued_.empty()) return out;
  AnswerDraining(now, out);
  AnswerDeadlines(now, out);
  StartReady(out);
  AnswerAlone(now, out);
  return out;
}

admission::class_state& admission::ClassOf(const admission_request& request) {
  auto found = classes_.find(request.work_class);
  if (found == classes_.end()) {
    found = classes_.emplace(request.work_class, class_state()).first;
    found->second.kind = request.kind;
  }
  return found->second;
}

double admission::WeightOf(class_kind kind) const {
  switch (kind) {
    case class_kind::kLookup:
      return options_.lookup_weight;
    case class_kind::kDownload:
      return options_.download_weight;
    case class_kind::kTransaction:
      return options_.transaction_weight;
  }
  return 1;
}

std::optional<error> admission::RefusalFor(const admission_request& request,
                                           instant now) const {
  if (draining_) return Draining();
  if (limit_.Slots() == 0) return NoServer();
  if (now >= request.deadline) return DeadlinePassed();
  if (request.alone && now < alone_refused_until_ && !running_.empty()) {
    return NoTurnAlone();
  }
  return std::nullopt;
}

void admission::Enqueue(const admission_request& request, decisions& out) {
  auto* state = request.alone ? nullptr : &ClassOf(request);
  auto& queue = state ? state->queue : alone_;
  if (queue.Size() >= options_.max_queued_per_class) {
    out.push_back({request.id, Overloaded("the queue of class " +
                                          request.work_class + " is full")});
    return;
  }
  if (queued_.size() >= options_.max_queued && !ShedFor(request, out)) return;
  if (state && queue.Empty()) {
    state->virtual_time = std::max(state->virtual_time, virtual_time_);
  }
  queue.Add(request);
  queued_.emplace(request.id, queued_request{state, request.deadline});
}

bool admission::MayStartAtOnce(const admission_request& request) const {
  const bool full = running_.size() >= limit_.Limit() ||
                    (request.kind == class_kind::kDownload && DownloadsFull());
  return queued_.empty() && !request.alone && !alone_running_ && !full;
}

bool admission::ShedFor(const admission_request& request, decisions& out) {
  class_state* victim = nullptr;
  for (auto& [name, state] : classes_) {
    if (state.queue.Empty() || ShedRank(state.kind) >= ShedRank(request.kind)) {
      continue;
    }
    const bool first = !victim || ShedRank(state.kind) < ShedRank(victim->kind);
    const bool longer = victim && state.kind == victim->kind &&
                        state.queue.Size() > victim->queue.Size();
    if (first || longer) victim = &state;
  }
  if (victim == nullptr) {
    out.push_back({request.id, Overloaded("the queue of the owner is full")});
    return false;
  }
  RefuseQueued(victim->queue, victim->queue.Last().id,
               Overloaded("shed in favour of " +
                          std::string(ClassKindName(request.kind)) + " work"),
               out);
  return true;
}

void admission::RefuseQueued(admission_queue& queue, ticket id, error reason,
                             decisions& out) {
  const auto found = queued_.find(id);
  queue.Remove(id, found->second.deadline);
  queued_.erase(found);
  out.push_back({id, std::move(reason)});
}

void admission::RefuseAll(const error& reason, decisions& out) {
  const auto refuse = [&](admission_queue& queue) {
    while (!queue.Empty()) RefuseQueued(queue, queue.First().id, reason, out);
  };
  refuse(alone_);
  for (auto& [name, state] : classes_) refuse(state.queue);
}

void admission::AnswerDraining(instant now, decisions& out) {
  if (limit_.Slots() == 0) {
    RefuseAll(NoServer(), out);
    return;
  }
  if (!draining_) return;
  if (!draining_since_) draining_since_ = now;
  if (now - *draining_since_ >= options_.drain_grace) {
    RefuseAll(Draining(), out);
  }
}

void admission::AnswerAlone(instant now, decisions& out) {
  const bool blocked = !alone_.Empty() && !alone_running_ &&
                       starts_before_alone_ == 0 && !running_.empty();
  if (!blocked) {
    blocked_since_.reset();
    return;
  }
  if (!blocked_since_) blocked_since_ = now;
  if (now - *blocked_since_ < options_.alone_patience) return;
  blocked_since_.reset();
  alone_refused_until_ = now + options_.alone_pause;
  while (!alone_.Empty()) {
    RefuseQueued(alone_, alone_.First().id, NoTurnAlone(), out);
  }
  StartReady(out);
}

void admission::AnswerDeadlines(instant now, decisions& out) {
  AnswerDeadlinesOf(alone_, duration{0}, now, out);
  for (auto& [name, state] : classes_) {
    // A request that cannot end in time only takes the slot of one that can.
    // While none of its class runs, one is tried, so that the estimate can
    // fall.
    const auto needed =
        state.running > 0 ? state.latency.Typical() : std::nullopt;
    AnswerDeadlinesOf(state.queue, needed.value_or(duration{0}), now, out);
  }
}

void admission::AnswerDeadlinesOf(admission_queue& queue, duration needed,
                                  instant now, decisions& out) {
  while (!queue.Empty() && queue.First().deadline <= now + needed) {
    RefuseQueued(queue, queue.First().id, DeadlinePassed(), out);
  }
}

void admission::StartReady(decisions& out) {
  while (!alone_running_) {
    if (!StartAlone(out) && !StartNext(out)) return;
  }
}

bool admission::StartAlone(decisions& out) {
  if (alone_.Empty() || starts_before_alone_ > 0 || !running_.empty()) {
    return false;
  }
  const auto request = alone_.TakeFirst();
  alone_running_ = true;
  starts_before_alone_ = limit_.Limit();
  Start(request, ClassOf(request), out);
  return true;
}

bool admission::StartNext(decisions& out) {
  // Without a pause no request ever ran alone on a busy server.
  if (!alone_.Empty() && starts_before_alone_ == 0) return false;
  if (running_.size() >= limit_.Limit()) return false;
  auto* state = NextClass();
  if (state == nullptr) {
    const bool retry = starts_before_alone_ > 0 && running_.empty();
    starts_before_alone_ = 0;
    return retry && !alone_.Empty();
  }
  if (starts_before_alone_ > 0) --starts_before_alone_;
  virtual_time_ = std::max(virtual_time_, state->virtual_time);
  Start(state->queue.TakeFirst(), *state, out);
  return true;
}

void admission::Start(const admission_request& request, class_state& state,
                      decisions& out) {
  const auto typical = state.latency.Typical();
  const double cost =
      typical ? static_cast<double>(typical->count()) : kDefaultCostUs;
  state.virtual_time += cost / WeightOf(state.kind);
  ++state.running;
  if (state.kind == class_kind::kDownload) ++downloads_running_;
  queued_.erase(request.id);
  running_.emplace(request.id, running_request{&state, cost, request.alone});
  out.push_back({request.id, std::nullopt});
}

admission::class_state* admission::NextClass() {
  class_state* next = nullptr;
  for (auto& [name, state] : classes_) {
    if (state.queue.Empty()) continue;
    if (state.kind == class_kind::kDownload && DownloadsFull()) continue;
    if (!next || state.virtual_time < next->virtual_time) next = &state;
  }
  return next;
}

bool admission::DownloadsFull() const {
  const auto share =
      static_cast<std::size_t>(options_.download_share * limit_.Limit());
  return downloads_running_ >= std::max<std::size_t>(share, 1);
}

void admission::Settle(ticket id, std::optional<duration> latency, bool ok,
                       instant now) {
  limit_.Advance(!running_.empty(), now);
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  const auto ended = found->second;
  auto& state = *ended.work_class;
  if (latency) {
    const auto used = static_cast<double>(latency->count());
    state.virtual_time += (used - ended.charged_us) / WeightOf(state.kind);
    if (!ok) limit_.OnFailure();
  }
  if (latency && ok) {
    state.latency.Add(*latency);
    // The time of a download depends on how fast its caller reads.
    if (state.kind != class_kind::kDownload) {
      limit_.OnAnswer(state.latency.Gradient(), running_.size());
    }
  }
  --state.running;
  if (state.kind == class_kind::kDownload) --downloads_running_;
  if (ended.alone) alone_running_ = false;
  running_.erase(found);
}

void admission::DropIdleClasses() {
  if (classes_.size() <= kMaxIdleClasses) return;
  std::erase_if(classes_, [](const auto& item) {
    return item.second.queue.Empty() && item.second.running == 0;
  });
}

}  // namespace pomelohall
