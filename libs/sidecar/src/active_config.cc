#include "active_config.h"

#include <utility>

#include "logging/log_event.h"

namespace pomelohall {

active_config::active_config(
    std::string object_name,
    std::function<result<mesh_config>(const std::string&)> decode,
    observer on_change)
    : object_name_(std::move(object_name)),
      decode_(std::move(decode)),
      on_change_(std::move(on_change)) {}

void active_config::OnListed(const std::vector<watched_object>& objects) {
  for (const auto& object : objects) ApplyObject(object);
}

void active_config::OnChanged(const object_change& change) {
  if (change.deleted) {
    log_event(log_level::kWarning, "config_deleted")
        .With("object", change.object.name)
        .With("kept_version", Version());
    return;
  }
  ApplyObject(change.object);
}

void active_config::ApplyObject(const watched_object& object) {
  if (object.name != object_name_ || object.revision <= revision_) return;
  auto config = decode_(object.spec);
  if (!config) {
    log_event(log_level::kError, "config_refused")
        .With("revision", object.revision)
        .With("kept_version", Version())
        .With("reason", config.error().message);
    return;
  }
  Activate(std::move(*config), object.revision, "store");
}

void active_config::OnFetched(mesh_config config, std::uint64_t revision) {
  if (revision > revision_) Activate(std::move(config), revision, "peer");
}

void active_config::Activate(mesh_config config, std::uint64_t revision,
                             std::string_view source) {
  revision_ = revision;
  if (config.version < Version()) {
    log_event(log_level::kError, "config_refused")
        .With("revision", revision)
        .With("kept_version", Version())
        .With("reason", "the version is older than the active one");
    return;
  }
  log_event(log_level::kInfo, "config_in_force")
      .With("version", config.version)
      .With("revision", revision)
      .With("source", source)
      .With("routes", static_cast<std::uint64_t>(config.routes.size()));
  table_ = std::make_shared<route_table>(std::move(config));
  digest_.reset();
  on_change_(table_);
}

const mesh_config& active_config::Config() const {
  static const mesh_config empty;
  return table_ ? table_->Config() : empty;
}

const config_digest& active_config::Digest() {
  if (!digest_) digest_ = ComputeDigest(Config());
  return *digest_;
}

}  // namespace pomelohall
