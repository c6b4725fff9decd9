#ifndef POMELOHALL_CALLER_SRC_ENTRY_HANDLER_H_
#define POMELOHALL_CALLER_SRC_ENTRY_HANDLER_H_

#include <memory>
#include <utility>

#include "caller/call_server.h"
#include "service_context.h"

namespace pomelohall {

// Handles requests of callers: calls and `POST /v1/keys`.
class entry_handler final : public call_handler {
 public:
  explicit entry_handler(context_ptr context) : context_(std::move(context)) {}

  void OnRequest(std::shared_ptr<incoming_request> request) override;

 private:
  void IssueKey(incoming_request& request);

  const context_ptr context_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_SRC_ENTRY_HANDLER_H_
