#ifndef POMELOHALL_SIDECAR_SRC_ANSWER_SENDER_H_
#define POMELOHALL_SIDECAR_SRC_ANSWER_SENDER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "backend/exchange.h"
#include "caller/incoming_request.h"
#include "mesh/transmit_queue.h"

namespace pomelohall {

// Times that decide when a queued answer is sent.
struct answer_times {
  instant target_at;  // Until then the answer meets its target.
  instant deadline;   // The daemon or caller that asked waits until then.
  // Whether the daemon that asked stops soon after the deadline.
  bool receiver_stops = false;
  // Address of the daemon that asked; empty for callers on this VM.
  std::string receiver{};
};

// Limits the times of an answer whose receiver stops soon after `latest`.
void LimitToStop(answer_times& times, instant latest);

// Larger answers are streamed. Bounds the memory for answers that wait for the
// network link: a backend server has a few tens of slots.
inline constexpr std::size_t kMaxBufferedAnswerBytes = 1024UL * 1024;

// Sends answers of the backend server on this VM, to other daemons and to the
// callers on this VM, and paces large ones to the rate of the network link.
class answer_sender {
 public:
  // @param attempt_id_field Name of the header field with the attempt ID, for
  //   log lines.
  answer_sender(boost::asio::io_context& io, transmit_queue_options options,
                std::string attempt_id_field);

  // Sends a small answer immediately and queues a large one, which is sent at
  // its latest send time (see transmit_queue) at the latest.
  // @param done Receives the result, also if the receiver disconnects while the
  //   answer is queued; not if the sender is stopped. May be empty.
  void Send(const std::shared_ptr<incoming_request>& request,
            incoming_response answer, answer_times times,
            std::function<void(response_write_result)> done = nullptr);

  // Limits the deadlines of the queued answers to another daemon, which stops
  // soon after `latest`.
  void LimitDeadlinesOf(const std::string& receiver, instant latest);

  // Limits the deadlines of all answers, queued and later ones: this daemon
  // stops soon after `latest`.
  void LimitDeadlines(instant latest);

  // Accounts for an answer that is sent without queueing.
  void CountSent(const response_head& head);

  // Sends all queued answers at once, and further ones without queueing them.
  void SendAll();

  // Drops all queued answers.
  void Stop();

  // Returns how long the oldest queued answer has waited.
  duration OldestWait(instant now) const;

  transmit_queue& Queue() { return queue_; }

 private:
  struct waiting_answer {
    std::shared_ptr<incoming_request> request;
    incoming_response answer;
    answer_times times;
    std::function<void(response_write_result)> done;
    instant queued_at;
    std::uint64_t sent_before = 0;  // Answers sent when this one was queued.
  };

  // Limits the deadlines of queued answers.
  // @param receiver Null for all answers.
  void LimitQueued(const std::string* receiver, instant latest);
  void SendReady();
  void SendQueued(waiting_answer next);
  void Remove(std::uint64_t id);
  // Logs an answer that was written slowly or in part.
  void LogWrite(const incoming_request& request, std::uint64_t bytes,
                duration waited, instant sent_at,
                const response_write_result& written) const;
  void LogWait(std::string_view event, const waiting_answer& waiting) const;

  transmit_queue queue_;
  boost::asio::steady_timer timer_;
  const std::string attempt_id_field_;
  bool paced_ = true;
  std::optional<instant> latest_deadline_;  // See LimitDeadlines().
  std::uint64_t last_id_ = 0;
  std::uint64_t sent_answers_ = 0;  // Queued ones only.
  std::unordered_map<std::uint64_t, waiting_answer> waiting_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_ANSWER_SENDER_H_
