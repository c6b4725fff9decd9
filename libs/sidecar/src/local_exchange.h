#ifndef POMELOHALL_SIDECAR_SRC_LOCAL_EXCHANGE_H_
#define POMELOHALL_SIDECAR_SRC_LOCAL_EXCHANGE_H_

#include <algorithm>
#include <cstdint>
#include <memory>

#include "backend/exchange.h"
#include "local_dispatcher.h"

namespace pomelohall {

// Status of a backend server that is not the instance the request names.
inline constexpr int kMisdirectedRequest = 421;

// A request at the local dispatcher: waits in the queue, runs on the backend
// server, and holds its slot until the answer has been read.
class local_exchange final
    : public exchange,
      public std::enable_shared_from_this<local_exchange> {
 public:
  local_exchange(local_dispatcher& dispatcher, std::uint64_t id,
                 local_request request, exchange_events events);

  // Sends the request to the backend server.
  void Send();
  // Answers with an error. The request must not have been sent.
  void Refuse(error failure);
  // Ends a request that is still running past its deadline.
  void CheckDeadline(instant now);

  void LimitDeadline(instant latest) {
    request_.deadline = std::min(request_.deadline, latest);
  }

  // Handles that the daemon that sent the request stops soon after `latest`.
  void LimitToStopOfSender(instant latest) {
    LimitDeadline(latest);
    request_.sender_stops = true;
  }

  const local_request& Request() const { return request_; }
  bool IsSent() const { return sent_ != nullptr; }

  // exchange
  void Cancel() override;

 private:
  void OnResponse(result<incoming_response> answer);
  void OnFailure(const error& failure);
  std::optional<error> SignatureError(const response_head& head) const;
  std::optional<error> StatusError(const response_head& head) const;
  void Log(const char* event, const error& failure) const;
  void RefusedByServer(const incoming_response& answer);
  void ForwardAnswer(incoming_response answer);
  void OnBodyPart(result<body_part> part, const body_source::callback& forward);
  void Discard(std::shared_ptr<body_source> body);
  // Reports a response, or the lack of one, to the observer of the dispatcher.
  void CountResponse(bool failed, std::optional<duration> run_time) const;
  void End(std::optional<duration> run_time);
  void NotifyAnswer(result<incoming_response> answer);

  local_dispatcher* dispatcher_;  // Null once ended.
  const std::uint64_t id_;
  local_request request_;
  exchange_events events_;
  std::shared_ptr<exchange> sent_;
  std::shared_ptr<body_source> answer_body_;
  const instant received_at_;
  instant sent_at_;
  bool failed_ = false;        // The status is one of a server's failure.
  bool counts_bytes_ = false;  // The header has no length.
  std::uint64_t body_bytes_ = 0;
  bool abandoned_ = false;  // Nobody waits for the answer any more.
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_LOCAL_EXCHANGE_H_
