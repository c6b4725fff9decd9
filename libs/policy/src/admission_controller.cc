#include "policy/admission_controller.h"

#include <algorithm>
#include <array>
#include <utility>

namespace pomelohall {
namespace {

/// Slot time charged for a request of a class without a latency sample, in us.
constexpr double kDefaultCostUs = 1'000;

/// Idle classes are evicted above this number of classes. Class names come from
/// peers, so their number is not bounded otherwise.
constexpr std::size_t kIdleClassEvictionThreshold = 256;

/// Class kinds in load shedding order: the kind whose target suffers least is
/// shed first.
constexpr std::array kShedOrder{class_kind::kDownload, class_kind::kLookup,
                                class_kind::kTransaction};

std::size_t ShedRank(class_kind kind) {
  const auto* found = std::find(kShedOrder.begin(), kShedOrder.end(), kind);
  return static_cast<std::size_t>(found - kShedOrder.begin());
}

error Overloaded(std::string message) {
  return {error_kind::kOverloaded, std::move(message), run_state::kNotRun};
}

error DeadlineExceeded() {
  return {error_kind::kDeadlineExceeded,
          "deadline exceeded before the request was sent", run_state::kNotRun};
}

error Draining() {
  return {error_kind::kDraining, "the backend server is draining",
          run_state::kNotRun};
}

error ExclusiveWaitTimedOut() {
  return Overloaded(
      "timed out waiting for requests in flight before exclusive execution");
}

error NoBackendServer() {
  return {error_kind::kNoBackendServer,
          "no backend server is registered with this daemon",
          run_state::kNotRun};
}

}  // namespace

admission_controller::admission_controller(admission_options options)
    : options_(options), limit_(options.limit) {}

std::vector<admission_decision> admission_controller::Submit(
    const admission_request& request, instant now) {
  decisions out;
  if (auto refusal = RefusalFor(request, now)) {
    out.push_back({request.id, std::move(refusal)});
  } else if (CanStartImmediately(request)) {
    limit_.Advance(!running_.empty(), now);
    auto& state = ClassOf(request);
    // No class is queued, so none falls behind when the virtual time advances.
    // If it did not, the next class to queue would be ahead of this one by all
    // the slot time that this one has used alone.
    state.virtual_time = std::max(state.virtual_time, virtual_time_);
    virtual_time_ = state.virtual_time;
    Start(request, state, out);
    return out;
  } else {
    Enqueue(request, out);
  }
  return Dispatch(now, std::move(out));
}

std::vector<admission_decision> admission_controller::Finish(request_id id,
                                                             duration latency,
                                                             bool ok,
                                                             instant now) {
  ReleaseSlot(id, latency, ok, now);
  return Dispatch(now, {});
}

std::vector<admission_decision> admission_controller::Cancel(request_id id,
                                                             instant now) {
  const auto found = queued_.find(id);
  if (found != queued_.end()) {
    auto* state = found->second.work_class;
    (state ? state->queue : exclusive_queue_)
        .Remove(id, found->second.deadline);
    queued_.erase(found);
  } else {
    ReleaseSlot(id, std::nullopt, true, now);
  }
  return Dispatch(now, {});
}

std::vector<admission_decision> admission_controller::Tick(instant now) {
  EvictIdleClasses();
  return Dispatch(now, {});
}

void admission_controller::SetSlots(std::uint32_t slots, instant now) {
  limit_.Advance(!running_.empty(), now);
  limit_.SetSlots(slots);
}

void admission_controller::SetDraining(bool draining) {
  draining_ = draining;
  draining_since_.reset();
}

admission_controller::decisions admission_controller::Dispatch(instant now,
                                                               decisions out) {
  limit_.Advance(!running_.empty(), now);
  if (queued_.empty()) return out;
  RefuseIfUnavailable(now, out);
  RefuseExpired(now, out);
  StartQueued(out);
  ExpireExclusive(now, out);
  return out;
}

admission_controller::class_state& admission_controller::ClassOf(
    const admission_request& request) {
  auto found = classes_.find(request.work_class);
  if (found == classes_.end()) {
    found = classes_.emplace(request.work_class, class_state()).first;
    found->second.kind = request.kind;
  }
  return found->second;
}

double admission_controller::WeightOf(class_kind kind) const {
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

std::optional<error> admission_controller::RefusalFor(
    const admission_request& request, instant now) const {
  if (draining_) return Draining();
  if (limit_.Slots() == 0) return NoBackendServer();
  if (now >= request.deadline) return DeadlineExceeded();
  if (request.exclusive && now < exclusive_refused_until_ &&
      !running_.empty()) {
    return ExclusiveWaitTimedOut();
  }
  return std::nullopt;
}

void admission_controller::Enqueue(const admission_request& request,
                                   decisions& out) {
  auto* state = request.exclusive ? nullptr : &ClassOf(request);
  auto& queue = state ? state->queue : exclusive_queue_;
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

bool admission_controller::CanStartImmediately(
    const admission_request& request) const {
  const bool full = running_.size() >= limit_.Limit() ||
                    (request.kind == class_kind::kDownload && DownloadsFull());
  return queued_.empty() && !request.exclusive && !exclusive_running_ && !full;
}

bool admission_controller::ShedFor(const admission_request& request,
                                   decisions& out) {
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
    out.push_back(
        {request.id, Overloaded("the queue of the owner daemon is full")});
    return false;
  }
  RefuseQueued(victim->queue, victim->queue.Last().id,
               Overloaded("shed in favour of " +
                          std::string(ClassKindName(request.kind)) + " work"),
               out);
  return true;
}

void admission_controller::RefuseQueued(admission_queue& queue, request_id id,
                                        error reason, decisions& out) {
  const auto found = queued_.find(id);
  queue.Remove(id, found->second.deadline);
  queued_.erase(found);
  out.push_back({id, std::move(reason)});
}

void admission_controller::RefuseAll(const error& reason, decisions& out) {
  const auto refuse = [&](admission_queue& queue) {
    while (!queue.Empty()) RefuseQueued(queue, queue.First().id, reason, out);
  };
  refuse(exclusive_queue_);
  for (auto& [name, state] : classes_) refuse(state.queue);
}

void admission_controller::RefuseIfUnavailable(instant now, decisions& out) {
  if (limit_.Slots() == 0) {
    RefuseAll(NoBackendServer(), out);
    return;
  }
  if (!draining_) return;
  if (!draining_since_) draining_since_ = now;
  if (now - *draining_since_ >= options_.drain_grace) {
    RefuseAll(Draining(), out);
  }
}

void admission_controller::ExpireExclusive(instant now, decisions& out) {
  const bool blocked = !exclusive_queue_.Empty() && !exclusive_running_ &&
                       starts_before_exclusive_ == 0 && !running_.empty();
  if (!blocked) {
    blocked_since_.reset();
    return;
  }
  if (!blocked_since_) blocked_since_ = now;
  if (now - *blocked_since_ < options_.exclusive_wait_timeout) return;
  blocked_since_.reset();
  exclusive_refused_until_ = now + options_.exclusive_backoff;
  while (!exclusive_queue_.Empty()) {
    RefuseQueued(exclusive_queue_, exclusive_queue_.First().id,
                 ExclusiveWaitTimedOut(), out);
  }
  StartQueued(out);
}

void admission_controller::RefuseExpired(instant now, decisions& out) {
  RefuseExpiredIn(exclusive_queue_, duration{0}, now, out);
  for (auto& [name, state] : classes_) {
    // A request that cannot complete in time would only take the slot of one
    // that can. While no request of the class runs, one is started anyway, so
    // that the latency estimate can decrease.
    const auto needed =
        state.running > 0 ? state.latency.ShortTermAverage() : std::nullopt;
    RefuseExpiredIn(state.queue, needed.value_or(duration{0}), now, out);
  }
}

void admission_controller::RefuseExpiredIn(admission_queue& queue,
                                           duration needed, instant now,
                                           decisions& out) {
  while (!queue.Empty() && queue.First().deadline <= now + needed) {
    RefuseQueued(queue, queue.First().id, DeadlineExceeded(), out);
  }
}

void admission_controller::StartQueued(decisions& out) {
  while (!exclusive_running_) {
    if (!StartExclusive(out) && !StartNext(out)) return;
  }
}

bool admission_controller::StartExclusive(decisions& out) {
  if (exclusive_queue_.Empty() || starts_before_exclusive_ > 0 ||
      !running_.empty()) {
    return false;
  }
  const auto request = exclusive_queue_.TakeFirst();
  exclusive_running_ = true;
  starts_before_exclusive_ = limit_.Limit();
  Start(request, ClassOf(request), out);
  return true;
}

bool admission_controller::StartNext(decisions& out) {
  // New starts are paused while an exclusive request waits; otherwise it would
  // never run on a busy server.
  if (!exclusive_queue_.Empty() && starts_before_exclusive_ == 0) return false;
  if (running_.size() >= limit_.Limit()) return false;
  auto* state = NextClass();
  if (state == nullptr) {
    const bool retry = starts_before_exclusive_ > 0 && running_.empty();
    starts_before_exclusive_ = 0;
    return retry && !exclusive_queue_.Empty();
  }
  if (starts_before_exclusive_ > 0) --starts_before_exclusive_;
  virtual_time_ = std::max(virtual_time_, state->virtual_time);
  Start(state->queue.TakeFirst(), *state, out);
  return true;
}

void admission_controller::Start(const admission_request& request,
                                 class_state& state, decisions& out) {
  const auto average = state.latency.ShortTermAverage();
  const double cost =
      average ? static_cast<double>(average->count()) : kDefaultCostUs;
  state.virtual_time += cost / WeightOf(state.kind);
  ++state.running;
  if (state.kind == class_kind::kDownload) ++downloads_running_;
  queued_.erase(request.id);
  running_.emplace(request.id,
                   running_request{&state, cost, request.exclusive});
  out.push_back({request.id, std::nullopt});
}

admission_controller::class_state* admission_controller::NextClass() {
  class_state* next = nullptr;
  for (auto& [name, state] : classes_) {
    if (state.queue.Empty()) continue;
    if (state.kind == class_kind::kDownload && DownloadsFull()) continue;
    if (!next || state.virtual_time < next->virtual_time) next = &state;
  }
  return next;
}

bool admission_controller::DownloadsFull() const {
  const auto share =
      static_cast<std::size_t>(options_.download_share * limit_.Limit());
  return downloads_running_ >= std::max<std::size_t>(share, 1);
}

void admission_controller::ReleaseSlot(request_id id,
                                       std::optional<duration> latency, bool ok,
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
    // The latency of a download depends on how fast its caller reads, so it
    // says nothing about the load of the server.
    if (state.kind != class_kind::kDownload) {
      limit_.OnResponse(state.latency.Gradient(), running_.size());
    }
  }
  --state.running;
  if (state.kind == class_kind::kDownload) --downloads_running_;
  if (ended.exclusive) exclusive_running_ = false;
  running_.erase(found);
}

void admission_controller::EvictIdleClasses() {
  if (classes_.size() <= kIdleClassEvictionThreshold) return;
  std::erase_if(classes_, [](const auto& item) {
    return item.second.queue.Empty() && item.second.running == 0;
  });
}

}  // namespace pomelohall
