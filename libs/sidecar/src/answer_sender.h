#ifndef POMELOHALL_SIDECAR_SRC_ANSWER_SENDER_H_
#define POMELOHALL_SIDECAR_SRC_ANSWER_SENDER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "backend/exchange.h"
#include "caller/incoming_request.h"
#include "mesh/transmit_queue.h"

namespace pomelohall {

// Sends answers to other daemons and paces large ones to the rate of the
// network link.
class answer_sender {
 public:
  // @param attempt_id_field Name of the header field with the attempt ID, for
  //   log lines.
  answer_sender(boost::asio::io_context& io, transmit_queue_options options,
                std::string attempt_id_field);

  // Sends a small answer immediately and queues a large one.
  void Send(const std::shared_ptr<incoming_request>& request,
            incoming_response answer, instant target_at);

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
    instant target_at;
    instant queued_at;
    std::uint64_t sent_before = 0;  // Answers sent when this one was queued.
  };

  void SendReady();
  void SendQueued(waiting_answer next);
  void Remove(std::uint64_t id);
  void LogWait(std::string_view event, const waiting_answer& waiting) const;

  transmit_queue queue_;
  boost::asio::steady_timer timer_;
  const std::string attempt_id_field_;
  bool paced_ = true;
  std::uint64_t last_id_ = 0;
  std::uint64_t sent_answers_ = 0;  // Queued ones only.
  std::unordered_map<std::uint64_t, waiting_answer> waiting_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_ANSWER_SENDER_H_
