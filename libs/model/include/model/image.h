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

/// The version of a configuration. Grows by one with each accepted change;
/// 0 means that no configuration was accepted yet.
using config_version = std::uint64_t;

/// Number of sections of a configuration. Fixed, so that the head stays small
/// (about 6 KB) whatever the number of services.
inline constexpr std::size_t kSectionCount = 64;

/// Largest value the platform stores, in bytes.
inline constexpr std::size_t kMaxSectionBytes = 1'000'000;

/// Number of change ids that a head remembers, for resolving lost answers.
inline constexpr std::size_t kRecentChangeIds = 64;

/// Reference to an immutable section.
struct section_ref {
  std::string digest;             ///< SHA-256 of the section's bytes, hex.
  config_version changed_at = 0;  ///< Version at which it last changed.

  bool operator==(const section_ref&) const = default;
};

/// The head object: names all sections of one version.
struct config_head {
  config_version version = 0;
  std::string change_id;  ///< Set by the writer of this version.
  std::string digest;     ///< SHA-256 over the section digests, hex.
  std::array<section_ref, kSectionCount> sections;
  /// Change ids of the latest versions, newest first, with this version's.
  std::vector<std::string> recent_change_ids;

  bool operator==(const config_head&) const = default;
};

/// Immutable bytes of a section (canonical JSON), shared between images.
using section_bytes = std::shared_ptr<const std::string>;

/// A whole version: the head with every section. Immutable once built.
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
  config_head head;
  std::vector<item> items;
};

/// Returns the section of a service: xxh64(name) % kSectionCount.
std::size_t SectionIndex(std::string_view service_name);

/// Builds the image of `document` as the successor of `previous` (null for the
/// first version). Sections that did not change keep their bytes and their
/// `changed_at`. Fails with `kInvalidConfiguration` if the document is invalid
/// or a section exceeds kMaxSectionBytes.
result<config_image_ptr> BuildImage(const configuration& document,
                                    const config_image* previous,
                                    std::string change_id);

/// Returns the image of version 0, which has no services.
config_image_ptr EmptyImage();

/// Returns the sections of `image` with `changed_at` > `base`.
config_delta MakeDelta(const config_image& image, config_version base);

/// Applies a delta to `base`. Fails with `kProtocolError` if the delta starts
/// from a version above base, lacks a section, has a wrong digest or parses to
/// an invalid document; `base` is not changed.
result<config_image_ptr> ApplyDelta(const config_image& base,
                                    const config_delta& delta);

/// Checks every digest of the image and returns its whole document. Fails with
/// `kInvalidConfiguration`.
result<configuration> ImageDocument(const config_image& image);

/// Returns the digest over the section digests of a head.
std::string HeadDigest(const std::array<section_ref, kSectionCount>& sections);

/// Head as canonical JSON, and back. Parsing fails with `kProtocolError`.
std::string FormatHead(const config_head& head);
result<config_head> ParseHead(std::string_view json_text);

}  // namespace pomelohall

#endif  // POMELOHALL_MODEL_IMAGE_H_
