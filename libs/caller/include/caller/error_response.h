#ifndef POMELOHALL_CALLER_ERROR_RESPONSE_H_
#define POMELOHALL_CALLER_ERROR_RESPONSE_H_

#include <optional>
#include <string>

#include "backend/exchange.h"
#include "backend/http_message.h"
#include "base/error.h"

namespace pomelohall {

/// Returns the response for an error: the HTTP status of its kind, the fields
/// Pomelohall-Outcome and Pomelohall-Error, and a JSON body `{error, message,
/// ran}`.
incoming_response MakeErrorResponse(const error& failure);

/// Returns a response with an in-memory body.
incoming_response MakeTextResponse(int status, const std::string& content_type,
                                   std::string body);

/// Returns the error in the header fields of a daemon's response, or nothing if
/// the response comes from a backend server. The header carries no message, so
/// the error gets a generic one.
std::optional<error> ErrorFromResponse(const response_head& head);

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_ERROR_RESPONSE_H_
