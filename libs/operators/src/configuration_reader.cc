#include "operators/configuration_reader.h"

#include <string>

#include "acceptance/config_objects.h"
#include "operators/store_calls.h"

namespace pomelohall {
namespace {

// A section referenced by the head must exist, so a missing one is a protocol
// error instead of `kNotFound`.
result<section_bytes> ReadSection(environment& env, const std::string& digest) {
  const auto object = GetObject(env, kSectionPlural, digest);
  if (object) return ParseSectionObject(*object);
  if (object.error().kind != error_kind::kNotFound) {
    return tl::unexpected(object.error());
  }
  return Fail(error_kind::kProtocolError,
              "the head names section " + digest + ", which does not exist");
}

}  // namespace

result<config_head> ReadHead(environment& env) {
  const auto object = GetObject(env, kHeadPlural, kHeadName);
  if (object) return ParseHeadObject(*object);
  if (object.error().kind == error_kind::kNotFound) return EmptyImage()->head;
  return tl::unexpected(object.error());
}

result<configuration> ReadDocument(environment& env, const config_head& head) {
  config_image image = *EmptyImage();
  image.head = head;
  for (std::size_t i = 0; i < kSectionCount; ++i) {
    // Sections of version 0 are empty and not stored.
    if (head.sections[i].changed_at == 0) continue;
    auto bytes = ReadSection(env, head.sections[i].digest);
    if (!bytes) return tl::unexpected(bytes.error());
    image.sections[i] = std::move(*bytes);
  }
  auto document = ImageDocument(image);
  if (!document) {
    return Fail(error_kind::kProtocolError,
                "the stored version " + std::to_string(head.version) +
                    " is malformed: " + document.error().message);
  }
  return document;
}

}  // namespace pomelohall
