#include "answer_sender.h"

#include <algorithm>
#include <utility>

#include "logging/log_event.h"

namespace pomelohall {
namespace {

// Size of the header fields of a typical answer and of its packet headers.
constexpr std::uint64_t kHeaderBytes = 500;
// Shorter waits are normal on a busy link and are not logged.
constexpr duration kMinLoggedWait = std::chrono::seconds(1);

std::int64_t Millis(duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

}  // namespace

void LimitToStop(answer_times& times, instant latest) {
  times.deadline = std::min(times.deadline, latest);
  times.receiver_stops = true;
}

answer_sender::answer_sender(boost::asio::io_context& io,
                             transmit_queue_options options,
                             std::string attempt_id_field)
    : queue_(options),
      timer_(io),
      attempt_id_field_(std::move(attempt_id_field)) {}

void answer_sender::Send(const std::shared_ptr<incoming_request>& request,
                         incoming_response answer, answer_times times,
                         std::function<void(response_write_result)> done) {
  if (!paced_ || !answer.head.length || !queue_.IsPaced(*answer.head.length)) {
    CountSent(answer.head);
    request->Respond(std::move(answer), std::move(done));
    return;
  }
  if (latest_deadline_) LimitToStop(times, *latest_deadline_);
  const auto id = ++last_id_;
  const auto now = MonotonicNow();
  queue_.Add({.id = id,
              .bytes = *answer.head.length,
              .target_at = times.target_at,
              .deadline = times.deadline,
              .receiver_stops = times.receiver_stops},
             now);
  waiting_.emplace(id, waiting_answer{.request = request,
                                      .answer = std::move(answer),
                                      .times = times,
                                      .done = std::move(done),
                                      .queued_at = now,
                                      .sent_before = sent_answers_});
  request->SetDisconnectHandler([this, id] { Remove(id); });
  SendReady();
}

void answer_sender::LimitDeadlinesOf(const std::string& receiver,
                                     instant latest) {
  LimitQueued(&receiver, latest);
}

void answer_sender::LimitDeadlines(instant latest) {
  latest_deadline_ = latest;
  LimitQueued(nullptr, latest);
}

void answer_sender::LimitQueued(const std::string* receiver, instant latest) {
  for (auto& [id, waiting] : waiting_) {
    if (receiver != nullptr && waiting.times.receiver != *receiver) continue;
    LimitToStop(waiting.times, latest);
    queue_.LimitToStop(id, latest);
  }
  SendReady();
}

void answer_sender::CountSent(const response_head& head) {
  queue_.OnSent(kHeaderBytes + head.length.value_or(0), MonotonicNow());
}

void answer_sender::SendReady() {
  while (const auto id = queue_.Next(MonotonicNow())) {
    const auto found = waiting_.find(*id);
    if (found == waiting_.end()) continue;
    auto next = std::move(found->second);
    waiting_.erase(found);
    SendQueued(std::move(next));
  }
  if (queue_.Empty()) return;
  timer_.expires_at(queue_.NextAt());
  timer_.async_wait([this](boost::system::error_code cancelled) {
    if (!cancelled) SendReady();
  });
}

void answer_sender::SendQueued(waiting_answer next) {
  if (MonotonicNow() - next.queued_at >= kMinLoggedWait) {
    LogWait("answer_sent_late", next);
  }
  ++sent_answers_;
  const auto bytes = next.answer.head.length.value_or(0);
  next.request->Respond(
      std::move(next.answer),
      [this, request = next.request, bytes, queued_at = next.queued_at,
       sent_at = MonotonicNow(),
       done = std::move(next.done)](response_write_result written) {
        LogWrite(*request, bytes, sent_at - queued_at, sent_at, written);
        if (done) done(written);
      });
}

void answer_sender::LogWrite(const incoming_request& request,
                             std::uint64_t bytes, duration waited,
                             instant sent_at,
                             const response_write_result& written) const {
  const auto write_time = MonotonicNow() - sent_at;
  if (written.complete && write_time < kMinLoggedWait) return;
  const auto* const id = FindField(request.Head().fields, attempt_id_field_);
  log_event(log_level::kInfo,
            written.complete ? "answer_written_late" : "answer_not_written")
      .With("request", id == nullptr ? "" : *id)
      .With("bytes", bytes)
      .With("written_bytes", written.body_bytes)
      .With("waited_ms", Millis(waited))
      .With("write_ms", Millis(write_time));
}

void answer_sender::SendAll() {
  paced_ = false;
  timer_.cancel();
  for (auto& [id, next] : std::exchange(waiting_, {})) {
    queue_.Remove(id);
    SendQueued(std::move(next));
  }
}

void answer_sender::Remove(std::uint64_t id) {
  queue_.Remove(id);
  const auto found = waiting_.find(id);
  if (found == waiting_.end()) return;
  // Keeps the request and its answer alive until this handler returns: the
  // session that calls it may still use them.
  const auto removed = std::move(found->second);
  waiting_.erase(found);
  LogWait("answer_abandoned", removed);
  if (removed.answer.body) removed.answer.body->Cancel();
  if (removed.done) removed.done({});
}

void answer_sender::LogWait(std::string_view event,
                            const waiting_answer& waiting) const {
  const auto now = MonotonicNow();
  const auto& head = waiting.request->Head();
  const auto* const id = FindField(head.fields, attempt_id_field_);
  log_event(log_level::kInfo, event)
      .With("request", id == nullptr ? "" : *id)
      .With("bytes", waiting.answer.head.length.value_or(0))
      .With("waited_ms", Millis(now - waiting.queued_at))
      .With("target_left_ms", Millis(waiting.times.target_at - now))
      .With("deadline_left_ms", Millis(waiting.times.deadline - now))
      .With("sent_meanwhile", sent_answers_ - waiting.sent_before)
      .With("queued", static_cast<std::uint64_t>(waiting_.size()))
      .With("link_free_ms", Millis(queue_.LinkFreeAt() - now));
}

duration answer_sender::OldestWait(instant now) const {
  duration oldest{0};
  for (const auto& [id, waiting] : waiting_) {
    oldest = std::max(oldest, now - waiting.queued_at);
  }
  return oldest;
}

void answer_sender::Stop() {
  timer_.cancel();
  for (const auto& [id, waiting] : waiting_) LogWait("answer_dropped", waiting);
  waiting_.clear();
}

}  // namespace pomelohall
