#include "answer_sender.h"

#include <utility>

namespace pomelohall {
namespace {

// Size of the header fields of a typical answer and of its packet headers.
constexpr std::uint64_t kHeaderBytes = 500;

}  // namespace

answer_sender::answer_sender(boost::asio::io_context& io,
                             transmit_queue_options options)
    : queue_(options), timer_(io) {}

void answer_sender::Send(const std::shared_ptr<incoming_request>& request,
                         incoming_response answer, instant target_at) {
  if (!answer.head.length || !queue_.IsPaced(*answer.head.length)) {
    CountSent(answer.head);
    request->Respond(std::move(answer), nullptr);
    return;
  }
  const auto id = ++last_id_;
  queue_.Add({.id = id, .bytes = *answer.head.length, .target_at = target_at});
  waiting_.emplace(
      id, waiting_answer{.request = request, .answer = std::move(answer)});
  request->SetDisconnectHandler([this, id] { Remove(id); });
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
    next.request->Respond(std::move(next.answer), nullptr);
  }
  if (queue_.Empty()) return;
  timer_.expires_after(queue_.LinkFreeAt() - MonotonicNow());
  timer_.async_wait([this](boost::system::error_code cancelled) {
    if (!cancelled) SendReady();
  });
}

void answer_sender::Remove(std::uint64_t id) {
  queue_.Remove(id);
  const auto found = waiting_.find(id);
  if (found == waiting_.end()) return;
  // Keeps the request and its answer alive until this handler returns: the
  // session that calls it may still use them.
  const auto removed = std::move(found->second);
  waiting_.erase(found);
  if (removed.answer.body) removed.answer.body->Cancel();
}

void answer_sender::Stop() {
  timer_.cancel();
  waiting_.clear();
}

}  // namespace pomelohall
