#include "caller/error_answer.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "backend/buffered_body.h"

namespace pomelohall {

incoming_answer TextAnswer(int status, const std::string& content_type,
                           std::string body) {
  incoming_answer answer;
  answer.head.status = status;
  answer.head.fields = {{"Content-Type", content_type}};
  answer.head.length = body.size();
  if (!body.empty()) {
    answer.head.framing = body_framing::kLength;
    answer.body = std::make_shared<buffered_body>(
        std::make_shared<const std::string>(std::move(body)));
  }
  return answer;
}

incoming_answer ErrorAnswer(const error& failure) {
  const auto& row = AnswerFor(failure.kind);
  const nlohmann::json body{{"error", row.name},
                            {"message", failure.message},
                            {"ran", RunStateName(failure.ran)}};
  // Messages may quote bytes of a request that are not UTF-8.
  auto text =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  auto answer =
      TextAnswer(row.http_status, "application/json", std::move(text) + "\n");
  SetField(answer.head.fields, kOutcomeField,
           std::string(RunStateName(failure.ran)));
  SetField(answer.head.fields, kErrorField, std::string(row.name));
  return answer;
}

std::optional<error> ErrorFromAnswer(const answer_head& head) {
  const auto* name = FindField(head.fields, kErrorField);
  if (name == nullptr) return std::nullopt;
  const auto* outcome = FindField(head.fields, kOutcomeField);
  const auto ran = outcome == nullptr ? std::nullopt : FindRunState(*outcome);
  return error(FindErrorKind(*name).value_or(error_kind::kProtocolError),
               "the owner daemon answered " + *name,
               ran.value_or(run_state::kUnknown));
}

}  // namespace pomelohall
