#ifndef POMELOHALL_PLATFORM_STUB_API_REQUEST_H_
#define POMELOHALL_PLATFORM_STUB_API_REQUEST_H_

#include <optional>
#include <string>
#include <string_view>

#include "http/http_message.h"

namespace pomelohall {

/// Operation of the object API.
enum class api_verb { kGet, kList, kWatch, kCreate, kUpdate, kDelete };

/// Returns "get", "list", "watch", "create", "update" or "delete".
std::string_view ApiVerbName(api_verb verb);

/// A request to the object API, parsed from its method and path.
struct api_request {
  api_verb verb = api_verb::kGet;
  std::string name_space;
  std::string plural;
  std::string name;  ///< Empty for list, watch and create.

  /// Returns the key of the collection in an object_table.
  std::string Collection() const { return name_space + "/" + plural; }
};

/// Returns the request, or nothing if the API has no such path or method.
std::optional<api_request> ParseApiRequest(const http_request& request);

/// Returns a `Status` object of the object API as an error response.
http_response StatusResponse(int code, std::string_view reason,
                             std::string_view message);

/// Returns the `Status` response for an error of an object_table.
/// @param verb Selects the reason for `kConflict`: AlreadyExists for a create,
/// otherwise Conflict.
http_response ErrorStatusResponse(const error& failure, api_verb verb);

}  // namespace pomelohall

#endif  // POMELOHALL_PLATFORM_STUB_API_REQUEST_H_
