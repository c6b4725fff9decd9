#ifndef POMELOHALL_MODEL_IMAGE_H_
#define POMELOHALL_MODEL_IMAGE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "model/configuration.h"

namespace pomelohall {

/// Version of a configuration. Incremented by each accepted change; 0 means
/// that no configuration was accepted yet.
using config_version = std::uint64_t;

/// Number of sections of a configuration. Fixed, so that the size of the head
/// (about 6 KB) does not depend on the number of services.
inline constexpr std::size_t kSectionCount = 64;

/// The platform's limit on the size of a value, in bytes.
inline constexpr std::size_t kMaxSectionBytes = 1'000'000;

/// Number of change ids kept in a head, to resolve the outcome of writes whose
/// response was lost.
inline constexpr std::size_t kRecentChangeIds = 64;

/// Reference to an immutable section.
struct section_ref {
  std::string digest;             ///< SHA-256 of the section's bytes, hex.
  config_version changed_at = 0;  ///< Version at which it last changed.

  bool operator==(const section_ref&) const = default;
};

/// The head object, which references all sections of one version.
struct config_head {
  config_version version = 0;
  std::string change_id;  ///< Set by the writer of this version.
  std::string digest;     ///< SHA-256 over the section digests, hex.
  std::array<section_ref, kSectionCount> sections;
  /// Change ids of the latest versions including this one, newest first.
  std::vector<std::string> recent_change_ids;

  bool operator==(const config_head&) const = default;
};

/// Immutable bytes of a section (canonical JSON), shared between images.
using section_bytes = std::shared_ptr<const std::string>;

/// A complete version: the head and every section. Immutable once built.
struct config_image {
  config_head head;
  std::array<section_bytes, kSectionCount> sections;
};

using config_image_ptr = std::shared_ptr<const config_image>;

/// The sections that changed since a base version.
struct config_delta {
  struct item {
    std::size_t index = 0;  ///< 0 to kSectionCount - 1.
    section_bytes bytes;
  };

  config_version base = 0;
  config_head head;  ///< Head of the new version.
  std::vector<item> items;
};

/// Returns the index of a service's section: xxh64(name) % kSectionCount.
std::size_t SectionIndex(std::string_view service_name);

/// Builds the image of `document` as the successor of `previous` (null for the
/// first version). Unchanged sections share the bytes and the `changed_at` of
/// `previous`. Fails with `kInvalidConfiguration` if the document is invalid
/// or a section exceeds kMaxSectionBytes.
result<config_image_ptr> BuildImage(const configuration& document,
                                    const config_image* previous,
                                    std::string change_id);

/// Returns the image of version 0, which has no services.
config_image_ptr EmptyImage();

/// Returns the sections of `image` with `changed_at` > `base`.
config_delta MakeDelta(const config_image& image, config_version base);

/// Applies a delta to `base` and returns the new image. Fails with
/// `kProtocolError` if the delta's base version is newer than `base`, a section
/// is missing, a digest does not match or the document is invalid.
result<config_image_ptr> ApplyDelta(const config_image& base,
                                    const config_delta& delta);

/// Verifies all digests of the image and returns its document. Fails with
/// `kInvalidConfiguration` if a section is missing, a digest does not match or
/// the document is invalid.
result<configuration> ImageDocument(const config_image& image);

/// Returns the digest over the section digests of a head.
std::string HeadDigest(const std::array<section_ref, kSectionCount>& sections);

/// Converts the head to and from canonical JSON. Parsing fails with
/// `kProtocolError`.
std::string FormatHead(const config_head& head);
result<config_head> ParseHead(std::string_view json_text);

}  // namespace pomelohall

#endif  // POMELOHALL_MODEL_IMAGE_H_
