#ifndef POMELOHALL_PLATFORM_OBJECT_JSON_H_
#define POMELOHALL_PLATFORM_OBJECT_JSON_H_

#include <string>
#include <string_view>

#include "base/error.h"
#include "platform/object_store.h"

namespace pomelohall {

/// Default namespace of the project's objects.
inline constexpr std::string_view kDefaultNamespace = "pomelohall";

/// Returns "/apis/pomelohall.dev/v1/namespaces/<namespace>/<plural>".
std::string CollectionPath(std::string_view name_space,
                           std::string_view plural);

/// Formats the object as the object API sends it: `{apiVersion, kind, metadata,
/// spec}`. `created` is an RFC 3339 time; empty leaves it out.
/// @pre `object.spec` is valid JSON.
std::string FormatObject(const stored_object& object,
                         std::string_view name_space, std::string_view created);

/// Parses an object of the collection `plural`. The spec of the result is empty
/// if ParseJson() refuses it. Fails with `kProtocolError`.
result<stored_object> ParseObject(std::string_view json_text,
                                  const std::string& plural);

}  // namespace pomelohall

#endif  // POMELOHALL_PLATFORM_OBJECT_JSON_H_
