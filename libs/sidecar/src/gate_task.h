#ifndef POMELOHALL_SIDECAR_SRC_GATE_TASK_H_
#define POMELOHALL_SIDECAR_SRC_GATE_TASK_H_

#include <cstdint>
#include <memory>

#include "backend/exchange.h"
#include "server_gate.h"

namespace pomelohall {

// One request at the gate: waits, runs on the backend server, and holds its
// slot until the answer has been read.
class gate_task final : public exchange,
                        public std::enable_shared_from_this<gate_task> {
 public:
  gate_task(server_gate& gate, std::uint64_t id, gate_request request,
            exchange_events events);

  // Sends the request to the backend server.
  void Run();
  // Answers with an error. The request must not have been sent.
  void Refuse(error failure);
  // Ends a request that ran past its time.
  void CheckTime(instant now);

  const gate_request& Request() const { return request_; }

  // exchange
  void Cancel() override;

 private:
  void OnAnswer(result<incoming_response> answer);
  void OnFailure(const error& failure);
  bool IsRefusal(const response_head& head) const;
  std::optional<error> Fault(const response_head& head) const;
  void Log(const char* event, const error& failure) const;
  void RefusedByServer(incoming_response answer);
  void PassOn(incoming_response answer);
  void OnBodyPart(result<body_part> part, const body_source::callback& pass_on);
  void Discard(std::shared_ptr<body_source> body);
  void End(std::optional<duration> took);
  void Tell(result<incoming_response> answer);

  server_gate* gate_;  // Null once ended.
  const std::uint64_t id_;
  gate_request request_;
  exchange_events events_;
  std::shared_ptr<exchange> sent_;
  std::shared_ptr<body_source> answer_body_;
  instant sent_at_;
  bool abandoned_ = false;  // Nobody waits for the answer any more.
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_GATE_TASK_H_
