#ifndef POMELOHALL_CALLER_SRC_FORWARD_HANDLER_H_
#define POMELOHALL_CALLER_SRC_FORWARD_HANDLER_H_

#include <memory>
#include <utility>

#include "base/error.h"
#include "caller/call_server.h"
#include "owner_dispatcher.h"
#include "service_context.h"

namespace pomelohall {

// Handles requests of other daemons: calls for the backend server of this VM
// and `POST /v1/claims`.
class forward_handler final : public call_handler {
 public:
  explicit forward_handler(context_ptr context)
      : context_(std::move(context)) {}

  void OnRequest(std::shared_ptr<incoming_request> request) override;

 private:
  void OnClaim(const std::shared_ptr<incoming_request>& request);
  void OnCall(const std::shared_ptr<incoming_request>& request);
  result<owner_request> ParseCall(incoming_request& request) const;

  const context_ptr context_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_SRC_FORWARD_HANDLER_H_
