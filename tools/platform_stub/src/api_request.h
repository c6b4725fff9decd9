#ifndef POMELOHALL_PLATFORM_STUB_API_REQUEST_H_
#define POMELOHALL_PLATFORM_STUB_API_REQUEST_H_

#include <optional>
#include <string>
#include <string_view>

#include "http/http_message.h"

namespace pomelohall {

/// What a request asks of the object API.
enum class api_verb { kGet, kList, kWatch, kCreate, kUpdate, kDelete };

/// Returns "get", "list", "watch", "create", "update" or "delete".
std::string_view ApiVerbName(api_verb verb);

/// A request of the object API, by its method and path.
struct api_request {
  api_verb verb = api_verb::kGet;
  std::string name_space;
  std::string plural;
  std::string name;  ///< Empty for list, watch and create.

  /// Key of the collection in an object_table.
  std::string Collection() const { return name_space + "/" + plural; }
};

/// Returns the request, or nothing if path and method are not of the API.
std::optional<api_request> ParseApiRequest(const http_request& request);

/// Returns a `Status` answer of the object API.
http_response StatusResponse(int code, std::string_view reason,
                             std::string_view message);

/// Returns the `Status` answer for an error of an object_table.
/// @param verb Separates the two reasons of `kConflict`.
http_response StatusOf(const error& failure, api_verb verb);

}  // namespace pomelohall

#endif  // POMELOHALL_PLATFORM_STUB_API_REQUEST_H_
