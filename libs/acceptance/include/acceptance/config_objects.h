#ifndef POMELOHALL_ACCEPTANCE_CONFIG_OBJECTS_H_
#define POMELOHALL_ACCEPTANCE_CONFIG_OBJECTS_H_

#include <string>

#include "base/error.h"
#include "model/image.h"
#include "platform/object_store.h"

namespace pomelohall {

inline constexpr const char* kHeadPlural = "configheads";
inline constexpr const char* kHeadName = "head";
inline constexpr const char* kSectionPlural = "configsections";

/// Returns the head as the object `configheads/head`.
/// @param resource_version Empty for the first head.
stored_object MakeHeadObject(const config_head& head,
                             std::string resource_version);

/// Parses the head in an object. Fails with `kProtocolError`.
result<config_head> ParseHeadObject(const stored_object& object);

/// Returns a section as the object `configsections/<digest>` with the spec
/// `{data: <section>}`. The section is stored as a JSON value, as escaping it
/// in a string could exceed the platform's size limit.
/// @pre `bytes` is canonical JSON.
stored_object MakeSectionObject(const std::string& digest,
                                const std::string& bytes);

/// Returns the bytes of a section object. Fails with `kProtocolError` if they
/// do not have the digest that names the object.
result<section_bytes> ParseSectionObject(const stored_object& object);

}  // namespace pomelohall

#endif  // POMELOHALL_ACCEPTANCE_CONFIG_OBJECTS_H_
