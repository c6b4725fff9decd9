#include "entry_handler.h"

#include <nlohmann/json.hpp>

#include "caller/error_response.h"
#include "entry_call.h"

namespace pomelohall {
namespace {

constexpr std::string_view kKeysTarget = "/v1/keys";
constexpr int kCreated = 201;

}  // namespace

void entry_handler::OnRequest(std::shared_ptr<incoming_request> request) {
  const auto& head = request->Head();
  if (head.method == "POST" && head.target == kKeysTarget) {
    IssueKey(*request);
    return;
  }
  std::make_shared<entry_call>(context_, std::move(request))->Start();
}

void entry_handler::IssueKey(incoming_request& request) {
  const nlohmann::json body{{"key", context_->ledger.Issue(MonotonicNow())}};
  request.Respond(
      MakeTextResponse(kCreated, "application/json", body.dump() + "\n"),
      nullptr);
}

}  // namespace pomelohall
