#ifndef POMELOHALL_CALLER_SRC_SERVER_REQUEST_H_
#define POMELOHALL_CALLER_SRC_SERVER_REQUEST_H_

#include <memory>
#include <utility>

#include "call_session.h"
#include "caller/incoming_request.h"

namespace pomelohall {

// A request of a call_session. If the handler holds it beyond the lifetime of
// the connection, reads fail and responses are discarded.
class server_request final
    : public incoming_request,
      public body_source,
      public std::enable_shared_from_this<server_request> {
 public:
  server_request(request_head head, std::weak_ptr<call_session> session)
      : head_(std::move(head)),
        received_at_(MonotonicNow()),
        session_(std::move(session)) {}

  // incoming_request
  const request_head& Head() const override { return head_; }
  instant ReceivedAt() const override { return received_at_; }
  std::shared_ptr<body_source> Body() override;
  void Respond(incoming_response response,
               std::function<void(response_write_result)> done) override;
  std::optional<response_progress> Progress() const override;
  bool TakeBackResponse() override;
  bool DelaysLargeResponse() const override;
  void SetHoldsFollowing(bool holds) override;
  void Abort() override;
  void SetDisconnectHandler(std::function<void()> handler) override;

  // body_source
  void Read(callback done) override;
  void Cancel() override {}

  // Releases the connection for the next request.
  void Detach() { session_.reset(); }

 private:
  const request_head head_;
  const instant received_at_;
  std::weak_ptr<call_session> session_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_SRC_SERVER_REQUEST_H_
