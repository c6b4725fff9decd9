#include "caller/error_response.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "backend/buffered_body.h"

namespace pomelohall {

incoming_response MakeTextResponse(int status, const std::string& content_type,
                                   std::string body) {
  incoming_response response;
  response.head.status = status;
  response.head.fields = {{"Content-Type", content_type}};
  response.head.length = body.size();
  if (!body.empty()) {
    response.head.framing = body_framing::kLength;
    response.body = std::make_shared<buffered_body>(
        std::make_shared<const std::string>(std::move(body)));
  }
  return response;
}

incoming_response MakeErrorResponse(const error& failure) {
  const auto& row = GetErrorInfo(failure.kind);
  const nlohmann::json body{{"error", row.name},
                            {"message", failure.message},
                            {"ran", RunStateName(failure.ran)}};
  // Messages may quote request bytes that are not valid UTF-8.
  auto text =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  auto response = MakeTextResponse(row.http_status, "application/json",
                                   std::move(text) + "\n");
  SetField(response.head.fields, kOutcomeField,
           std::string(RunStateName(failure.ran)));
  SetField(response.head.fields, kErrorField, std::string(row.name));
  return response;
}

std::optional<error> ErrorFromResponse(const response_head& head) {
  const auto* name = FindField(head.fields, kErrorField);
  if (name == nullptr) return std::nullopt;
  const auto* outcome = FindField(head.fields, kOutcomeField);
  const auto ran = outcome == nullptr ? std::nullopt : FindRunState(*outcome);
  return error(FindErrorKind(*name).value_or(error_kind::kProtocolError),
               "the owner daemon returned " + *name,
               ran.value_or(run_state::kUnknown));
}

}  // namespace pomelohall
