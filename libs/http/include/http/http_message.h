#ifndef POMELOHALL_HTTP_HTTP_MESSAGE_H_
#define POMELOHALL_HTTP_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/error.h"

namespace pomelohall {

/// Header fields in the order of the message. Names compare without case.
using http_headers = std::vector<std::pair<std::string, std::string>>;

/// A request with its whole body. `Content-Length` and `Connection` are set by
/// the library and need not be in `headers`.
struct http_request {
  std::string method = "GET";
  std::string target = "/";  ///< Path and query.
  http_headers headers{};
  std::string body{};
};

/// An answer with its whole body.
struct http_response {
  int status = 200;  ///< 200 to 599.
  http_headers headers{};
  std::string body{};
};

/// Returns the value of the first header called `name`, or "".
std::string_view FindHeader(const http_headers& headers, std::string_view name);

/// Returns the path of a target, without the query.
std::string_view TargetPath(std::string_view target);

/// Returns the percent-decoded query parameter `name` of a target, or "".
std::string QueryParameter(std::string_view target, std::string_view name);

/// Replaces the percent-encoded bytes of `text`.
std::string PercentDecode(std::string_view text);

/// Percent-encodes `text` for use in a path segment or a query value.
std::string PercentEncode(std::string_view text);

/// Returns an answer with a JSON body and its content type.
http_response JsonResponse(int status, std::string json_text);

/// Returns the answer for an error: its status from the error table and the
/// body `{error, message, ran}`.
http_response ErrorResponse(const error& failure);

/// Reads the error of an answer with status 400 or above. A body that is not
/// an error object gives `kProtocolError` with the status in the message.
error ParseErrorResponse(const http_response& response);

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP_HTTP_MESSAGE_H_
