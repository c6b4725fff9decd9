#ifndef POMELOHALL_CALLER_ERROR_ANSWER_H_
#define POMELOHALL_CALLER_ERROR_ANSWER_H_

#include <optional>
#include <string>

#include "backend/exchange.h"
#include "backend/http_message.h"
#include "base/error.h"

namespace pomelohall {

/// Returns the answer for an error: the status of its kind, the fields
/// Pomelohall-Outcome and Pomelohall-Error, and the JSON body `{error, message,
/// ran}`.
incoming_answer ErrorAnswer(const error& failure);

/// Returns an answer with a body in memory.
incoming_answer TextAnswer(int status, const std::string& content_type,
                           std::string body);

/// Returns the error that a daemon answered, from its header fields; nothing if
/// the answer comes from a backend server. The message is not part of the
/// header and is left general.
std::optional<error> ErrorFromAnswer(const answer_head& head);

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_ERROR_ANSWER_H_
