#ifndef POMELOHALL_HTTP_HTTP_MESSAGE_H_
#define POMELOHALL_HTTP_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/error.h"

namespace pomelohall {

/// Header fields in message order. Names are case-insensitive.
using http_headers = std::vector<std::pair<std::string, std::string>>;

/// A request with its complete body. `Content-Length` and `Connection` are set
/// by the library and need not be in `headers`.
struct http_request {
  std::string method = "GET";
  std::string target = "/";  ///< Path and query.
  http_headers headers{};
  std::string body{};
};

/// A response with its complete body.
struct http_response {
  int status = 200;  ///< 200 to 599.
  http_headers headers{};
  std::string body{};
};

/// Returns the value of the first header named `name`, or "".
std::string_view FindHeader(const http_headers& headers, std::string_view name);

/// Returns the path of a request target, without the query.
std::string_view TargetPath(std::string_view target);

/// Returns the percent-decoded value of the query parameter `name` of a request
/// target, or "".
std::string QueryParameter(std::string_view target, std::string_view name);

/// Decodes percent-encoded bytes. Invalid escapes are copied unchanged.
std::string PercentDecode(std::string_view text);

/// Percent-encodes `text` for use in a path segment or a query value.
std::string PercentEncode(std::string_view text);

/// Returns a response with a JSON body and the matching `Content-Type`.
http_response JsonResponse(int status, std::string json_text);

/// Returns the response for an error: the HTTP status from the error table and
/// the JSON body `{error, message, ran}`.
http_response ErrorResponse(const error& failure);

/// Parses the error from a response with status 400 or above. Returns
/// `kProtocolError` with the status in the message if the body is not an error
/// object.
error ParseErrorResponse(const http_response& response);

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP_HTTP_MESSAGE_H_
