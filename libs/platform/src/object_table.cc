#include "platform/object_table.h"

namespace pomelohall {
namespace {

constexpr std::size_t kMaxHistory = 1000;

std::string FormatName(const stored_object& object) {
  return object.plural + "/" + object.name;
}

result<void> CheckObject(const stored_object& object) {
  if (object.name.empty()) {
    return Fail(error_kind::kInvalidRequest, "the object has no name");
  }
  if (object.spec.size() > kMaxObjectBytes) {
    return Fail(error_kind::kBodyTooLarge,
                FormatName(object) + " has " +
                    std::to_string(object.spec.size()) +
                    " bytes, the limit is " + std::to_string(kMaxObjectBytes));
  }
  return {};
}

}  // namespace

result<stored_object> object_table::Get(const std::string& plural,
                                        const std::string& name) const {
  const auto found = objects_.find({plural, name});
  if (found == objects_.end()) {
    return Fail(error_kind::kNotFound, plural + "/" + name + " does not exist");
  }
  return found->second;
}

std::vector<stored_object> object_table::List(const std::string& plural) const {
  std::vector<stored_object> found;
  for (auto it = objects_.lower_bound({plural, ""});
       it != objects_.end() && it->first.first == plural; ++it) {
    found.push_back(it->second);
  }
  return found;
}

result<stored_object> object_table::Create(const stored_object& object) {
  if (auto checked = CheckObject(object); !checked) {
    return tl::unexpected(checked.error());
  }
  if (objects_.contains({object.plural, object.name})) {
    return Fail(error_kind::kConflict, FormatName(object) + " already exists");
  }
  return Store(change_type::kAdded, object);
}

result<stored_object> object_table::Update(const stored_object& object) {
  if (auto checked = CheckObject(object); !checked) {
    return tl::unexpected(checked.error());
  }
  if (object.resource_version.empty()) {
    return Fail(error_kind::kInvalidRequest,
                FormatName(object) + ": an update needs a resource version");
  }
  if (auto found = FindVersion(object); !found) {
    return tl::unexpected(found.error());
  }
  return Store(change_type::kModified, object);
}

result<stored_object> object_table::Delete(const stored_object& object) {
  auto found = FindVersion(object);
  if (!found) return tl::unexpected(found.error());
  const stored_object before = **found;
  Store(change_type::kDeleted, before);
  return before;
}

result<stored_object*> object_table::FindVersion(const stored_object& object) {
  const auto found = objects_.find({object.plural, object.name});
  if (found == objects_.end()) {
    return Fail(error_kind::kNotFound, FormatName(object) + " does not exist");
  }
  if (!object.resource_version.empty() &&
      object.resource_version != found->second.resource_version) {
    return Fail(error_kind::kConflict,
                FormatName(object) + " has resource version " +
                    found->second.resource_version + ", expected " +
                    object.resource_version);
  }
  return &found->second;
}

stored_object object_table::Store(change_type type, stored_object object) {
  object.resource_version = std::to_string(++version_);
  if (type == change_type::kDeleted) {
    objects_.erase({object.plural, object.name});
  } else {
    objects_[{object.plural, object.name}] = object;
  }
  history_.push_back({.version = version_, .type = type, .object = object});
  if (history_.size() > kMaxHistory) history_.pop_front();
  if (listener_) listener_(object_change(history_.back()));
  return object;
}

std::optional<std::vector<object_change>> object_table::ChangesSince(
    const std::string& plural, std::uint64_t version) const {
  const bool complete = version_ - history_.size() <= version;
  if (!complete) return std::nullopt;
  std::vector<object_change> changes;
  for (const auto& change : history_) {
    if (change.version > version && change.object.plural == plural) {
      changes.push_back(change);
    }
  }
  return changes;
}

}  // namespace pomelohall
