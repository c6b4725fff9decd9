#ifndef POMELOHALL_SIDECAR_SRC_ANSWER_SENDER_H_
#define POMELOHALL_SIDECAR_SRC_ANSWER_SENDER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <unordered_map>

#include "backend/exchange.h"
#include "caller/incoming_request.h"
#include "mesh/transmit_queue.h"

namespace pomelohall {

// Sends answers to other daemons and paces large ones to the rate of the
// network link.
class answer_sender {
 public:
  answer_sender(boost::asio::io_context& io, transmit_queue_options options);

  // Sends a small answer immediately and queues a large one.
  void Send(const std::shared_ptr<incoming_request>& request,
            incoming_response answer, instant target_at);

  // Accounts for an answer that is sent without queueing.
  void CountSent(const response_head& head);

  // Drops all queued answers.
  void Stop();

  transmit_queue& Queue() { return queue_; }

 private:
  struct waiting_answer {
    std::shared_ptr<incoming_request> request;
    incoming_response answer;
  };

  void SendReady();
  void Remove(std::uint64_t id);

  transmit_queue queue_;
  boost::asio::steady_timer timer_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, waiting_answer> waiting_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_ANSWER_SENDER_H_
