#include "model/image.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/digest.h"
#include "configuration_json.h"

namespace pomelohall {
namespace {

using nlohmann::json;
using section_documents = std::array<configuration, kSectionCount>;

// Sorts by name, so that digests do not depend on the order of the document.
void SortDocument(configuration& document) {
  std::sort(document.services.begin(), document.services.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  std::sort(document.classes.begin(), document.classes.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  std::sort(document.routes.begin(), document.routes.end(),
            [](const auto& a, const auto& b) {
              return std::tie(a.path_prefix, a.method) <
                     std::tie(b.path_prefix, b.method);
            });
}

section_documents SplitDocument(const configuration& document) {
  section_documents sections;
  std::map<std::string, std::size_t> section_of_class;
  for (const auto& item : document.services) {
    sections[SectionIndex(item.name)].services.push_back(item);
  }
  for (const auto& item : document.classes) {
    const std::size_t index = SectionIndex(item.service);
    section_of_class[item.name] = index;
    sections[index].classes.push_back(item);
  }
  for (const auto& item : document.routes) {
    sections[section_of_class.at(item.work_class)].routes.push_back(item);
  }
  for (auto& section : sections) SortDocument(section);
  return sections;
}

void AppendDocument(const configuration& section_document,
                    configuration& whole) {
  whole.services.insert(whole.services.end(), section_document.services.begin(),
                        section_document.services.end());
  whole.classes.insert(whole.classes.end(), section_document.classes.begin(),
                       section_document.classes.end());
  whole.routes.insert(whole.routes.end(), section_document.routes.begin(),
                      section_document.routes.end());
}

std::vector<std::string> NextChangeIds(const config_image* previous,
                                       const std::string& change_id) {
  std::vector<std::string> ids{change_id};
  if (previous == nullptr) return ids;
  for (const auto& id : previous->head.recent_change_ids) {
    if (ids.size() == kRecentChangeIds) break;
    ids.push_back(id);
  }
  return ids;
}

config_image_ptr BuildEmptyImage() {
  auto image = std::make_shared<config_image>();
  const auto bytes =
      std::make_shared<const std::string>(ToJson(configuration{}).dump());
  const std::string digest = Sha256Hex(*bytes);
  for (std::size_t i = 0; i < kSectionCount; ++i) {
    image->sections[i] = bytes;
    image->head.sections[i] = {.digest = digest, .changed_at = 0};
  }
  image->head.digest = HeadDigest(image->head.sections);
  return image;
}

result<void> CheckSections(const config_image& image) {
  for (std::size_t i = 0; i < kSectionCount; ++i) {
    const auto& bytes = image.sections[i];
    if (bytes == nullptr) {
      return Fail(error_kind::kInvalidConfiguration,
                  "section " + std::to_string(i) + " is missing");
    }
    if (Sha256Hex(*bytes) != image.head.sections[i].digest) {
      return Fail(error_kind::kInvalidConfiguration,
                  "section " + std::to_string(i) +
                      " does not match its digest in the head");
    }
  }
  if (HeadDigest(image.head.sections) != image.head.digest) {
    return Fail(error_kind::kInvalidConfiguration,
                "the digest of the head does not match its sections");
  }
  return {};
}

}  // namespace

std::size_t SectionIndex(std::string_view service_name) {
  return static_cast<std::size_t>(FastHash(service_name) % kSectionCount);
}

std::string HeadDigest(const std::array<section_ref, kSectionCount>& sections) {
  std::string joined;
  for (const auto& section : sections) joined += section.digest;
  return Sha256Hex(joined);
}

config_image_ptr EmptyImage() {
  static const config_image_ptr empty_image = BuildEmptyImage();
  return empty_image;
}

result<config_image_ptr> BuildImage(const configuration& document,
                                    const config_image* previous,
                                    std::string change_id) {
  const auto issues = Validate(document);
  if (!issues.empty()) {
    return Fail(error_kind::kInvalidConfiguration, FormatIssues(issues));
  }
  const config_image& base = previous != nullptr ? *previous : *EmptyImage();
  auto image = std::make_shared<config_image>();
  image->head.version = base.head.version + 1;
  image->head.recent_change_ids = NextChangeIds(previous, change_id);
  image->head.change_id = std::move(change_id);
  const section_documents parts = SplitDocument(document);
  for (std::size_t i = 0; i < kSectionCount; ++i) {
    std::string bytes = ToJson(parts[i]).dump();
    if (bytes.size() > kMaxSectionBytes) {
      return Fail(error_kind::kInvalidConfiguration,
                  "section " + std::to_string(i) + " has " +
                      std::to_string(bytes.size()) +
                      " bytes, allowed are at most " +
                      std::to_string(kMaxSectionBytes));
    }
    std::string digest = Sha256Hex(bytes);
    if (digest == base.head.sections[i].digest) {
      image->head.sections[i] = base.head.sections[i];
      image->sections[i] = base.sections[i];
      continue;
    }
    image->head.sections[i] = {.digest = std::move(digest),
                               .changed_at = image->head.version};
    image->sections[i] = std::make_shared<const std::string>(std::move(bytes));
  }
  image->head.digest = HeadDigest(image->head.sections);
  return image;
}

config_delta MakeDelta(const config_image& image, config_version base) {
  config_delta delta{.base = base, .head = image.head, .items = {}};
  for (std::size_t i = 0; i < kSectionCount; ++i) {
    if (image.head.sections[i].changed_at > base) {
      delta.items.push_back({.index = i, .bytes = image.sections[i]});
    }
  }
  return delta;
}

result<config_image_ptr> ApplyDelta(const config_image& base,
                                    const config_delta& delta) {
  if (delta.base > base.head.version) {
    return Fail(error_kind::kProtocolError,
                "the delta has base version " + std::to_string(delta.base) +
                    ", which is newer than the held version " +
                    std::to_string(base.head.version));
  }
  auto image = std::make_shared<config_image>();
  image->head = delta.head;
  image->sections = base.sections;
  for (const auto& item : delta.items) {
    if (item.index >= kSectionCount || item.bytes == nullptr) {
      return Fail(error_kind::kProtocolError,
                  "section " + std::to_string(item.index) +
                      " of the delta has no bytes or an index above " +
                      std::to_string(kSectionCount - 1));
    }
    image->sections[item.index] = item.bytes;
  }
  const auto document = ImageDocument(*image);
  if (!document) {
    return Fail(error_kind::kProtocolError,
                "version " + std::to_string(delta.head.version) +
                    " is refused: " + document.error().message);
  }
  return image;
}

result<configuration> ImageDocument(const config_image& image) {
  if (auto checked = CheckSections(image); !checked) {
    return tl::unexpected(checked.error());
  }
  configuration whole;
  for (const auto& bytes : image.sections) {
    const json value = json::parse(*bytes, nullptr, false);
    if (value.is_discarded()) {
      return Fail(error_kind::kInvalidConfiguration,
                  "a section is not valid JSON");
    }
    auto section_document = ReadConfiguration(value);
    if (!section_document) return section_document;
    AppendDocument(*section_document, whole);
  }
  const auto issues = Validate(whole);
  if (!issues.empty()) {
    return Fail(error_kind::kInvalidConfiguration, FormatIssues(issues));
  }
  SortDocument(whole);
  return whole;
}

std::string FormatHead(const config_head& head) {
  json sections = json::array();
  for (const auto& section : head.sections) {
    sections.push_back(
        {{"digest", section.digest}, {"changed_at", section.changed_at}});
  }
  return json{{"version", head.version},
              {"change_id", head.change_id},
              {"digest", head.digest},
              {"sections", std::move(sections)},
              {"recent_change_ids", head.recent_change_ids}}
      .dump();
}

result<config_head> ParseHead(std::string_view json_text) {
  const auto malformed = [](std::string_view what) {
    return Fail(error_kind::kProtocolError,
                "the head object is malformed: " + std::string(what));
  };
  const json value = json::parse(json_text, nullptr, false);
  if (!value.is_object()) return malformed("not a JSON object");
  const auto is_string_field = [&value](const char* field) {
    return value.contains(field) && value[field].is_string();
  };
  if (!value.contains("version") || !value["version"].is_number_unsigned()) {
    return malformed("version");
  }
  if (!is_string_field("change_id") || !is_string_field("digest"))
    return malformed("change_id or digest");
  if (!value.contains("sections") || !value["sections"].is_array() ||
      value["sections"].size() != kSectionCount) {
    return malformed("sections");
  }
  config_head head;
  head.version = value["version"].get<config_version>();
  head.change_id = value["change_id"].get<std::string>();
  head.digest = value["digest"].get<std::string>();
  for (std::size_t i = 0; i < kSectionCount; ++i) {
    const json& section = value["sections"][i];
    if (!section.is_object() || !section.contains("digest") ||
        !section["digest"].is_string() || !section.contains("changed_at") ||
        !section["changed_at"].is_number_unsigned()) {
      return malformed("section " + std::to_string(i));
    }
    head.sections[i] = {
        .digest = section["digest"].get<std::string>(),
        .changed_at = section["changed_at"].get<config_version>()};
  }
  if (value.contains("recent_change_ids")) {
    for (const json& id : value["recent_change_ids"]) {
      if (!id.is_string()) return malformed("recent_change_ids");
      head.recent_change_ids.push_back(id.get<std::string>());
    }
  }
  return head;
}

}  // namespace pomelohall
